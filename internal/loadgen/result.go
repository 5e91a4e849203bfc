package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	histogramMax    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// maxExamples bounds the examples of wrong answers that a result keeps.
const maxExamples = 20

// OrderOutcome is the method and the outcome of one order, for CheckRuns.
type OrderOutcome struct {
	Method  string
	Outcome Outcome
}

// Result is the result of a run.
type Result struct {
	Elapsed  time.Duration // until the last call was sent
	Sent     int64
	Unsent   int64 // due calls that were not sent because too many were in flight
	Counts   map[Outcome]int64
	Kinds    map[string]map[Outcome]int64
	Versions map[string]int64 // complete answers by target version
	Reasons  map[string]int64 // refusals by the reason that the system gave
	// Latency has a histogram in microseconds for each outcome that occurred.
	Latency map[Outcome]*hdrhistogram.Histogram
	// ServiceTime has the same, measured from when the call was sent. It excludes
	// the lag of the generator, and so also the effect of a stalled node on later
	// calls.
	ServiceTime map[Outcome]*hdrhistogram.Histogram
	// Lag is the delay from when a call was due until it was sent, in
	// microseconds. A high lag means that the generator itself was too slow.
	Lag        *hdrhistogram.Histogram
	BadAnswers []string                // short and foreign answers
	Orders     map[string]OrderOutcome // when Options.KeepOutcomes is set
}

// Goodput returns the complete answers per second.
func (r *Result) Goodput() float64 {
	if r.Elapsed <= 0 {
		return 0
	}
	return float64(r.Counts[OK]) / r.Elapsed.Seconds()
}

// Quantile returns a latency quantile (0 to 100) of the calls with an outcome.
func (r *Result) Quantile(o Outcome, percentile float64) time.Duration {
	return histogramQuantile(r.Latency[o], percentile)
}

// ServiceTimeQuantile is Quantile measured from when the call was sent.
func (r *Result) ServiceTimeQuantile(o Outcome, percentile float64) time.Duration {
	return histogramQuantile(r.ServiceTime[o], percentile)
}

func histogramQuantile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// recorder accumulates the calls of a run. It is safe for concurrent use.
type recorder struct {
	mu           sync.Mutex
	res          Result
	keepOutcomes bool
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func newRecorder(o *Options) *recorder {
	rec := &recorder{keepOutcomes: o.KeepOutcomes, res: Result{
		Counts: map[Outcome]int64{}, Kinds: map[string]map[Outcome]int64{}, Versions: map[string]int64{},
		Reasons: map[string]int64{}, Latency: map[Outcome]*hdrhistogram.Histogram{}, ServiceTime: map[Outcome]*hdrhistogram.Histogram{}, Lag: newHistogram(),
	}}
	if rec.keepOutcomes {
		rec.res.Orders = map[string]OrderOutcome{}
	}
	return rec
}

func recordIn(h *hdrhistogram.Histogram, d time.Duration) {
	// Values are clamped to the range, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), histogramMax))
}

func (rec *recorder) countUnsent() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.res.Unsent++
}

func (rec *recorder) countSent(lag time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.res.Sent++
	recordIn(rec.res.Lag, lag)
}

func (rec *recorder) addCall(c *Call) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := &rec.res
	r.Counts[c.Outcome]++
	byOutcome := r.Kinds[c.Kind.Name()]
	if byOutcome == nil {
		byOutcome = map[Outcome]int64{}
		r.Kinds[c.Kind.Name()] = byOutcome
	}
	byOutcome[c.Outcome]++
	if r.Latency[c.Outcome] == nil {
		r.Latency[c.Outcome], r.ServiceTime[c.Outcome] = newHistogram(), newHistogram()
	}
	recordIn(r.Latency[c.Outcome], c.Latency)
	recordIn(r.ServiceTime[c.Outcome], c.ServiceTime)
	switch c.Outcome {
	case OK:
		r.Versions[c.Version]++
	case NotRun, Unknown:
		r.Reasons[c.Reason]++
	case Short, Foreign:
		if len(r.BadAnswers) < maxExamples {
			r.BadAnswers = append(r.BadAnswers, fmt.Sprintf("%s: %s: %v", c.Kind.Name(), c.Outcome, c.Err))
		}
	}
	if rec.keepOutcomes {
		r.Orders[c.Order] = OrderOutcome{c.Kind.Method, c.Outcome}
	}
}

func (rec *recorder) finish(elapsed time.Duration) Result {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.res.Elapsed = elapsed
	return rec.res
}

// percentiles are printed for each outcome that occurred.
var percentiles = []struct {
	name string
	at   float64
}{{"p50", 50}, {"p90", 90}, {"p99", 99}, {"p999", 99.9}, {"max", 100}}

// Print writes the result as name=value lines.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "elapsed_s=%.3f\nsent=%d\nunsent=%d\n", r.Elapsed.Seconds(), r.Sent, r.Unsent)
	fmt.Fprintf(w, "sent_per_s=%.1f\ngoodput_per_s=%.1f\n", float64(r.Sent)/max(r.Elapsed.Seconds(), 1e-9), r.Goodput())
	for _, o := range Outcomes {
		fmt.Fprintf(w, "%s=%d\n", o, r.Counts[o])
	}
	for _, o := range Outcomes {
		if r.Latency[o] == nil {
			continue
		}
		for _, p := range percentiles {
			fmt.Fprintf(w, "%s_%s_ms=%.3f\n", o, p.name, r.Quantile(o, p.at).Seconds()*1000)
		}
		for _, p := range percentiles {
			fmt.Fprintf(w, "%s_service_%s_ms=%.3f\n", o, p.name, r.ServiceTimeQuantile(o, p.at).Seconds()*1000)
		}
	}
	fmt.Fprintf(w, "lag_p99_ms=%.3f\n", float64(r.Lag.ValueAtQuantile(99))/1000)
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		for _, o := range Outcomes {
			if n := r.Kinds[kind][o]; n > 0 {
				fmt.Fprintf(w, "kind.%s.%s=%d\n", strings.ReplaceAll(kind, " ", ""), o, n)
			}
		}
	}
	for _, v := range slices.Sorted(maps.Keys(r.Versions)) {
		fmt.Fprintf(w, "version.%s=%d\n", v, r.Versions[v])
	}
	for _, v := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(w, "reason.%s=%d\n", v, r.Reasons[v])
	}
}

// CheckRuns compares the outcomes that callers saw with the runs that the
// targets counted, summed over all targets. It returns one line for each order
// that violates a guarantee: a non-idempotent order that ran more than once, an
// order that ran although it was reported as not run, and an order that was
// answered and did not run.
func CheckRuns(orders map[string]OrderOutcome, runs map[string]int) []string {
	var violations []string
	for _, order := range slices.Sorted(maps.Keys(orders)) {
		outcome, runCount := orders[order], runs[order]
		isIdempotent := outcome.Method != "POST" && outcome.Method != "PATCH"
		switch {
		case !isIdempotent && runCount > 1:
			violations = append(violations, fmt.Sprintf("%s %s ran %d times", outcome.Method, order, runCount))
		case outcome.Outcome == OK && runCount == 0:
			violations = append(violations, fmt.Sprintf("%s %s was answered and did not run", outcome.Method, order))
		case outcome.Outcome == NotRun && runCount > 0:
			violations = append(violations, fmt.Sprintf("%s %s ran %d times and was reported as not run", outcome.Method, order, runCount))
		}
	}
	return violations
}
