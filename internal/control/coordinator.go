package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
)

// rolloutTable holds a row for each service, which names the coordinator of its
// rollout. Its version fences the coordinator's writes.
const rolloutTable = "rollouts"

const (
	// coordinatorPeriod is how often a rollout is looked at.
	coordinatorPeriod = 100 * time.Millisecond
	// claimDelay is how long each further candidate waits for the one before it.
	claimDelay = 500 * time.Millisecond
	// writeBackoff is the time between writes that fail.
	writeBackoff = 300 * time.Millisecond
	// forceFrom is the part of a rollout's time from which hosts that do not
	// confirm the full share no longer hold up its completion.
	forceFrom = 0.95
)

var errHeld = errors.New("another host that is alive coordinates it")

// rolloutRow is the value of a row of rolloutTable.
type rolloutRow struct {
	rollout.Progress
	// Nonce names the write, so that one whose answer was lost is recognised.
	Nonce uint64 `json:"nonce"`
}

// coordinator takes up orders and leads their rollouts.
type coordinator struct {
	c      *Agent
	wakeup chan struct{}

	mu   sync.Mutex
	held map[mesh.ServiceName]*lead
	// missing is when a service's rollout was first seen without a live coordinator.
	missing map[mesh.ServiceName]time.Time
	// heard is when the newest step of each service's rollout came here; the loop
	// alone uses it.
	heard map[mesh.ServiceName]heardStep
}

// heardStep is a step of a rollout with the time when it came here.
type heardStep struct {
	revision, epoch, step uint64
	at                    time.Time
}

// lead is a rollout that this host coordinates.
type lead struct {
	order   rollout.Order
	begun   time.Time // when the order was accepted, as far as this host knows
	version uint64    // of the row, the fencing token
	current rollout.Progress
	tallies map[mesh.HostID]*rollout.Tally
	history rollout.History
	stepped time.Time // when the share last changed
	pause   time.Time // no write before
}

func newCoordinator(c *Agent) *coordinator {
	return &coordinator{
		c: c, wakeup: make(chan struct{}, 1),
		held: make(map[mesh.ServiceName]*lead), missing: make(map[mesh.ServiceName]time.Time),
		heard: make(map[mesh.ServiceName]heardStep),
	}
}

func (k *coordinator) run(ctx context.Context) {
	for {
		busy := k.look(ctx)
		wait := time.Minute
		if busy {
			wait = coordinatorPeriod
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-k.wakeup:
		case <-t.C:
		}
		t.Stop()
	}
}

// look works on each order that is not settled, and reports whether there is one.
func (k *coordinator) look(ctx context.Context) bool {
	k.c.mu.Lock()
	orders := make([]seenOrder, 0, len(k.c.orders))
	for _, o := range k.c.orders {
		orders = append(orders, o)
	}
	k.c.mu.Unlock()
	hosts := k.c.members.Hosts()
	progress := newestProgress(hosts)
	k.hear(progress)
	busy := false
	for _, o := range orders {
		p := progress[o.Service]
		if p != nil && (p.Revision > o.Revision || p.Revision == o.Revision && p.State.IsFinal()) {
			k.drop(o.Service)
			continue
		}
		busy = true
		if p != nil && p.Revision < o.Revision {
			p = nil
		}
		if l := k.leadOf(o.Service, o.Revision); l != nil {
			k.lead(ctx, l, p, hosts)
			continue
		}
		if k.mayClaim(o.Order, p, hosts) {
			k.claim(ctx, o, p)
		}
	}
	return busy
}

// hear keeps when the steps of rollouts came here, so that a host that learns of
// an order only when it takes the rollout knows how much of its time is over.
func (k *coordinator) hear(progress map[mesh.ServiceName]*rollout.Progress) {
	for service, p := range progress {
		if h := k.heard[service]; h.revision != p.Revision || h.epoch != p.Epoch || h.step != p.Step {
			k.heard[service] = heardStep{p.Revision, p.Epoch, p.Step, time.Now()}
		}
	}
}

