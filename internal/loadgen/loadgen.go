// Package loadgen generates an open-loop load: it calls nodes at a set rate,
// however fast they answer, and classifies each answer by its meaning to a caller.
package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

// Arrivals is the distribution of the arrivals over time.
type Arrivals string

// The distributions of arrivals.
const (
	Poisson  Arrivals = "poisson" // independent callers; the default
	Constant Arrivals = "constant"
)

// Kind is one kind of calls in the mix.
type Kind struct {
	Method   string
	Path     string
	Weight   float64 // share of the calls, relative to the other kinds
	BodySize int     // bytes of the request's body
	Header   http.Header
}

// Name returns the name of the kind, for example "GET /menus".
func (k *Kind) Name() string { return k.Method + " " + k.Path }

// Options are the settings of a run.
type Options struct {
	Nodes    []string // base URLs, called in round robin
	Rate     float64  // calls per second over all nodes
	Duration time.Duration
	Arrivals Arrivals
	Mix      []Kind
	Timeout  time.Duration // of a call; default 5 s
	// SendTimeout sends the timeout of each call to the node.
	SendTimeout bool
	// MaxInFlight bounds the calls in flight; default 10,000. Calls beyond it
	// are counted as unsent, so that a run cannot exhaust the memory.
	MaxInFlight int
	// Connections bounds the connections to each node; 0 means unlimited.
	Connections int
	// Keys is the number of distinct call keys; 0 sends none.
	Keys        int
	Seed        uint64
	OrderPrefix string // prefix of the order numbers; must be unique among concurrent runs
	// KeepOutcomes keeps the outcome of each order for CheckRuns.
	KeepOutcomes bool
	// Observe is called after each call, from several goroutines.
	Observe func(Call)
	// Transport carries the calls. The default is a connection pool of the run.
	Transport http.RoundTripper
}

// Call is one call and its outcome.
type Call struct {
	Order       string
	Kind        *Kind
	Node        string
	Outcome     Outcome
	Status      int           // 0 without a response
	Version     string        // of the target that answered
	Reason      string        // of a refusal by the system
	Start       time.Time     // when the call was due
	Latency     time.Duration // from when it was due to the last byte
	ServiceTime time.Duration // from when it was sent to the last byte
	Err         error
}

func (o *Options) setDefaults() {
	if o.Timeout <= 0 {
		o.Timeout = 5 * time.Second
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = 10_000
	}
	if o.Arrivals == "" {
		o.Arrivals = Poisson
	}
	if o.OrderPrefix == "" {
		o.OrderPrefix = fmt.Sprintf("o%x", rand.Uint64())
	}
}

func (o *Options) check() error {
	var errs []error
	rejectIf := func(invalid bool, format string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	rejectIf(len(o.Nodes) == 0, "no node is given")
	for _, n := range o.Nodes {
		u, err := url.Parse(n)
		rejectIf(err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "", "node %q is not a base URL", n)
	}
	rejectIf(!(o.Rate > 0), "rate %g is not above 0", o.Rate)
	rejectIf(o.Duration <= 0, "duration %s is not above 0", o.Duration)
	rejectIf(o.Arrivals != Poisson && o.Arrivals != Constant, "arrivals %q are neither %s nor %s", o.Arrivals, Poisson, Constant)
	rejectIf(len(o.Mix) == 0, "the mix of calls is empty")
	for i := range o.Mix {
		k := &o.Mix[i]
		rejectIf(!(k.Weight > 0), "weight of %s is not above 0", k.Name())
		rejectIf(k.Method == "" || !strings.HasPrefix(k.Path, "/"), "call %q is not METHOD /path", k.Name())
	}
	return errors.Join(errs...)
}

// generator is one run.
type generator struct {
	options     Options
	client      *http.Client
	rand        *rand.Rand // used only by sendCalls
	totalWeight float64
	slots       chan struct{}
	calls       sync.WaitGroup
	recorder    *recorder
}

// Run calls the nodes until the duration is over or the context ends, waits for
// the calls in flight and returns the result.
func Run(ctx context.Context, o Options) (Result, error) {
	o.setDefaults()
	if err := o.check(); err != nil {
		return Result{}, fmt.Errorf("load: %w", err)
	}
	if o.Transport == nil {
		t := newTransport(&o)
		defer t.CloseIdleConnections()
		o.Transport = t
	}
	g := &generator{
		options: o, client: &http.Client{Transport: o.Transport, CheckRedirect: noRedirect},
		rand:  rand.New(rand.NewPCG(o.Seed, 2)),
		slots: make(chan struct{}, o.MaxInFlight), recorder: newRecorder(&o),
	}
	for _, k := range o.Mix {
		g.totalWeight += k.Weight
	}
	start := time.Now()
	g.sendCalls(ctx, start)
	sent := time.Since(start)
	g.calls.Wait()
	return g.recorder.finish(sent), nil
}

func newTransport(o *Options) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: o.MaxInFlight,
		MaxConnsPerHost:     o.Connections,
		DisableCompression:  true,
		IdleConnTimeout:     90 * time.Second,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// sendCalls sends each call when it is due, and overdue calls at once. The
// latency of a call counts from when it was due, so that a slow node cannot
// hide its delay by slowing the generator (coordinated omission).
func (g *generator) sendCalls(ctx context.Context, start time.Time) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due, end := start, start.Add(g.options.Duration)
	for n := 0; due.Before(end); n++ {
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return
		}
		g.startCall(ctx, n, due)
		due = due.Add(g.nextInterval())
	}
}

func (g *generator) nextInterval() time.Duration {
	mean := float64(time.Second) / g.options.Rate
	if g.options.Arrivals == Constant {
		return time.Duration(mean)
	}
	return time.Duration(mean * g.rand.ExpFloat64())
}

func (g *generator) startCall(ctx context.Context, number int, due time.Time) {
	c := Call{
		Order: fmt.Sprintf("%s-%d", g.options.OrderPrefix, number), Kind: g.pickKind(), Start: due,
		Node: g.options.Nodes[number%len(g.options.Nodes)],
	}
	key := ""
	if g.options.Keys > 0 {
		key = fmt.Sprintf("k%d", g.rand.IntN(g.options.Keys))
	}
	select {
	case g.slots <- struct{}{}:
	default:
		g.recorder.countUnsent()
		return
	}
	g.recorder.countSent(time.Since(due))
	// The calls in flight finish even when the run is cancelled, so that each
	// sent order has an outcome. Their timeout bounds the wait.
	ctx = context.WithoutCancel(ctx)
	g.calls.Go(func() {
		defer func() { <-g.slots }()
		sent := time.Now()
		g.call(ctx, &c, key)
		c.Latency, c.ServiceTime = time.Since(due), time.Since(sent)
		g.recorder.addCall(&c)
		if g.options.Observe != nil {
			g.options.Observe(c)
		}
	})
}

// pickKind chooses a kind at random by weight.
func (g *generator) pickKind() *Kind {
	x := g.rand.Float64() * g.totalWeight
	for i := range g.options.Mix {
		if x -= g.options.Mix[i].Weight; x < 0 {
			return &g.options.Mix[i]
		}
	}
	return &g.options.Mix[len(g.options.Mix)-1]
}
