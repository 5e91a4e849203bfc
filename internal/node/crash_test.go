package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/standin"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const (
	crashRunTime   = 9 * time.Second
	crashInterval  = 200 * time.Millisecond
	targetDowntime = 2 * time.Second
	touch          = 3 * time.Second
	minServed      = 0.95
)

// crashLog records when a request that ends targets reached one.
type crashLog struct {
	mu   sync.Mutex
	ends []time.Time
}

// startFragileTarget starts a target that requests under /crash end, and another one
// when it has ended.
func (m *testMesh) startFragileTarget(n *runningNode, ends *crashLog, generation int) {
	ctx, cancel := context.WithCancel(m.t.Context())
	target := standin.New(standin.Options{
		ID: mesh.TargetID(fmt.Sprintf("t-%s-%d", n.settings.Host, generation)), Service: "orderdesk", Version: "tray-1", Address: "127.0.0.1:0",
		Slots: 12, Connections: 130, AnnounceURL: "http://" + n.settings.AnnounceAddress.String(),
		Faults: standin.Faults{Die: standin.DieRunning, PathPrefix: "/crash", ServiceTime: standin.ServiceTime{MeanMS: 10}},
		Die: func() {
			ends.mu.Lock()
			ends.ends = append(ends.ends, time.Now())
			ends.mu.Unlock()
			time.AfterFunc(targetDowntime, func() {
				if m.t.Context().Err() == nil {
					m.startFragileTarget(n, ends, generation+1)
				}
			})
		},
	})
	if err := target.Listen(); err != nil {
		m.t.Error(err)
		cancel()
		return
	}
	go func() {
		defer cancel()
		_ = target.Run(ctx) // a target that has ended reports its end
	}()
}

func send(n *runningNode, method, path, body string, chunked bool) (*http.Response, error) {
	var r io.Reader = strings.NewReader(body)
	if chunked {
		r = io.MultiReader(r) // hides the length
	}
	req, err := http.NewRequest(method, "http://"+n.settings.CallerAddress.String()+path, r)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// TestRequestThatEndsTargetsIsStopped guards against a request that ends each target that runs it and is sent on and on.
func TestRequestThatEndsTargetsIsStopped(t *testing.T) {
	for _, tc := range []struct {
		name, method, body string
		chunked            bool
	}{
		{"idempotent", "GET", "", false},
		{"not idempotent, chunked body", "POST", "tray", true},
		{"idempotent, long body", "PUT", string(bytes.Repeat([]byte("tray"), 40<<10)), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			m := newTestMesh(t)
			var ends crashLog
			var nodes []*runningNode
			for i := range 5 {
				n := m.start(m.settings(mesh.HostID(fmt.Sprint("host-", i))))
				nodes = append(nodes, n)
				m.startFragileTarget(n, &ends, 0)
			}
			m.acceptConfig("route * / to orderdesk tray-1 # Oyuna: all\n")
			for _, n := range nodes {
				m.waitFor(activationBound, "call served", func() bool {
					resp, err := send(n, "GET", "/start", "", false)
					return err == nil && resp.StatusCode == http.StatusOK
				})
			}
			var wg sync.WaitGroup
			var mu sync.Mutex
			sent, served := 0, 0
			last := ""
			for k, until := 0, time.Now().Add(crashRunTime); time.Now().Before(until); k++ {
				wg.Go(func() {
					if resp, err := send(nodes[k%len(nodes)], tc.method, "/crash/1?by=spool", tc.body, tc.chunked); err == nil {
						mu.Lock()
						defer mu.Unlock()
						last = fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Nutmeghoist-Reason"))
					}
				})
				for j := range 5 {
					wg.Go(func() {
						path := "/stock"
						if j > 1 {
							path = fmt.Sprint("/stock/", k, "/", j)
						}
						resp, err := send(nodes[(k+j)%len(nodes)], "GET", path, "", false)
						mu.Lock()
						defer mu.Unlock()
						sent++
						if err == nil && resp.StatusCode == http.StatusOK {
							served++
						}
					})
				}
				time.Sleep(crashInterval)
			}
			wg.Wait()
			late := 0
			ends.mu.Lock()
			defer ends.mu.Unlock()
			for _, at := range ends.ends {
				if len(ends.ends) >= 3 && at.Sub(ends.ends[2]) > touch {
					late++
				}
			}
			share := float64(served) / float64(sent)
			t.Logf("%d ends, %d later than %s after the third; %.3f of the other calls served; last answer %s", len(ends.ends), late, touch, share, last)
			if len(ends.ends) < 3 || late > 3 {
				t.Errorf("%d ends, %d of them late; want 3 or more, and at most 3 late", len(ends.ends), late)
			}
			if share < minServed {
				t.Errorf("%.3f of the other calls were served, want %.2f", share, minServed)
			}
			if last != "503 suspect" {
				t.Errorf("last answer %q, want 503 suspect", last)
			}
		})
	}
}
