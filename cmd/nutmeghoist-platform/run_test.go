package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	adapter "nutmeghoist.example/nutmeghoist/platform"
)

type buffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// Guards against a start that reports only the first invalid setting.
func TestParseReportsAllFindings(t *testing.T) {
	var l finding.List
	_, err := parse([]string{"--address", "10.0.0.1:8500", "--writes-per-second", "0", "--reads-per-second", "many", "extra"})
	if !errors.As(err, &l) || len(l) != 4 {
		t.Fatalf("got %v, want 4 findings", err)
	}
	t.Setenv("NUTMEGHOIST_WRITES_PER_SECOND", "7")
	if s, err := parse(nil); err != nil || s.writesPerSecond != 7 {
		t.Fatalf("got %+v, %v", s, err)
	}
}

// Guards against a stand-in that does not inject the faults set at /faults, or
// that does not stop when its context ends.
func TestRun(t *testing.T) {
	s, err := parse([]string{"--address", "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var logs buffer
	address, done := make(chan net.Addr, 1), make(chan error, 1)
	go func() { done <- run(ctx, s, &logs, func(a net.Addr) { address <- a }) }()
	url := "http://" + (<-address).String()
	client := adapter.NewStore(url, metrics.NewRegistry())
	resp, err := http.Post(url+"/faults", "application/json", strings.NewReader(`{"down": true}`))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v", resp, err)
	}
	resp.Body.Close()
	if _, err := client.Get(ctx, "config/head"); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("got %v, want ErrUnavailable", err)
	}
	stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if text := logs.b.String(); !strings.Contains(text, `down="true"`) || !strings.Contains(text, "platform stopped") {
		t.Fatalf("logs:\n%s", text)
	}
}
