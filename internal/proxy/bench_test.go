package proxy

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// BenchmarkCall reports the latency of a small call without a node, through one
// node and through two nodes. The added latency is the difference to the first.
func BenchmarkCall(b *testing.B) {
	m := newMesh(b, rules.Rule{Prefix: "/"})
	one, two := m.node("a", "dc1"), m.node("b", "dc1")
	target := m.target(two, "t", 12, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "400")
		_, _ = io.WriteString(w, strings.Repeat("x", 400))
	})
	b.Run("no node", func(b *testing.B) { benchCall(b, target.URL) })
	b.Run("one node", func(b *testing.B) { benchCall(b, two.caller.URL) })
	b.Run("two nodes", func(b *testing.B) { benchCall(b, one.caller.URL) })
	useTLS(m, one, two)
	b.Run("two nodes TLS", func(b *testing.B) { benchCall(b, one.caller.URL) })
}

func benchCall(b *testing.B, url string) {
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		started := time.Now()
		resp, err := client.Post(url+"/orders", "text/plain", strings.NewReader("two trays"))
		if err != nil {
			b.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		if resp.Body.Close(); err != nil || n != 400 {
			b.Fatal(n, err, resp.Status)
		}
		_ = h.RecordValue(int64(time.Since(started)))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
}

// useTLS switches the link from one node to the other to TLS 1.3.
func useTLS(m *testMesh, from, to *testNode) {
	to.peer.Close()
	to.peer = httptest.NewUnstartedServer(to.PeerHandler())
	to.peer.TLS = &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert}
	to.peer.StartTLS()
	m.t.Cleanup(to.peer.Close)
	roots := x509.NewCertPool()
	roots.AddCert(to.peer.Certificate())
	from.cfg.PeerTLS = &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: roots, ServerName: "example.com", Certificates: to.peer.TLS.Certificates,
	}
	next := *m.snap
	for sv := range next.Targets {
		for i := range next.Targets[sv] {
			if next.Targets[sv][i].Host == to.id {
				next.Targets[sv][i].CallAddress = strings.TrimPrefix(to.peer.URL, "https://")
			}
		}
	}
	m.snap = &next
}

// Guards against a node-to-node link that works only without TLS, or that offers
// HTTP/2, where one broken connection fails many calls.
func TestCallOverMutualTLS(t *testing.T) {
	m := newMesh(t, rules.Rule{Prefix: "/"})
	one, two := m.node("a", "dc1"), m.node("b", "dc1")
	m.target(two, "t", 12, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "good") })
	useTLS(m, one, two)
	checkFault(t, m, one, "POST", nil, 200, "", "")
}
