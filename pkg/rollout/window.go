package rollout

import "time"

// windowLength is how long the counts are taken together. Within it both
// versions meet the same conditions, while the share of the new one changes
// between windows.
const windowLength = time.Second

// History keeps the counts of a rollout in windows, so that trouble which comes
// while the new version's share is large is not held against it.
type History struct {
	closed map[string][]VersionCounts // by route, one a window
	open   map[string]VersionCounts   // since the last window closed
	last   map[string]VersionCounts   // totals at the last call of Add
	since  time.Time
}

// Add takes the totals of all hosts. Totals that fell, because a host was
// started anew, count from there.
func (h *History) Add(now time.Time, totals map[string]VersionCounts) {
	if h.closed == nil {
		h.closed, h.open, h.last = make(map[string][]VersionCounts), make(map[string]VersionCounts), make(map[string]VersionCounts)
		h.since = now
	}
	for route, p := range totals {
		delta := VersionCounts{New: p.New.less(h.last[route].New), Old: p.Old.less(h.last[route].Old)}
		sum := h.open[route]
		sum.New.add(delta.New)
		sum.Old.add(delta.Old)
		h.open[route] = sum
		h.last[route] = p
	}
	if now.Sub(h.since) < windowLength {
		return
	}
	for route, p := range h.open {
		h.closed[route] = append(h.closed[route], p)
	}
	h.open, h.since = make(map[string]VersionCounts), now
}

func (c Counts) less(d Counts) Counts {
	if c.Calls < d.Calls || c.Answers < d.Answers || c.Failed < d.Failed {
		return c
	}
	return Counts{Calls: c.Calls - d.Calls, Failed: c.Failed - d.Failed, LogSum: c.LogSum - d.LogSum, Answers: c.Answers - d.Answers}
}

// matched returns the counts of a route in which the old version's rate of
// failures and typical time are those of the windows in which the new version
// got its calls.
func (h *History) matched(route string) VersionCounts {
	windows := append(h.closed[route], h.open[route])
	var total VersionCounts
	for _, w := range windows {
		total.New.add(w.New)
		total.Old.add(w.Old)
	}
	if total.Old.Calls == 0 || total.New.Calls == 0 {
		return total
	}
	rate := float64(total.Old.Failed) / float64(total.Old.Calls)
	log := 0.0
	if total.Old.Answers > 0 {
		log = total.Old.LogSum / float64(total.Old.Answers)
	}
	var failed, logs, doubt, known float64
	for _, w := range windows {
		// Where the old version gets hardly any calls, its last windows count.
		before := min(known, smoothing)
		known = float64(w.Old.Calls) + before
		if known == 0 {
			continue
		}
		rate = (float64(w.Old.Failed) + before*rate) / known
		if answers := float64(w.Old.Answers) + before; answers > 0 {
			log = (w.Old.LogSum + before*log) / answers
		}
		failed += float64(w.New.Calls) * rate
		logs += float64(w.New.Answers) * log
		doubt += float64(w.New.Calls) / known
	}
	// The old version's calls count as many as stand behind each of the new one's.
	n := float64(total.New.Calls)
	if doubt == 0 {
		return total
	}
	out := VersionCounts{New: total.New}
	out.Old.Calls = int64(n / doubt)
	out.Old.Failed = int64(failed / n * n / doubt)
	out.Old.Answers = min(total.Old.Answers, out.Old.Calls)
	if total.New.Answers > 0 {
		out.Old.LogSum = logs / float64(total.New.Answers) * float64(out.Old.Answers)
	}
	return out
}

// smoothing is the weight, in calls, of the window before in each window.
const smoothing = 40

// Judge returns why the new version is bad, or "".
func (h *History) Judge() string { return Judge(h.tally()) }

// ShouldHold reports whether the new version's share should not be raised.
func (h *History) ShouldHold() bool { return ShouldHold(h.tally()) }

func (h *History) tally() *Tally {
	t := &Tally{Routes: make(map[string]VersionCounts)}
	for route := range h.last {
		t.Routes[route] = h.matched(route)
	}
	return t
}