func (k *coordinator) leadOf(service mesh.ServiceName, revision uint64) *lead {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.held[service]; l != nil && l.order.Revision == revision {
		return l
	}
	return nil
}

func (k *coordinator) drop(service mesh.ServiceName) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.held, service)
	delete(k.missing, service)
}

// mayClaim reports whether this host's turn has come to take a rollout that
// nobody coordinates.
func (k *coordinator) mayClaim(o rollout.Order, p *rollout.Progress, hosts []membership.Host) bool {
	self := k.c.cfg.Self.ID
	rank, holderAlive := 0, false
	own := xxhash.Sum64String(string(self) + "\x00" + string(o.Service))
	for i := range hosts {
		h := &hosts[i]
		alive := h.Status == membership.StatusAlive && !h.Detached
		if p != nil && h.ID == p.Holder && h.ID != self && alive {
			holderAlive = true
		}
		if h.ID == self && (!alive || h.Status != membership.StatusAlive) {
			return false
		}
		if alive && h.ID != self && xxhash.Sum64String(string(h.ID)+"\x00"+string(o.Service)) < own && k.followsIn(h, hosts) {
			rank++
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if holderAlive {
		delete(k.missing, o.Service)
		return false
	}
	since, ok := k.missing[o.Service]
	if !ok {
		since = time.Now()
		k.missing[o.Service] = since
	}
	return time.Since(since) >= time.Duration(rank)*claimDelay
}

// followsIn reports whether a host follows the store for its data centre, and
// so knows the orders.
func (k *coordinator) followsIn(h *membership.Host, hosts []membership.Host) bool {
	own := xxhash.Sum64String(string(h.ID))
	for i := range hosts {
		o := &hosts[i]
		if o.DataCentre == h.DataCentre && o.ID != h.ID && o.Status == membership.StatusAlive && !o.Detached &&
			xxhash.Sum64String(string(o.ID)) < own {
			return false
		}
	}
	return true
}

// claim takes a rollout: the row's version that it writes is the fencing token.
func (k *coordinator) claim(ctx context.Context, o seenOrder, p *rollout.Progress) {
	key := rolloutTable + "/" + string(o.Service)
	row, err := k.c.cfg.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		k.unclaimed(o.Service, err)
		return
	}
	next := rolloutRow{Progress: rollout.Progress{
		Service: o.Service, To: o.To, Revision: o.Revision, Epoch: 1, State: rollout.Running, Holder: k.c.cfg.Self.ID,
	}, Nonce: rand.Uint64()}
	begun := o.at
	if err == nil {
		var old rolloutRow
		if err := json.Unmarshal(row.Value, &old); err != nil {
			k.c.cfg.Log.Error().Err(err).Str("row", key).Msg("rollout row cannot be read; writing it anew")
		}
		next.Epoch = old.Epoch + 1
		if old.Revision == o.Revision {
			if old.State.IsFinal() {
				k.publish(old.Progress)
				return
			}
			if h, ok := k.c.members.Get(old.Holder); ok && old.Holder != k.c.cfg.Self.ID && h.Status == membership.StatusAlive && !h.Detached {
				// Its progress has not come here yet.
				k.unclaimed(o.Service, errHeld)
				return
			}
			begun = earlier(begun, old.ElapsedMs)
		}
	}
	if p != nil {
		next.Epoch = max(next.Epoch, p.Epoch+1)
		next.Permille = p.Permille
		begun = earlier(begun, p.ElapsedMs+time.Since(k.heard[o.Service].at).Milliseconds())
	}
	next.ElapsedMs = time.Since(begun).Milliseconds()
	version, err := k.write(ctx, key, row.Version, next)
	if err != nil {
		k.unclaimed(o.Service, err)
		return
	}
	l := &lead{order: o.Order, begun: begun, version: version, current: next.Progress, tallies: make(map[mesh.HostID]*rollout.Tally)}
	k.mu.Lock()
	k.held[o.Service] = l
	delete(k.missing, o.Service)
	k.mu.Unlock()
	k.c.cfg.Log.Info().Str("service", string(o.Service)).Str("to", string(o.To)).Uint64("epoch", next.Epoch).
		Int64("elapsed_ms", next.ElapsedMs).Msg("rollout taken")
	k.publish(next.Progress)
}

// earlier returns the time at which the order was accepted when elapsed
// milliseconds had passed by now at the least.
func earlier(begun time.Time, elapsed int64) time.Time {
	if t := time.Now().Add(-time.Duration(elapsed) * time.Millisecond); t.Before(begun) {
		return t
	}
	return begun
}

func (k *coordinator) unclaimed(service mesh.ServiceName, err error) {
	k.c.cfg.Log.Warn().Str("service", string(service)).Err(err).Msg("rollout not taken")
	k.mu.Lock()
	defer k.mu.Unlock()
	// The next attempt waits like a new candidate.
	k.missing[service] = time.Now().Add(writeBackoff)
}

// write puts the row and the operators' status row in one transaction, which
// holds only while the row has the given version. It returns the row's new
// version. A write whose answer was lost is read back.
func (k *coordinator) write(ctx context.Context, key string, version uint64, row rolloutRow) (uint64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, err
	}
	provider := &k.c.cfg.Codec
	err = k.c.cfg.Store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes: []platform.Write{
			{Key: key, Value: value},
			{Key: provider.StatusKey(row.Service), Value: provider.EncodeStatus(row.To, row.State)},
		},
	})
	if err != nil && !errors.Is(err, platform.ErrOutcomeUnknown) {
		return 0, err
	}
	// The transaction's answer does not name the row's version.
	now, readErr := k.c.cfg.Store.Get(ctx, key)
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	var stored rolloutRow
	if json.Unmarshal(now.Value, &stored) != nil || stored.Nonce != row.Nonce {
		if err == nil {
			err = platform.ErrConflict // another coordinator has written since
		}
		return 0, err
	}
	return now.Version, nil
}

