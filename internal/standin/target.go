// Package standin implements a test target: an HTTP server that announces itself
// to its host's node, sends answers that callers can verify, counts the runs of
// each order, and injects faults on demand.
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
	maxBodySize     = 16 << 20 // bytes of a request or an answer
	defaultBodySize = 256      // bytes of an answer
)

// Options are the settings of a target.
type Options struct {
	ID          mesh.TargetID
	Service     mesh.ServiceName
	Version     mesh.TargetVersion
	Address     string // IP:port to serve on; port 0 selects a free port
	Control     string // IP:port for the control paths alone, optional
	AnnounceURL string // base URL of the node's announce address; empty disables announcements
	CallerURL   string // base URL for outgoing calls, see HeaderNext
	Slots       int    // concurrent calls; 0 means no limit
	Connections int    // maximum number of connections; announced, not enforced
	Faults      Faults
	Seed        uint64

	AnnouncePeriod time.Duration // default 1 s
	// DrainDelay is how long a stopping target still accepts calls after it has
	// left the mesh, because the withdrawal reaches the nodes with a delay.
	DrainDelay   time.Duration
	DrainTimeout time.Duration // default 65 s; longer than the longest route timeout

	// OnRun is called when an order starts to run. Calls of OnRun are serialized.
	OnRun func(order string)
	// Die is called when an injected fault crashes the target, before Kill. It
	// may end the process and is optional.
	Die func()
	// Log logs an event. By default events are discarded.
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

// Target is a test target. Its methods are safe for concurrent use.
type Target struct {
	options   Options
	started   time.Time
	slots     chan struct{} // semaphore; nil means no limit
	server    *http.Server
	control   *http.Server
	caller    *http.Client // for outgoing calls
	listener  *listener
	stopping  atomic.Bool
	leaving   chan struct{} // closed when the target must leave the mesh
	leaveOnce sync.Once
	killed    chan struct{}
	killOnce  sync.Once

	mu          sync.Mutex
	faults      Faults
	faultsSetAt time.Time // when the faults were set
	rand        *rand.Rand

	counters counters
	health   cached[bool]
	load     cached[float64]
}

// New returns a target that is not serving yet.
func New(o Options) *Target {
	o.setDefaults()
	t := &Target{
		options: o, started: time.Now(), faults: o.Faults, faultsSetAt: time.Now(), rand: rand.New(rand.NewPCG(o.Seed, 1)),
		leaving: make(chan struct{}), killed: make(chan struct{}),
	}
	t.caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: max(o.Slots, http.DefaultMaxIdleConnsPerHost)}}
	if o.Slots > 0 {
		t.slots = make(chan struct{}, o.Slots)
	}
	t.counters.runs, t.counters.onRun = map[string]int{}, o.OnRun
	t.server = &http.Server{Handler: t.Handler(), ConnContext: withConnection}
	t.control = &http.Server{Handler: t.controlHandler()}
	return t
}

// Listen opens the listening sockets and starts to serve the control address.
func (t *Target) Listen() error {
	l, err := net.Listen("tcp", t.options.Address)
	if err != nil {
		return fmt.Errorf("target %s: %w", t.options.ID, err)
	}
	t.listener = newListener(l, t)
	if t.options.Control == "" {
		return nil
	}
	c, err := net.Listen("tcp", t.options.Control)
	if err != nil {
		l.Close()
		return fmt.Errorf("target %s: control: %w", t.options.ID, err)
	}
	go func() { _ = t.control.Serve(c) }()
	return nil
}

// Addr returns the address that the target serves on. Call Listen first.
func (t *Target) Addr() string { return t.listener.Addr().String() }

// Run calls Listen unless it was called before, and serves until the context
// ends. Then it leaves the mesh, drains, and returns nil.
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
	case <-t.killed:
		<-announced
		return fmt.Errorf("target %s was killed", t.options.ID)
	case err := <-served:
		t.leaveMesh()
		<-announced
		return fmt.Errorf("target %s: %w", t.options.ID, err)
	}
	t.stopping.Store(true)
	t.leaveMesh()
	<-announced
	return t.drain()
}

// drain accepts calls for the drain delay and then waits for calls in flight.
func (t *Target) drain() error {
	defer t.listener.closeAll()
	time.Sleep(t.options.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), t.options.DrainTimeout)
	defer cancel()
	if err := t.server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		t.server.Close()
		return fmt.Errorf("target %s: drain: %w", t.options.ID, err)
	}
	return nil
}

// leaveMesh makes announce withdraw the target and return.
func (t *Target) leaveMesh() { t.leaveOnce.Do(func() { close(t.leaving) }) }

// Kill stops the target abruptly, like a crash: it closes all connections
// without leaving the mesh.
func (t *Target) Kill() {
	t.killOnce.Do(func() {
		close(t.killed)
		if t.listener != nil {
			t.listener.closeAll()
		}
		t.server.Close()
		t.control.Close()
	})
}

func (t *Target) crash() {
	t.options.Log("dies", nil)
	if t.options.Die != nil {
		t.options.Die()
	}
	t.Kill()
}

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	t.faults, t.faultsSetAt = f, time.Now()
	t.mu.Unlock()
	if f.Draining {
		t.leaveMesh()
	}
}

// faultsAndAge returns the injected faults and the time since they were set.
func (t *Target) faultsAndAge() (Faults, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, time.Since(t.faultsSetAt)
}

// Faults returns the injected faults.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}
