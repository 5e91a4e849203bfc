package rollout

import (
	"math"
	"time"
)

// windowTime is the length of a window. Within a window both versions run under
// the same conditions, while the share of the new one changes between windows.
const windowTime = time.Second

// History keeps the counts of a rollout in time windows. Without windows, a fault
// that hits both versions while the new one has a high share would be attributed
// to the new version.
type History struct {
	closed map[string][]VersionCounts // by route, one element per window
	open   map[string]VersionCounts   // since the last window closed
	last   map[string]VersionCounts   // totals passed to the last Add
	since  time.Time
	// began is the time of the first Add, whose counts can be those of a longer time.
	// calls are those that were added later, by window.
	began time.Time
	calls []windowCalls
}

// windowCalls are the calls to both versions in a window.
type windowCalls struct {
	calls int64
	took  time.Duration
}

// rateWindows is the number of the last windows that perSecond takes into account.
const rateWindows = 3

// Add adds the difference between the totals of all hosts and those of the last
// Add to the open window. Totals that fell, because a host restarted, are added
// whole.
func (h *History) Add(now time.Time, totals map[string]VersionCounts) {
	if h.closed == nil {
		h.closed, h.open, h.last = make(map[string][]VersionCounts), make(map[string]VersionCounts), make(map[string]VersionCounts)
		h.since, h.began = now, now
		h.calls = []windowCalls{{}}
	}
	open := &h.calls[len(h.calls)-1]
	for route, v := range totals {
		delta := VersionCounts{New: v.New.sub(h.last[route].New), Old: v.Old.sub(h.last[route].Old)}
		sum := h.open[route]
		sum.New.add(delta.New)
		sum.Old.add(delta.Old)
		h.open[route] = sum
		h.last[route] = v
		if now.After(h.began) {
			open.calls += delta.New.Calls + delta.Old.Calls
		}
	}
	if now.Sub(h.since) < windowTime {
		return
	}
	for route, v := range h.open {
		h.closed[route] = append(h.closed[route], v)
	}
	open.took = now.Sub(h.since)
	h.calls = append(h.calls, windowCalls{})
	h.open, h.since = make(map[string]VersionCounts), now
}

// perSecond returns the number of calls to both versions in a second, in the last windows
// or in all, whichever is higher; 0 before the end of the first window.
func (h *History) perSecond() float64 {
	if len(h.calls) < 2 {
		return 0
	}
	closed := h.calls[:len(h.calls)-1]
	rate := func(windows []windowCalls) float64 {
		var sum windowCalls
		for _, w := range windows {
			sum.calls += w.calls
			sum.took += w.took
		}
		return float64(sum.calls) / sum.took.Seconds()
	}
	return max(rate(closed), rate(closed[max(0, len(closed)-rateWindows):]))
}

// sub returns c-d, or c when a count of c is lower than in d.
func (c Counts) sub(d Counts) Counts {
	if c.Calls < d.Calls || c.Answers < d.Answers || c.Failed < d.Failed || c.Abandoned < d.Abandoned {
		return c
	}
	return Counts{
		Calls: c.Calls - d.Calls, Failed: c.Failed - d.Failed, Abandoned: c.Abandoned - d.Abandoned,
		LogLatencySum: c.LogLatencySum - d.LogLatencySum, Answers: c.Answers - d.Answers,
	}
}

// matchedCounts returns the counts of a route with the old version's counts
// weighted by window: its failure rate and typical latency are those of the
// windows in which the new version got its calls.
func (h *History) matchedCounts(route string) VersionCounts {
	matched, _ := h.match(route)
	return matched
}

// fewCounts returns the counts of a route for a comparison of few calls. The old version's
// failure rate is that of matchedCounts, its number of calls the true one: the harmonic
// mean of matchedCounts is hardly more than the calls of one window.
func (h *History) fewCounts(route string) VersionCounts {
	_, total := h.match(route)
	return total
}

// match returns the matched counts of a route, and its totals with the old version's
// failures at their rate in the matched counts.
func (h *History) match(route string) (matched, total VersionCounts) {
	windows := append(h.closed[route], h.open[route])
	for _, w := range windows {
		total.New.add(w.New)
		total.Old.add(w.Old)
	}
	if total.Old.Calls == 0 || total.New.Calls == 0 {
		return total, total
	}
	rate := float64(total.Old.Failed) / float64(total.Old.Calls)
	abandonedRate := float64(total.Old.Abandoned) / float64(total.Old.Calls)
	meanLog := 0.0
	if total.Old.Answers > 0 {
		meanLog = total.Old.LogLatencySum / float64(total.Old.Answers)
	}
	var expectedFailed, expectedAbandoned, logSum, inverseSample, sample float64
	for _, w := range windows {
		// When the old version has few calls in this window, the rates of the previous
		// windows prevail.
		carried := min(sample, smoothingCalls)
		sample = float64(w.Old.Calls) + carried
		if sample == 0 {
			continue
		}
		rate = (float64(w.Old.Failed) + carried*rate) / sample
		abandonedRate = (float64(w.Old.Abandoned) + carried*abandonedRate) / sample
		if answers := float64(w.Old.Answers) + carried; answers > 0 {
			meanLog = (w.Old.LogLatencySum + carried*meanLog) / answers
		}
		expectedFailed += float64(w.New.Calls) * rate
		expectedAbandoned += float64(w.New.Calls) * abandonedRate
		logSum += float64(w.New.Answers) * meanLog
		inverseSample += float64(w.New.Calls) / sample
	}
	// The old version's number of calls is the harmonic mean of the sample sizes,
	// weighted by the new version's calls.
	n := float64(total.New.Calls)
	if inverseSample == 0 {
		return total, total
	}
	out := VersionCounts{New: total.New}
	out.Old.Calls = int64(n / inverseSample)
	out.Old.Failed = int64(expectedFailed / inverseSample)
	out.Old.Abandoned = int64(expectedAbandoned / inverseSample)
	out.Old.Answers = min(total.Old.Answers, out.Old.Calls)
	if total.New.Answers > 0 {
		out.Old.LogLatencySum = logSum / float64(total.New.Answers) * float64(out.Old.Answers)
	}
	total.Old.Failed = int64(math.Round(expectedFailed / n * float64(total.Old.Calls)))
	return out, total
}

// smoothingCalls is the maximum weight of all previous windows in the rates of a
// window, in calls of the old version.
const smoothingCalls = 40

// Judge returns the evidence that the new version is bad, or "".
func (h *History) Judge() string { return Judge(h.tally()) }

// ShouldHold reports whether the new version's share should not be raised yet.
func (h *History) ShouldHold() bool { return ShouldHold(h.tally()) }

func (h *History) tally() *Tally {
	t := &Tally{Routes: make(map[string]VersionCounts)}
	for route := range h.last {
		t.Routes[route] = h.matchedCounts(route)
	}
	return t
}
