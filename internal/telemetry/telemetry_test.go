package telemetry

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// Guards against refusals with different reasons that share one series.
func TestHandlerGivesOneSeriesForEachReason(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("refused.queue_full", r).Inc(2)
	metrics.GetOrRegisterCounter("refused.no_target", r).Inc(1)
	metrics.GetOrRegisterCounter("noretry.node_budget", r).Inc(3)
	metrics.GetOrRegisterCounter("calls.received", r).Inc(4)
	metrics.GetOrRegisterGauge("config.revision", r).Update(7)
	w := httptest.NewRecorder()
	Handler(r).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`nutmeghoist_refused_total{reason="queue_full"} 2`,
		`nutmeghoist_refused_total{reason="no_target"} 1`,
		`nutmeghoist_noretry_total{reason="node_budget"} 3`,
		"nutmeghoist_calls_received_total 4",
		"nutmeghoist_config_revision 7",
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("%q is missing from:\n%s", want, w.Body)
		}
	}
}

// Guards against log events that span several lines or lack the host.
func TestLoggerWritesOneLineOfPairs(t *testing.T) {
	var b bytes.Buffer
	NewLogger(&b, "info", "h1").Info().Str("reason", "two words\nand a line").Msg("config refused")
	if got := strings.Count(b.String(), "\n"); got != 1 {
		t.Fatalf("got %d lines:\n%s", got, b.String())
	}
	for _, want := range []string{"host=", "h1", "reason=", "level=info"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is missing from %s", want, b.String())
		}
	}
}
