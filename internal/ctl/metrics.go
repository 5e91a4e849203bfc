package ctl

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// sample is one value of a metric.
type sample struct {
	Name  string  `json:"name"` // without the product's prefix
	Label string  `json:"label,omitempty"`
	Value float64 `json:"value"`
}

const metricPrefix = "nutmeghoist_"

// showMetrics prints the metrics of a node that has no operators' address. The
// table omits counters that are 0.
func (c *statusCommand) showMetrics(ctx context.Context) error {
	samples, err := c.readMetrics(ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.Out, samples)
	}
	value := func(name string) string {
		i := slices.IndexFunc(samples, func(s sample) bool { return s.Name == name })
		if i < 0 {
			return "unknown"
		}
		return formatValue(samples[i].Value)
	}
	fmt.Fprintf(c.Out, "ready=%s, configuration %s in force, %s live hosts and %s usable targets known\n",
		value("node_ready"), value("config_revision"), value("hosts_live"), value("targets_usable"))
	var rows [][]string
	for _, s := range samples {
		if s.Value != 0 || !strings.HasSuffix(s.Name, "_total") {
			rows = append(rows, []string{s.Name, s.Label, formatValue(s.Value)})
		}
	}
	return printTable(c.Out, []string{"Metric", "Label", "Value"}, rows)
}

func formatValue(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

func (c *statusCommand) readMetrics(ctx context.Context) ([]sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Metrics, nil)
	if err != nil {
		return nil, &usageError{fmt.Sprintf("--metrics (NUTMEGHOIST_METRICS) %q is not a URL such as http://IP:port/metrics", c.Metrics)}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("metrics: %s answers %s", c.Metrics, resp.Status)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("metrics: %s: %w", c.Metrics, err)
	}
	var samples []sample
	for name, f := range families {
		for _, m := range f.Metric {
			samples = appendSamples(samples, strings.TrimPrefix(name, metricPrefix), m)
		}
	}
	slices.SortFunc(samples, func(a, b sample) int { return strings.Compare(a.Name+" "+a.Label, b.Name+" "+b.Label) })
	return samples, nil
}

// appendSamples appends the values of a metric. A summary has a sample for its
// count and one for each quantile.
func appendSamples(samples []sample, name string, m *dto.Metric) []sample {
	var labels []string
	for _, l := range m.GetLabel() {
		labels = append(labels, l.GetValue())
	}
	label := strings.Join(labels, ",")
	switch {
	case m.Counter != nil:
		return append(samples, sample{name, label, m.Counter.GetValue()})
	case m.Gauge != nil:
		return append(samples, sample{name, label, m.Gauge.GetValue()})
	case m.Summary != nil:
		samples = append(samples, sample{name + "_count", label, float64(m.Summary.GetSampleCount())})
		for _, q := range m.Summary.GetQuantile() {
			samples = append(samples, sample{name, "quantile " + formatValue(q.GetQuantile()), q.GetValue()})
		}
	}
	return samples
}
