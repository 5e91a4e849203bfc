// Package standin is a small stand-in for a target: an HTTP server that
// announces itself to its host's node, answers calls so that a caller can check
// the answer, counts the runs of each order, and shows faults on demand.
package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const (
	maxBodySize     = 16 << 20 // bytes, of a request or an answer
	defaultBodySize = 256      // bytes, of an answer
)

// Options are the settings of a target.
type Options struct {
	ID          mesh.TargetID
	Service     mesh.ServiceName
	Version     mesh.TargetVersion
	Address     string // IP:port to serve on; port 0 takes a free one
	Control     string // IP:port for the control paths alone, optional
	AnnounceURL string // base URL of the node's announce address; empty announces nothing
	CallerURL   string // base URL where the target places calls of its own, for HeaderNext
	Slots       int    // calls it runs at the same time; 0 means no limit
	Connections int
	Faults      Faults
	Seed        uint64

	AnnouncePeriod time.Duration // default 1 s
	// DrainDelay is how long a stopping target still takes calls after it has
	// left, since the nodes hear of it with a delay.
	DrainDelay   time.Duration
	DrainTimeout time.Duration // default 65 s; longer than the longest route timeout

	// OnRun is called when the run of an order starts, one call at a time.
	OnRun func(order string)
	// Die ends the process. The default closes the listener and all connections.
	Die func()
	// Log is called with events worth a log line. The default drops them.
	Log func(event string, err error)
}

func (o *Options) setDefaults() {
	if o.AnnouncePeriod <= 0 {
		o.AnnouncePeriod = time.Second
	}
	if o.DrainTimeout <= 0 {
		o.DrainTimeout = 65 * time.Second
	}
	if o.Log == nil {
		o.Log = func(string, error) {}
	}
}

// Target is a target. Its methods are safe for concurrent use.
type Target struct {
	o        Options
	started  time.Time
	slots    chan struct{} // nil without a limit
	server   *http.Server
	control  *http.Server
	caller   *http.Client // for calls of its own
	listener *listener
	stopping atomic.Bool
	left     chan struct{} // closed when the target must leave the mesh
	leave    sync.Once
	dead     chan struct{}
	kill     sync.Once

	mu     sync.Mutex
	faults Faults
	set    time.Time // when the faults were set
	rand   *rand.Rand

	counters counters
	health   lagging[bool]
	load     lagging[float64]
}

// New returns a target that does not serve yet.
func New(o Options) *Target {
	o.setDefaults()
	t := &Target{
		o: o, started: time.Now(), faults: o.Faults, set: time.Now(), rand: rand.New(rand.NewPCG(o.Seed, 1)),
		left: make(chan struct{}), dead: make(chan struct{}),
	}
	t.caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: max(o.Slots, http.DefaultMaxIdleConnsPerHost)}}
	if o.Slots > 0 {
		t.slots = make(chan struct{}, o.Slots)
	}
	t.counters.runs, t.counters.onRun = map[string]int{}, o.OnRun
	t.server = &http.Server{Handler: t.Handler(), ConnContext: withConn}
	t.control = &http.Server{Handler: t.controlHandler()}
	return t
}

// Listen opens the addresses of the target.
func (t *Target) Listen() error {
	l, err := net.Listen("tcp", t.o.Address)
	if err != nil {
		return fmt.Errorf("target %s: %w", t.o.ID, err)
	}
	t.listener = newListener(l, t)
	if t.o.Control == "" {
		return nil
	}
	c, err := net.Listen("tcp", t.o.Control)
	if err != nil {
		l.Close()
		return fmt.Errorf("target %s: control: %w", t.o.ID, err)
	}
	go func() { _ = t.control.Serve(c) }()
	return nil
}

// Addr returns the address that the target serves on. Call Listen first.
func (t *Target) Addr() string { return t.listener.Addr().String() }

// Run listens, if Listen was not called, and serves until the context ends.
// Then it leaves the mesh, drains, and returns nil.
func (t *Target) Run(ctx context.Context) error {
	if t.listener == nil {
		if err := t.Listen(); err != nil {
			return err
		}
	}
	defer t.caller.CloseIdleConnections()
	defer t.control.Close()
	served := make(chan error, 1)
	go func() { served <- t.server.Serve(t.listener) }()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		t.announce()
	}()
	select {
	case <-ctx.Done():
	case <-t.dead:
		<-announced
		return fmt.Errorf("target %s died", t.o.ID)
	case err := <-served:
		t.leaveMesh()
		<-announced
		return fmt.Errorf("target %s: %w", t.o.ID, err)
	}
	t.stopping.Store(true)
	t.leaveMesh()
	<-announced
	return t.drain()
}

// drain serves for the drain delay and then finishes the calls in flight.
func (t *Target) drain() error {
	defer t.listener.closeAll()
	time.Sleep(t.o.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), t.o.DrainTimeout)
	defer cancel()
	if err := t.server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		t.server.Close()
		return fmt.Errorf("target %s: drain: %w", t.o.ID, err)
	}
	return nil
}

// leaveMesh ends the announcements with a withdrawal.
func (t *Target) leaveMesh() { t.leave.Do(func() { close(t.left) }) }

// Kill ends the target at once, as a crash would: it does not leave the mesh
// and closes its connections.
func (t *Target) Kill() {
	t.kill.Do(func() {
		close(t.dead)
		if t.listener != nil {
			t.listener.closeAll()
		}
		t.server.Close()
		t.control.Close()
	})
}

func (t *Target) die() {
	t.o.Log("dies", nil)
	if t.o.Die != nil {
		t.o.Die()
	}
	t.Kill()
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	t.faults, t.set = f, time.Now()
	t.mu.Unlock()
	if f.Draining {
		t.leaveMesh()
	}
}

// current returns the faults and the time since they were set.
func (t *Target) current() (Faults, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, time.Since(t.set)
}

// Faults returns the faults that are set.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}
