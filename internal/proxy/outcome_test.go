package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/move"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// Guards against outcomes that attribute cancelled calls, load or a failure of
// the host to a version, and against faults that are not observed.
func TestOutcomesAreObserved(t *testing.T) {
	answer := func(text string) func(net.Conn, int, int) bool {
		return func(c net.Conn, _, _ int) bool { writeText(c, text); return false }
	}
	for _, tc := range []struct {
		name   string
		answer func(net.Conn, int, int) bool
		want   move.OutcomeKind // 0: none
	}{
		{"good", answer(goodAnswer), move.OutcomeOK},
		{"client error", answer("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"), move.OutcomeOK},
		{"server error", answer("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), move.OutcomeFailed},
		{"early end", answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"), move.OutcomeEarlyEnd},
		{"no answer", answer(""), move.OutcomeNoAnswer},
		{"shed", answer("HTTP/1.1 503 No\r\nTarget-Not-Run: true\r\nContent-Length: 0\r\n\r\n"), move.OutcomeShed},
		{"target down", nil, move.OutcomeNoAnswer},
		{"node down", answer(goodAnswer), 0},
	} {
		m := newMesh(t, rules.Rule{Prefix: "/", Timeout: time.Second})
		a, b := m.node("a", "dc1"), m.node("b", "dc1")
		addr := refusingAddress
		if tc.answer != nil {
			addr = newRawTarget(t, tc.answer).addr
		}
		m.add(b, "t", 4, addr)
		if tc.want == 0 {
			m.snap.Targets[orders][0].CallAddress = refusingAddress
			checkFault(t, m, a, "POST", nil, 503, outcomeNotRun, ReasonNodeDown)
		} else if resp, err := m.call(a, "POST", "/orders", "x"); err == nil {
			_, _ = io.ReadAll(resp.Body) // an answer that is not read completely would count as cancelled
		}
		waitFor(t, func() bool { return a.InFlight() == 0 })
		var got move.OutcomeKind
		m.mu.Lock()
		for _, o := range m.outcomes {
			got = o.Kind
			if o.Host != "b" || o.Service != orders.Service || o.Route != "* /" || len(m.outcomes) > 1 {
				t.Errorf("%s: got %+v", tc.name, m.outcomes)
			}
		}
		m.mu.Unlock()
		if got != tc.want {
			t.Errorf("%s: got kind %d, want %d", tc.name, got, tc.want)
		}
	}
}
