package moves

import "time"

// effect is what happens to calls at a moment.
type effect struct {
	fail, early, silent, shed float64 // added probabilities
	slow                      float64 // factor on the latency; 0 means 1
}

func (e effect) and(f effect) effect {
	slow := max(1, e.slow) * max(1, f.slow)
	return effect{e.fail + f.fail, e.early + f.early, e.silent + f.silent, e.shed + f.shed, slow}
}

// place is where and when a call runs.
type place struct {
	at     float64 // part of the window that has passed; above 1 in the watch period
	dc     int
	host   int
	route  int
	load   float64 // calls relative to the usual rate
	sinceS float64 // seconds since the targets of the new version started
}

// kind is one row of the table.
type kind struct {
	name       string
	bad        bool
	route      int                           // the route whose calls count as exposure; -1 for all
	faultAt    float64                       // when the fault starts, as a part of the window
	load       func(at float64) float64      // nil means 1
	common     func(p place, r roll) effect  // hits both versions and, when it is a cut, the other service
	onlyNew    func(p place) effect          // hits the new version
	otherToo   bool                          // common also hits the other service
	warmUp     time.Duration                 // how long targets of the new version count as cold
	watchUntil float64                       // simulated end as a part of the window
	unreach    func(at float64, dc int) bool // the report writer cannot reach the data centre
}

// roll holds random values that are drawn once for a run.
type roll struct {
	dc, host int
	from     float64
}

func between(at, from, to float64) bool { return at >= from && at < to }

func burst(at float64) float64 {
	if between(at, 0.45, 0.55) {
		return 2.5
	}
	return 1
}

// noise is the background of every call.
var noise = effect{fail: 0.002}

var cases = []kind{
	{name: "good", route: -1},
	{name: "good_cold_start", route: -1, warmUp: 15 * time.Second, onlyNew: func(p place) effect {
		if p.sinceS < 15 {
			return effect{slow: 6, silent: 0.1}
		}
		return effect{}
	}},
	{name: "good_overload", route: -1, load: overload, common: func(p place, _ roll) effect {
		if p.load > 1 {
			return effect{shed: 0.35, silent: 0.08, slow: 3}
		}
		return effect{}
	}},
	{name: "good_noisy_neighbour", route: -1, otherToo: true, common: func(p place, r roll) effect {
		if p.host <= r.host%3 && between(p.at, r.from, r.from+0.4) {
			return effect{slow: 4, silent: 0.01}
		}
		return effect{}
	}},
	{name: "good_dying_host", route: -1, common: func(p place, r roll) effect {
		if p.dc == r.dc && p.host == r.host && between(p.at, r.from, r.from+0.1) {
			return effect{silent: 0.9}
		}
		return effect{}
	}},
	{name: "good_bad_host", route: -1, faultAt: 0, onlyNew: nil, common: func(p place, r roll) effect {
		if p.dc == r.dc && p.host == r.host && p.at > r.from {
			return effect{fail: 0.5}
		}
		return effect{}
	}},
	{name: "good_cut", route: -1, otherToo: true, common: func(p place, r roll) effect {
		if p.dc == r.dc && between(p.at, r.from, r.from+0.05) {
			return effect{silent: 0.6, fail: 0.2}
		}
		return effect{}
	}, unreach: func(at float64, dc int) bool { return dc == 0 && between(at, 0.9, 0.96) }},

	{name: "bad_at_once", bad: true, route: -1, onlyNew: func(place) effect { return effect{fail: 0.3} }},
	{name: "bad_later", bad: true, route: -1, faultAt: 0.7, onlyNew: after(0.7, effect{fail: 0.3})},
	{name: "bad_after_full", bad: true, route: -1, faultAt: 1.1, watchUntil: 1.4, onlyNew: after(1.1, effect{fail: 0.3})},
	{name: "bad_under_load", bad: true, route: -1, faultAt: 0.45, load: burst, onlyNew: func(p place) effect {
		if p.load > 1 {
			return effect{fail: 0.3}
		}
		return effect{}
	}},
	{name: "bad_one_route", bad: true, route: 0, onlyNew: func(p place) effect {
		if p.route == 0 {
			return effect{fail: 0.3}
		}
		return effect{}
	}},
	{name: "bad_slow", bad: true, route: -1, onlyNew: func(place) effect { return effect{slow: 3} }},
	{name: "bad_slow_after_warm_up", bad: true, route: -1, warmUp: 15 * time.Second, onlyNew: func(place) effect { return effect{slow: 3} }},
	{name: "bad_one_data_centre", bad: true, route: -1, onlyNew: func(p place) effect {
		if p.dc == 1 {
			return effect{fail: 0.3}
		}
		return effect{}
	}},
	{name: "bad_early_ends", bad: true, route: -1, onlyNew: func(place) effect { return effect{early: 0.3} }},
	{name: "bad_no_answers", bad: true, route: -1, onlyNew: func(place) effect { return effect{silent: 0.3} }},
	{name: "bad_sheds", bad: true, route: -1, onlyNew: func(place) effect { return effect{shed: 0.5} }},
	{name: "bad_slightly", bad: true, route: -1, onlyNew: func(place) effect { return effect{fail: 0.05} }},
}

func overload(at float64) float64 {
	if between(at, 0.3, 0.5) || between(at, 0.85, 0.95) {
		return 2.5
	}
	return 1
}

func after(from float64, e effect) func(place) effect {
	return func(p place) effect {
		if p.at < from {
			return effect{}
		}
		return e
	}
}
