package moves

import "time"

// effect is the change that a scenario makes to the outcome of a call.
type effect struct {
	fail, earlyEnd, noAnswer, shed float64 // added probabilities
	slow                           float64 // factor on the latency; 0 means 1
}

func (e effect) combine(other effect) effect {
	slow := max(1, e.slow) * max(1, other.slow)
	return effect{e.fail + other.fail, e.earlyEnd + other.earlyEnd, e.noAnswer + other.noAnswer, e.shed + other.shed, slow}
}

// callContext is where and when a call runs.
type callContext struct {
	progress      float64 // elapsed fraction of the window; above 1 in the watch period
	dc            int
	host          int
	route         int
	load          float64 // calls relative to the usual rate
	uptimeSeconds float64 // since the targets of the new version started
}

// scenario is one row of the table.
type scenario struct {
	name          string
	bad           bool
	exposedRoute  int                                           // index of the route whose calls count as exposure; -1 for all
	faultStart    float64                                       // as a fraction of the window
	load          func(progress float64) float64                // nil means 1
	effectOnBoth  func(call callContext, site faultSite) effect // on calls of both versions and, with affectsOther, of the other service
	effectOnNew   func(call callContext) effect                 // on calls of the new version
	affectsOther  bool                                          // effectOnBoth also applies to the other service
	warmUp        time.Duration                                 // time for which targets of the new version count as cold
	simulateUntil float64                                       // end of the simulation as a fraction of the window
	unreachable   func(progress float64, dc int) bool           // whether the report writer cannot reach the data centre
}

// faultSite is where and when the fault of a scenario occurs. It is drawn at
// random once per run.
type faultSite struct {
	dc, host int
	start    float64
}

func inRange(x, from, to float64) bool { return x >= from && x < to }

func burstProfile(progress float64) float64 {
	if inRange(progress, 0.45, 0.55) {
		return 2.5
	}
	return 1
}

// backgroundNoise is the effect on every call in every scenario.
var backgroundNoise = effect{fail: 0.002}

var scenarios = []scenario{
	{name: "good", exposedRoute: -1},
	{name: "good_cold_start", exposedRoute: -1, warmUp: 15 * time.Second, effectOnNew: func(call callContext) effect {
		if call.uptimeSeconds < 15 {
			return effect{slow: 6, noAnswer: 0.1}
		}
		return effect{}
	}},
	{name: "good_overload", exposedRoute: -1, load: overloadProfile, effectOnBoth: func(call callContext, _ faultSite) effect {
		if call.load > 1 {
			return effect{shed: 0.35, noAnswer: 0.08, slow: 3}
		}
		return effect{}
	}},
	{name: "good_noisy_neighbour", exposedRoute: -1, affectsOther: true, effectOnBoth: func(call callContext, site faultSite) effect {
		if call.host <= site.host%3 && inRange(call.progress, site.start, site.start+0.4) {
			return effect{slow: 4, noAnswer: 0.01}
		}
		return effect{}
	}},
	{name: "good_dying_host", exposedRoute: -1, effectOnBoth: func(call callContext, site faultSite) effect {
		if call.dc == site.dc && call.host == site.host && inRange(call.progress, site.start, site.start+0.1) {
			return effect{noAnswer: 0.9}
		}
		return effect{}
	}},
	{name: "good_bad_host", exposedRoute: -1, faultStart: 0, effectOnNew: nil, effectOnBoth: func(call callContext, site faultSite) effect {
		if call.dc == site.dc && call.host == site.host && call.progress > site.start {
			return effect{fail: 0.5}
		}
		return effect{}
	}},
	{name: "good_cut", exposedRoute: -1, affectsOther: true, effectOnBoth: func(call callContext, site faultSite) effect {
		if call.dc == site.dc && inRange(call.progress, site.start, site.start+0.05) {
			return effect{noAnswer: 0.6, fail: 0.2}
		}
		return effect{}
	}, unreachable: func(progress float64, dc int) bool { return dc == 0 && inRange(progress, 0.9, 0.96) }},

	{name: "bad_at_once", bad: true, exposedRoute: -1, effectOnNew: func(callContext) effect { return effect{fail: 0.3} }},
	{name: "bad_later", bad: true, exposedRoute: -1, faultStart: 0.7, effectOnNew: effectFrom(0.7, effect{fail: 0.3})},
	{name: "bad_after_full", bad: true, exposedRoute: -1, faultStart: 1.1, simulateUntil: 1.4, effectOnNew: effectFrom(1.1, effect{fail: 0.3})},
	{name: "bad_under_load", bad: true, exposedRoute: -1, faultStart: 0.45, load: burstProfile, effectOnNew: func(call callContext) effect {
		if call.load > 1 {
			return effect{fail: 0.3}
		}
		return effect{}
	}},
	{name: "bad_one_route", bad: true, exposedRoute: 0, effectOnNew: func(call callContext) effect {
		if call.route == 0 {
			return effect{fail: 0.3}
		}
		return effect{}
	}},
	{name: "bad_slow", bad: true, exposedRoute: -1, effectOnNew: func(callContext) effect { return effect{slow: 3} }},
	{name: "bad_slow_after_warm_up", bad: true, exposedRoute: -1, warmUp: 15 * time.Second, effectOnNew: func(callContext) effect { return effect{slow: 3} }},
	{name: "bad_one_data_centre", bad: true, exposedRoute: -1, effectOnNew: func(call callContext) effect {
		if call.dc == 1 {
			return effect{fail: 0.3}
		}
		return effect{}
	}},
	{name: "bad_early_ends", bad: true, exposedRoute: -1, effectOnNew: func(callContext) effect { return effect{earlyEnd: 0.3} }},
	{name: "bad_no_answers", bad: true, exposedRoute: -1, effectOnNew: func(callContext) effect { return effect{noAnswer: 0.3} }},
	{name: "bad_sheds", bad: true, exposedRoute: -1, effectOnNew: func(callContext) effect { return effect{shed: 0.5} }},
	{name: "bad_slightly", bad: true, exposedRoute: -1, effectOnNew: func(callContext) effect { return effect{fail: 0.05} }},
}

func overloadProfile(progress float64) float64 {
	if inRange(progress, 0.3, 0.5) || inRange(progress, 0.85, 0.95) {
		return 2.5
	}
	return 1
}

func effectFrom(from float64, e effect) func(callContext) effect {
	return func(call callContext) effect {
		if call.progress < from {
			return effect{}
		}
		return e
	}
}
