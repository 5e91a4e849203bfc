package telemetry

import (
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

const metricPrefix = "nutmeghoist_"

// labelledFamilies maps each metric family whose registry names have a label
// value after the first dot, as in "refused.queue_full", to the name of the
// label.
var labelledFamilies = map[string]string{
	"refused": "reason", "unknown": "reason", "retried": "reason", "noretry": "reason",
	"aborted": "reason", "hop": "reason", "hop_lost": "reason",
	"team_served": "team", "team_failed": "team", "team_limited": "team", "team_refused": "team",
}

// Handler serves the registry in the Prometheus text format.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		format := expfmt.NewFormat(expfmt.TypeTextPlain)
		w.Header().Set("Content-Type", string(format))
		enc := expfmt.NewEncoder(w, format)
		for _, f := range families(r) {
			if enc.Encode(f) != nil {
				return
			}
		}
	})
}

// families converts the registry to metric families, sorted by name.
func families(r metrics.Registry) []*dto.MetricFamily {
	byName := map[string]*dto.MetricFamily{}
	r.Each(func(name string, m any) {
		family, labels := parseName(name)
		switch m := m.(type) {
		case metrics.Counter:
			addMetric(byName, family+"_total", dto.MetricType_COUNTER, &dto.Metric{Label: labels, Counter: &dto.Counter{Value: ptr(float64(m.Count()))}})
		case metrics.Gauge:
			addMetric(byName, family, dto.MetricType_GAUGE, &dto.Metric{Label: labels, Gauge: &dto.Gauge{Value: ptr(float64(m.Value()))}})
		case metrics.GaugeFloat64:
			addMetric(byName, family, dto.MetricType_GAUGE, &dto.Metric{Label: labels, Gauge: &dto.Gauge{Value: ptr(m.Value())}})
		case metrics.Meter:
			addMetric(byName, family+"_total", dto.MetricType_COUNTER, &dto.Metric{Label: labels, Counter: &dto.Counter{Value: ptr(float64(m.Count()))}})
		case metrics.Timer:
			addMetric(byName, family+"_seconds", dto.MetricType_SUMMARY, newSummary(labels, m.Count(), float64(m.Sum())/1e9, m.Percentiles(quantiles), 1e9))
		case metrics.Histogram:
			addMetric(byName, family, dto.MetricType_SUMMARY, newSummary(labels, m.Count(), float64(m.Sum()), m.Percentiles(quantiles), 1))
		}
	})
	names := make([]string, 0, len(byName))
	for n := range byName {
		names = append(names, n)
	}
	sort.Strings(names)
	out := make([]*dto.MetricFamily, len(names))
	for i, n := range names {
		out[i] = byName[n]
	}
	return out
}

var quantiles = []float64{0.5, 0.99, 0.999}

func newSummary(labels []*dto.LabelPair, count int64, sum float64, values []float64, unit float64) *dto.Metric {
	s := &dto.Summary{SampleCount: ptr(uint64(count)), SampleSum: ptr(sum)}
	for i, q := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: ptr(q), Value: ptr(values[i] / unit)})
	}
	return &dto.Metric{Label: labels, Summary: s}
}

func addMetric(byName map[string]*dto.MetricFamily, name string, t dto.MetricType, m *dto.Metric) {
	f, ok := byName[name]
	if !ok {
		f = &dto.MetricFamily{Name: &name, Type: &t}
		byName[name] = f
	}
	f.Metric = append(f.Metric, m)
	sort.Slice(f.Metric, func(i, j int) bool { return f.Metric[i].String() < f.Metric[j].String() })
}

// parseName returns the metric family and the labels of a name in the registry.
func parseName(name string) (string, []*dto.LabelPair) {
	family, rest, found := strings.Cut(name, ".")
	if label, ok := labelledFamilies[family]; found && ok {
		return metricPrefix + family, []*dto.LabelPair{{Name: &label, Value: &rest}}
	}
	return metricPrefix + strings.NewReplacer(".", "_", "-", "_").Replace(name), nil
}

func ptr[T any](v T) *T { return &v }

// RegisterProcess registers gauges of the process's resident memory and CPU
// time.
func RegisterProcess(r metrics.Registry) {
	r.GetOrRegister("process.resident_bytes", metrics.NewFunctionalGauge(residentBytes))
	r.GetOrRegister("process.cpu_seconds", metrics.NewFunctionalGaugeFloat64(func() float64 { return cpuTime().Seconds() }))
}

// residentBytes returns the resident set size of this process, or 0 when it
// cannot be read.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// cpuTime returns the user and system time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