// publish tells the mesh how the rollout stands.
func (k *coordinator) publish(p rollout.Progress) {
	k.c.members.UpdateSelf(func(h *membership.Host) {
		kept := h.Rollouts[:0]
		for _, q := range h.Rollouts {
			if q.Service != p.Service {
				kept = append(kept, q)
			}
		}
		h.Rollouts = append(kept, p)
	})
}

// lead takes the next step of a rollout that this host coordinates.
func (k *coordinator) lead(ctx context.Context, l *lead, p *rollout.Progress, hosts []membership.Host) {
	service := l.order.Service
	if p != nil && p.Epoch > l.current.Epoch {
		k.c.cfg.Log.Warn().Str("service", string(service)).Uint64("epoch", l.current.Epoch).Uint64("newer", p.Epoch).Msg("rollout has passed on")
		k.drop(service)
		return
	}
	elapsed := time.Since(l.begun)
	why, doubtful, sum := k.judge(l)
	if why == "" && doubtful && !rollout.MayHold(&l.order, elapsed) {
		why = fmt.Sprintf("in doubt until the end: %d of %d calls failed", sum.Failed, sum.Calls)
	}
	if why != "" {
		k.c.veto(service, l.order.To, l.order.Revision, why)
	}
	k.c.mu.Lock()
	evidence, bad := k.c.vetoes[rolloutID{service, l.order.Revision}]
	k.c.mu.Unlock()
	next := l.current
	next.ElapsedMs = elapsed.Milliseconds()
	switch {
	case bad:
		next.State, next.Permille = rollout.RolledBack, 0
		k.settle(ctx, l, next, evidence)
	case !doubtful && l.current.Permille == 1000 && rollout.MayComplete(&l.order, elapsed) && k.confirmed(l, hosts, elapsed):
		next.State = rollout.Completed
		k.settle(ctx, l, next, "")
	default:
		if doubtful {
			k.c.count("rollouts.held")
		}
		share := rollout.NextShare(&l.order, l.current.Permille, elapsed, time.Since(l.stepped), doubtful)
		if share == l.current.Permille {
			return
		}
		next.Step++
		next.Permille = share
		l.current, l.stepped = next, time.Now()
		k.c.cfg.Log.Info().Str("service", string(service)).Str("to", string(l.order.To)).Int("permille", share).Bool("doubtful", doubtful).
			Int64("elapsed_ms", next.ElapsedMs).Int64("new_calls", sum.Calls).Int64("new_failed", sum.Failed).Msg("rollout step")
		k.publish(next)
	}
}

