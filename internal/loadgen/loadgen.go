// Package loadgen calls nodes at a set rate, whether or not the answers keep up
// (open loop), and classifies each answer by what it means for a caller.
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

// Arrivals says how the calls are spread over time.
type Arrivals string

// The kinds of arrivals.
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

// Name names the kind, for example "GET /menus".
func (k *Kind) Name() string { return k.Method + " " + k.Path }

// Options are the settings of a run.
type Options struct {
	Nodes    []string // base URLs; the calls go to them in turn
	Rate     float64  // calls per second over all nodes
	Duration time.Duration
	Arrivals Arrivals
	Mix      []Kind
	Timeout  time.Duration // of a call; default 5 s
	// SendTimeout tells the node the timeout of the call.
	SendTimeout bool
	// MaxInFlight bounds the calls in flight; default 10,000. Calls beyond it
	// are counted as unsent, so that a run cannot take all memory.
	MaxInFlight int
	// Connections bounds the connections to each node; 0 means no bound.
	Connections int
	// Keys is the number of distinct call keys; 0 sends none.
	Keys  int
	Seed  uint64
	OrderPrefix string // prefix of the order numbers; must be unique among concurrent runs
	// KeepOutcomes keeps the outcome of each order for CheckRuns.
	KeepOutcomes bool
	// Observe is called after each call, from several goroutines.
	Observe func(Call)
	// Transport carries the calls. The default is a pool of its own.
	Transport http.RoundTripper
}

// Call is one call and its outcome.
type Call struct {
	Order   string
	Kind    *Kind
	Node    string
	Outcome Outcome
	Status  int           // 0 without a response
	Version string        // of the target that answered
	Reason  string        // of a refusal by the system
	Start   time.Time     // when the call was due
	Latency time.Duration // from when it was due to the last byte
	ServiceTime time.Duration // from when it was sent to the last byte
	Err     error
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
	add := func(bad bool, format string, args ...any) {
		if bad {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	add(len(o.Nodes) == 0, "no node is named")
	for _, n := range o.Nodes {
		u, err := url.Parse(n)
		add(err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "", "node %q is not a base URL", n)
	}
	add(!(o.Rate > 0), "rate %g is not above 0", o.Rate)
	add(o.Duration <= 0, "duration %s is not above 0", o.Duration)
	add(o.Arrivals != Poisson && o.Arrivals != Constant, "arrivals %q are neither %s nor %s", o.Arrivals, Poisson, Constant)
	add(len(o.Mix) == 0, "the mix has no call")
	for i := range o.Mix {
		k := &o.Mix[i]
		add(!(k.Weight > 0), "weight of %s is not above 0", k.Name())
		add(k.Method == "" || !strings.HasPrefix(k.Path, "/"), "call %q is not METHOD /path", k.Name())
	}
	return errors.Join(errs...)
}

// generator is one run.
type generator struct {
	o       Options
	client  *http.Client
	rand    *rand.Rand // of the loop only
	weights float64
	slots   chan struct{}
	calls   sync.WaitGroup
	record  *recorder
}

// Run calls the nodes until the duration is over or the context ends, waits for
// the calls in flight and returns what was seen.
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
		o: o, client: &http.Client{Transport: o.Transport, CheckRedirect: noRedirect},
		rand:  rand.New(rand.NewPCG(o.Seed, 2)),
		slots: make(chan struct{}, o.MaxInFlight), record: newRecorder(&o),
	}
	for _, k := range o.Mix {
		g.weights += k.Weight
	}
	start := time.Now()
	g.loop(ctx, start)
	sent := time.Since(start)
	g.calls.Wait()
	return g.record.result(sent), nil
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

// loop sends each call when it is due. A loop that is behind sends at once; the
// latency of a call counts from when it was due, so that a slow node cannot
// hide its delay by slowing the generator.
func (g *generator) loop(ctx context.Context, start time.Time) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due, end := start, start.Add(g.o.Duration)
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
		g.start(ctx, n, due)
		due = due.Add(g.gap())
	}
}

func (g *generator) gap() time.Duration {
	mean := float64(time.Second) / g.o.Rate
	if g.o.Arrivals == Constant {
		return time.Duration(mean)
	}
	return time.Duration(mean * g.rand.ExpFloat64())
}

func (g *generator) start(ctx context.Context, n int, due time.Time) {
	c := Call{
		Order: fmt.Sprintf("%s-%d", g.o.OrderPrefix, n), Kind: g.pick(), Start: due,
		Node: g.o.Nodes[n%len(g.o.Nodes)],
	}
	key := ""
	if g.o.Keys > 0 {
		key = fmt.Sprintf("k%d", g.rand.IntN(g.o.Keys))
	}
	select {
	case g.slots <- struct{}{}:
	default:
		g.record.unsent()
		return
	}
	g.record.lag(time.Since(due))
	// The calls in flight finish when the run is cancelled, so that each sent
	// order has an outcome; their timeout bounds them.
	ctx = context.WithoutCancel(ctx)
	g.calls.Go(func() {
		defer func() { <-g.slots }()
		sent := time.Now()
		g.call(ctx, &c, key)
		c.Latency, c.ServiceTime = time.Since(due), time.Since(sent)
		g.record.add(&c)
		if g.o.Observe != nil {
			g.o.Observe(c)
		}
	})
}

// pick draws a kind by weight.
func (g *generator) pick() *Kind {
	x := g.rand.Float64() * g.weights
	for i := range g.o.Mix {
		if x -= g.o.Mix[i].Weight; x < 0 {
			return &g.o.Mix[i]
		}
	}
	return &g.o.Mix[len(g.o.Mix)-1]
}
