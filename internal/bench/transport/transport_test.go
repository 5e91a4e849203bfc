package transport

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/quic-go/quic-go"

	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
)

const (
	responseBytes = 512
	callInterval  = 1250 * time.Microsecond // 800 calls a second
)

var responseBody = bytes.Repeat([]byte("x"), responseBytes)

func newKeys(b *testing.B) *tlskeys.Keys {
	b.Helper()
	dir := b.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	ca, err := tlskeys.NewCA("bench", time.Hour)
	check(b, err)
	check(b, ca.Write(file("ca.pem"), file("ca-key.pem")))
	check(b, ca.IssueHostCertificate("h1", []net.IP{net.IPv4(127, 0, 0, 1)}, time.Hour, file("h1.pem"), file("h1-key.pem")))
	k, err := tlskeys.Load(file("ca.pem"), file("h1.pem"), file("h1-key.pem"))
	check(b, err)
	return k
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// httpCall returns a call over persistent HTTP/1.1 connections with TLS 1.3.
func httpCall(b *testing.B) func() error {
	k := newKeys(b)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(responseBody) }))
	s.TLS = k.ServerConfig()
	s.TLS.NextProtos = []string{"http/1.1"}
	s.StartTLS()
	b.Cleanup(s.Close)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: k.ClientConfig(), MaxIdleConnsPerHost: 256}}
	return func() error {
		resp, err := client.Get(s.URL)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return err
	}
}

// quicCall returns a call over a stream of one QUIC connection.
func quicCall(b *testing.B) func() error {
	k := newKeys(b)
	server, client := k.ServerConfig(), k.ClientConfig()
	server.NextProtos, client.NextProtos = []string{"bench"}, []string{"bench"}
	l, err := quic.ListenAddr("127.0.0.1:0", server, &quic.Config{MaxIncomingStreams: 10_000})
	check(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go serveQUIC(l)
	conn, err := quic.DialAddr(context.Background(), l.Addr().String(), client, nil)
	check(b, err)
	return func() error {
		s, err := conn.OpenStreamSync(context.Background())
		if err != nil {
			return err
		}
		if _, err := s.Write([]byte("GET /menus")); err != nil {
			return err
		}
		if err := s.Close(); err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, s)
		return err
	}
}

func serveQUIC(l *quic.Listener) {
	for {
		conn, err := l.Accept(context.Background())
		if err != nil {
			return
		}
		go func() {
			for {
				s, err := conn.AcceptStream(context.Background())
				if err != nil {
					return
				}
				go func() {
					_, _ = io.Copy(io.Discard, s)
					_, _ = s.Write(responseBody)
					_ = s.Close()
				}()
			}
		}()
	}
}

var transports = []struct {
	name string
	open func(*testing.B) func() error
}{{"HTTP", httpCall}, {"QUIC", quicCall}}

// BenchmarkPaced measures the latency of calls at 800 a second.
func BenchmarkPaced(b *testing.B) {
	for _, c := range transports {
		b.Run(c.name, func(b *testing.B) {
			call := c.open(b)
			h := hdrhistogram.New(1, 10_000_000, 3)
			for b.Loop() {
				time.Sleep(callInterval)
				start := time.Now()
				check(b, call())
				_ = h.RecordValue(time.Since(start).Microseconds())
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
		})
	}
}

// BenchmarkSaturated measures the calls per second with four callers for each
// processor. More callers do not raise the rate.
func BenchmarkSaturated(b *testing.B) {
	for _, c := range transports {
		b.Run(c.name, func(b *testing.B) {
			call := c.open(b)
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := call(); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

// BenchmarkIdleMemory measures the memory of an idle connection, both ends together.
func BenchmarkIdleMemory(b *testing.B) {
	const connections = 200
	for _, c := range []struct {
		name string
		open func(*testing.B, *tlskeys.Keys, int)
	}{{"TLS", idleTLS}, {"QUIC", idleQUIC}} {
		b.Run(c.name, func(b *testing.B) {
			k := newKeys(b)
			// One measurement, whatever the requested number of iterations.
			before := heapInUse()
			c.open(b, k, connections)
			b.ReportMetric(float64(heapInUse()-before)/connections/1024, "KB/connection")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func idleTLS(b *testing.B, k *tlskeys.Keys, n int) {
	server := k.ServerConfig()
	server.NextProtos = []string{"http/1.1"}
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	check(b, err)
	s := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	for range n {
		c, err := tls.Dial("tcp", l.Addr().String(), k.ClientConfig())
		check(b, err)
		b.Cleanup(func() { _ = c.Close() })
	}
}

func idleQUIC(b *testing.B, k *tlskeys.Keys, n int) {
	server, client := k.ServerConfig(), k.ClientConfig()
	server.NextProtos, client.NextProtos = []string{"bench"}, []string{"bench"}
	l, err := quic.ListenAddr("127.0.0.1:0", server, nil)
	check(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go serveQUIC(l)
	for range n {
		c, err := quic.DialAddr(context.Background(), l.Addr().String(), client, nil)
		check(b, err)
		b.Cleanup(func() { _ = c.CloseWithError(0, "") })
	}
}