// settle writes the end of a rollout and then tells the mesh.
func (k *coordinator) settle(ctx context.Context, l *lead, next rollout.Progress, evidence string) {
	if time.Now().Before(l.pause) {
		return
	}
	next.Step++
	key := rolloutTable + "/" + string(next.Service)
	_, err := k.write(ctx, key, l.version, rolloutRow{Progress: next, Nonce: rand.Uint64()})
	switch {
	case err == nil:
		k.publish(next)
		k.drop(next.Service)
		k.c.count("rollouts." + string(next.State))
		k.c.cfg.Log.Info().Str("service", string(next.Service)).Str("to", string(next.To)).Str("state", string(next.State)).
			Int64("elapsed_ms", next.ElapsedMs).Str("evidence", evidence).Msg("rollout settled")
	case errors.Is(err, platform.ErrConflict):
		k.c.cfg.Log.Warn().Str("service", string(next.Service)).Uint64("epoch", next.Epoch).Msg("rollout row was written meanwhile")
		k.drop(next.Service)
		k.adopt(ctx, key, next.Revision)
	default:
		l.pause = time.Now().Add(writeBackoff)
		k.c.cfg.Log.Warn().Str("service", string(next.Service)).Err(err).Msg("rollout state not written")
	}
}

// adopt publishes the end of a rollout that the store already holds: by another
// coordinator, or by a write of this host whose answer was lost.
func (k *coordinator) adopt(ctx context.Context, key string, revision uint64) {
	row, err := k.c.cfg.Store.Get(ctx, key)
	var stored rolloutRow
	if err == nil {
		err = json.Unmarshal(row.Value, &stored)
	}
	if err != nil {
		// The next claim reads the row again.
		k.c.cfg.Log.Warn().Err(err).Str("row", key).Msg("rollout row not read")
		return
	}
	if stored.Revision == revision && stored.State.IsFinal() {
		k.publish(stored.Progress)
	}
}

// judge returns why the version is bad by the counts of all hosts, or "",
// whether it is in doubt, and the calls of the new version.
func (k *coordinator) judge(l *lead) (string, bool, rollout.Counts) {
	k.mu.Lock()
	defer k.mu.Unlock()
	sum := rollout.Tally{Routes: make(map[string]rollout.VersionCounts)}
	for _, t := range l.tallies {
		sum.Merge(t)
	}
	var total rollout.Counts
	for _, p := range sum.Routes {
		total.Calls += p.New.Calls
		total.Failed += p.New.Failed
	}
	l.history.Add(time.Now(), sum.Routes)
	return l.history.Judge(), l.history.ShouldHold(), total
}

// confirmed reports whether every host that is alive sends all calls to the new
// version and has none left at the old one.
func (k *coordinator) confirmed(l *lead, hosts []membership.Host, elapsed time.Duration) bool {
	if float64(elapsed) >= forceFrom*float64(l.order.Within) {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range hosts {
		h := &hosts[i]
		if h.Status != membership.StatusAlive {
			continue
		}
		t := l.tallies[h.ID]
		if t == nil || t.Epoch != l.current.Epoch || t.Step != l.current.Step || t.OldInFlight > 0 {
			return false
		}
	}
	return true
}

// takeTally takes the counts of a host. A host that was started anew counts
// from zero, and its earlier counts are dropped with it.
func (k *coordinator) takeTally(t *rollout.Tally) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.held[t.Service]
	if l == nil || l.order.Revision != t.Revision {
		return
	}
	l.tallies[t.Host] = t
}
