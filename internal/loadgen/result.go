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

// Ordered is the outcome of one order, for CheckRuns.
type OrderOutcome struct {
	Method  string
	Outcome Outcome
}

// Result is what a run saw.
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
	// Service has the same from when the call was sent. It leaves out what the
	// generator is late, and so also the effect of a stalled node on later calls.
	ServiceTime map[Outcome]*hdrhistogram.Histogram
	// Lag is how late calls were sent, in microseconds. A high lag means that
	// the generator itself was too slow.
	Lag      *hdrhistogram.Histogram
	BadAnswers []string           // short and foreign answers
	Orders   map[string]OrderOutcome // when Options.KeepOutcomes is set
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
	return quantile(r.Latency[o], percentile)
}

// ServiceQuantile is Quantile from when the call was sent.
func (r *Result) ServiceTimeQuantile(o Outcome, percentile float64) time.Duration {
	return quantile(r.ServiceTime[o], percentile)
}

func quantile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// recorder collects the calls of a run.
type recorder struct {
	mu   sync.Mutex
	r    Result
	keep bool
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func newRecorder(o *Options) *recorder {
	rec := &recorder{keep: o.KeepOutcomes, r: Result{
		Counts: map[Outcome]int64{}, Kinds: map[string]map[Outcome]int64{}, Versions: map[string]int64{},
		Reasons: map[string]int64{}, Latency: map[Outcome]*hdrhistogram.Histogram{}, ServiceTime: map[Outcome]*hdrhistogram.Histogram{}, Lag: newHistogram(),
	}}
	if rec.keep {
		rec.r.Orders = map[string]OrderOutcome{}
	}
	return rec
}

func recordIn(h *hdrhistogram.Histogram, d time.Duration) {
	// Values are clamped to the range, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), histogramMax))
}

func (rec *recorder) unsent() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.r.Unsent++
}

func (rec *recorder) lag(d time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.r.Sent++
	recordIn(rec.r.Lag, d)
}

func (rec *recorder) add(c *Call) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := &rec.r
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
	if rec.keep {
		r.Orders[c.Order] = OrderOutcome{c.Kind.Method, c.Outcome}
	}
}

func (rec *recorder) result(elapsed time.Duration) Result {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.r.Elapsed = elapsed
	return rec.r
}

// percentiles are printed for each outcome that occurred.
var percentiles = []struct {
	name string
	at   float64
}{{"p50", 50}, {"p90", 90}, {"p99", 99}, {"p999", 99.9}, {"max", 100}}

// Print writes the result, one name=value a line.
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
// targets counted, merged over all targets. It returns one line for each order
// that contradicts a promise: a non-idempotent order that ran twice, an order
// that ran although it was said not to have run, and an order that was answered
// and did not run.
func CheckRuns(orders map[string]OrderOutcome, runs map[string]int) []string {
	var wrong []string
	for _, order := range slices.Sorted(maps.Keys(orders)) {
		o, n := orders[order], runs[order]
		isIdempotent := o.Method != "POST" && o.Method != "PATCH"
		switch {
		case !isIdempotent && n > 1:
			wrong = append(wrong, fmt.Sprintf("%s %s ran %d times", o.Method, order, n))
		case o.Outcome == OK && n == 0:
			wrong = append(wrong, fmt.Sprintf("%s %s was answered and did not run", o.Method, order))
		case o.Outcome == NotRun && n > 0:
			wrong = append(wrong, fmt.Sprintf("%s %s ran %d times and was reported as not run", o.Method, order, n))
		}
	}
	return wrong
}
