package control

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math"
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
// rollout. The row's version is the fencing token of the coordinator's writes to
// the store. For the progress that gossip distributes, it is Progress.Epoch.
const rolloutTable = "rollouts"

const (
	// coordinatorPeriod is how often rollouts that are not settled are reconciled.
	coordinatorPeriod = 100 * time.Millisecond
	// claimDelay is how long each candidate for coordinator waits for the one
	// ranked before it.
	claimDelay = 500 * time.Millisecond
	// writeBackoff is the delay before a failed write is retried.
	writeBackoff = 300 * time.Millisecond
	// catchUpDelay is how long after it has heard the first neighbour a host takes to know
	// what has become of the rollouts. A host that hears none claims after soloDelay.
	catchUpDelay = time.Second
	soloDelay    = 4 * time.Second
	// forceCompleteFrom is the part of a rollout's time from which hosts that have
	// not confirmed the full share no longer delay its completion.
	forceCompleteFrom = 0.95
)

var errCoordinated = errors.New("another live host coordinates the rollout")

// rolloutRow is the value of a row of rolloutTable.
type rolloutRow struct {
	rollout.Progress
	// Nonce identifies the write, so that one whose answer was lost is recognised.
	Nonce uint64 `json:"nonce"`
}

// coordinator claims rollouts that have no live coordinator and executes those
// that it holds.
type coordinator struct {
	agent  *Agent
	wakeup chan struct{}

	mu     sync.Mutex
	active map[mesh.ServiceName]*activeRollout // those that this host coordinates
	// orphanedSince is when a service's rollout was first seen without a live
	// coordinator. After a failed claim, it is the end of the back-off.
	orphanedSince map[mesh.ServiceName]time.Time
	// stepsSeen holds the newest step received of each service's rollout. It is
	// accessed only from run's goroutine.
	stepsSeen map[mesh.ServiceName]seenStep
	// started is when this host began, and heardAt when it first knew that it had heard a
	// neighbour. Both are accessed only from run's goroutine.
	started, heardAt time.Time
	// unpublishedSince is when a decision was first seen that no live host publishes. It is
	// accessed only from run's goroutine.
	unpublishedSince map[mesh.ServiceName]time.Time
}

// seenStep is a step of a rollout with the time at which this host received it.
type seenStep struct {
	revision, epoch, step uint64
	at                    time.Time
}

// activeRollout is the state of a rollout that this host coordinates.
type activeRollout struct {
	order          rollout.Order
	acceptedAt     time.Time // earliest known acceptance of the order
	rowVersion     uint64    // fencing token
	progress       rollout.Progress
	tallies        map[mesh.HostID]*rollout.Tally
	history        rollout.History
	shareChangedAt time.Time
	claimedAt      time.Time
	retryAt        time.Time // earliest time of the next write
}

func newCoordinator(a *Agent) *coordinator {
	return &coordinator{
		agent: a, wakeup: make(chan struct{}, 1),
		active: make(map[mesh.ServiceName]*activeRollout), orphanedSince: make(map[mesh.ServiceName]time.Time),
		stepsSeen: make(map[mesh.ServiceName]seenStep), unpublishedSince: make(map[mesh.ServiceName]time.Time),
	}
}

func (c *coordinator) run(ctx context.Context) {
	c.started = time.Now()
	for {
		busy := c.reconcile(ctx)
		wait := time.Minute
		if busy {
			wait = coordinatorPeriod
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-c.wakeup:
		case <-t.C:
		}
		t.Stop()
	}
}

// reconcile advances or claims each rollout that is not settled, and reports
// whether there is one.
func (c *coordinator) reconcile(ctx context.Context) bool {
	hosts := c.agent.members.Hosts()
	progress := c.agent.newestProgress(hosts)
	c.recordSteps(progress)
	orders := c.agent.newestOrders(progress)
	busy := false
	for _, p := range progress {
		if p.State.IsFinal() && c.hasCaughtUp(time.Now()) && c.republish(p, hosts) {
			busy = true
		}
	}
	for _, o := range orders {
		p := progress[o.Service]
		if p != nil && (p.Revision > o.Revision || p.Revision == o.Revision && p.State.IsFinal()) {
			if p.Revision > o.Revision || p.StoredEra >= c.agent.history.newestEra() {
				c.drop(o.Service)
				continue
			}
			busy = true
			if c.endActive(o.Service); c.mayClaim(o.Order, p, hosts) {
				c.storeAgain(ctx, *p)
			}
			continue
		}
		busy = true
		if p != nil && p.Revision < o.Revision {
			p = nil
		}
		if r := c.activeFor(o.Service, o.Revision); r != nil {
			if platform.EraOf(r.rowVersion) >= c.agent.history.newestEra() {
				c.advance(ctx, r, p, hosts)
				continue
			}
			// The claim may be lost, and its row version means nothing any more.
			c.drop(o.Service)
			c.claim(ctx, o, p)
			continue
		}
		if c.mayClaim(o.Order, p, hosts) {
			c.claim(ctx, o, p)
		}
	}
	return busy
}

// seenOrder is an order with the time at which this node first received it.
type seenOrder struct {
	rollout.Order
	at time.Time
}

// newestOrders returns the newest order of each service.
func (a *Agent) newestOrders(progress map[mesh.ServiceName]*rollout.Progress) []seenOrder {
	a.mu.Lock()
	defer a.mu.Unlock()
	orders := make([]seenOrder, 0, len(a.orders))
	for service, l := range a.orders {
		if o, at, ok := l.Newest(progress[service]); ok {
			orders = append(orders, seenOrder{o, at})
		}
	}
	return orders
}

// recordSteps records when the steps of rollouts were received. A host that learns
// of an order only when it claims the rollout needs this to compute how much of
// the rollout's time has passed.
func (c *coordinator) recordSteps(progress map[mesh.ServiceName]*rollout.Progress) {
	for service, p := range progress {
		if h := c.stepsSeen[service]; h.revision != p.Revision || h.epoch != p.Epoch || h.step != p.Step {
			c.stepsSeen[service] = seenStep{p.Revision, p.Epoch, p.Step, time.Now()}
		}
	}
}

func (c *coordinator) activeFor(service mesh.ServiceName, revision uint64) *activeRollout {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.active[service]; r != nil && r.order.Revision == revision {
		return r
	}
	return nil
}

// drop ends this host's work on a rollout.
func (c *coordinator) drop(service mesh.ServiceName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, service)
	delete(c.orphanedSince, service)
}

// endActive ends this host's coordination of a rollout that is over.
func (c *coordinator) endActive(service mesh.ServiceName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, service)
}

// mayClaim reports whether it is this host's turn to claim a rollout that no live
// host coordinates. Its turn comes after those of the hosts that follow the store
// and have a lower hash of host and service.
func (c *coordinator) mayClaim(o rollout.Order, p *rollout.Progress, hosts []membership.Host) bool {
	if !c.hasCaughtUp(time.Now()) {
		return false
	}
	self := c.agent.cfg.Self.ID
	rank, holderAlive := 0, false
	ownHash := xxhash.Sum64String(string(self) + "\x00" + string(o.Service))
	followers := storeFollowers(hosts)
	for i := range hosts {
		h := &hosts[i]
		alive := h.Status == membership.StatusAlive && !h.Detached
		if p != nil && h.ID == p.Holder && h.ID != self && alive {
			holderAlive = true
		}
		if h.ID == self && (!alive || h.Status != membership.StatusAlive) {
			return false
		}
		if followers[h.ID] && h.ID != self && xxhash.Sum64String(string(h.ID)+"\x00"+string(o.Service)) < ownHash {
			rank++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if holderAlive {
		delete(c.orphanedSince, o.Service)
		return false
	}
	since, ok := c.orphanedSince[o.Service]
	if !ok {
		since = time.Now()
		c.orphanedSince[o.Service] = since
	}
	return time.Since(since) >= time.Duration(rank)*claimDelay
}

// hasCaughtUp reports whether this host knows what its neighbours know of the rollouts.
// The store alone may have lost the end of one.
func (c *coordinator) hasCaughtUp(now time.Time) bool {
	if c.heardAt.IsZero() && !c.agent.gossip.LastReceived().IsZero() {
		c.heardAt = now
	}
	return !c.heardAt.IsZero() && now.Sub(c.heardAt) >= catchUpDelay || now.Sub(c.started) >= soloDelay
}

// storeFollowers returns the hosts that follow the store for their data centre:
// of the live hosts there that reach it, the one with the lowest hash. They
// receive the orders first.
func storeFollowers(hosts []membership.Host) map[mesh.HostID]bool {
	type follower struct {
		id   mesh.HostID
		hash uint64
	}
	lowest := make(map[mesh.DataCentre]follower)
	for i := range hosts {
		h := &hosts[i]
		if h.Status != membership.StatusAlive || h.Detached {
			continue
		}
		hash := xxhash.Sum64String(string(h.ID))
		if f, ok := lowest[h.DataCentre]; !ok || hash < f.hash {
			lowest[h.DataCentre] = follower{h.ID, hash}
		}
	}
	out := make(map[mesh.HostID]bool, len(lowest))
	for _, f := range lowest {
		out[f.id] = true
	}
	return out
}

// claim makes this host the coordinator of a rollout. The version of the row that
// it writes is the fencing token.
func (c *coordinator) claim(ctx context.Context, o seenOrder, p *rollout.Progress) {
	key := rolloutTable + "/" + string(o.Service)
	row, err := c.readRow(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		c.claimFailed(o.Service, err)
		return
	}
	next := rolloutRow{Progress: rollout.Progress{
		Service: o.Service, To: o.To, Revision: o.Revision, Epoch: 1, State: rollout.Running, Holder: c.agent.cfg.Self.ID,
	}, Nonce: rand.Uint64()}
	acceptedAt := o.at
	if err == nil {
		old, _ := c.agent.decodeRolloutRow(&row, rolloutTable+"/") // one that can't be read is written anew
		next.Epoch = old.Epoch + 1
		// The order may be known by a revision of an earlier era.
		next.Revision = c.agent.revisionOf(o.Order, &old.Progress)
		if old.Revision > next.Revision {
			c.learnNewerOrder(old.Progress, row.Version)
			return
		}
		if from := old.StableVersion(); old.Revision < next.Revision && from != "" {
			next.From = from
		}
		if old.Revision == next.Revision {
			next.From = old.From
			if old.State.IsFinal() {
				c.publishFinal(old.Progress, row.Version)
				return
			}
			if c.isClaimInForce(&old, p) {
				c.claimFailed(o.Service, errCoordinated)
				return
			}
			acceptedAt = earlierAcceptance(acceptedAt, old.ElapsedMs)
		}
	}
	shareChangedAt := time.Now()
	if p != nil {
		next.From = cmp.Or(p.From, next.From)
		next.Epoch = max(next.Epoch, p.Epoch+1)
		next.Permille = p.Permille
		shareChangedAt = c.stepsSeen[o.Service].at
		acceptedAt = earlierAcceptance(acceptedAt, p.ElapsedMs+time.Since(c.stepsSeen[o.Service].at).Milliseconds())
	}
	if next.From == "" {
		next.From = c.agent.stableVersion(o.Order)
	}
	next.ElapsedMs = time.Since(acceptedAt).Milliseconds()
	version, err := c.writeRow(ctx, key, row.Version, next)
	if err != nil {
		c.claimFailed(o.Service, err)
		return
	}
	o.Revision = next.Revision
	r := &activeRollout{
		order: o.Order, acceptedAt: acceptedAt, rowVersion: version, progress: next.Progress, tallies: make(map[mesh.HostID]*rollout.Tally),
		shareChangedAt: shareChangedAt, claimedAt: time.Now(),
	}
	c.mu.Lock()
	c.active[o.Service] = r
	delete(c.orphanedSince, o.Service)
	c.mu.Unlock()
	c.agent.cfg.Log.Info().Str("service", string(o.Service)).Str("to", string(o.To)).Uint64("epoch", next.Epoch).
		Int64("elapsed_ms", next.ElapsedMs).Msg("rollout claimed")
	c.publish(next.Progress)
}

var errNewerOrder = errors.New("a newer order is being rolled out")

// learnNewerOrder takes over what the store says of an order that is newer than the one
// that this host knows.
func (c *coordinator) learnNewerOrder(stored rollout.Progress, version uint64) {
	c.agent.ordersDoubted.Store(true)
	if stored.State.IsFinal() {
		c.publishFinal(stored, version)
		return
	}
	c.claimFailed(stored.Service, errNewerOrder)
}

// stableVersion returns the version of a service that gets the calls while an order has
// not begun, or "" when this host knows none.
func (a *Agent) stableVersion(o rollout.Order) mesh.TargetVersion {
	s := a.Snapshot()
	if s == nil || s.Services[o.Service] == nil || s.Services[o.Service].From == o.To {
		return ""
	}
	return s.Services[o.Service].From
}

// isClaimInForce reports whether the host that a row names coordinates the rollout,
// although its progress has not arrived here by gossip yet. A row that is not newer than
// the known progress comes from a copy of the store.
func (c *coordinator) isClaimInForce(row *rolloutRow, known *rollout.Progress) bool {
	if row.Holder == c.agent.cfg.Self.ID || known != nil && row.Epoch <= known.Epoch {
		return false
	}
	h, ok := c.agent.members.Get(row.Holder)
	return ok && h.Status == membership.StatusAlive && !h.Detached
}

// revisionOf returns the revision of an order, which a progress read from the store may
// name.
func (a *Agent) revisionOf(o rollout.Order, stored *rollout.Progress) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := a.orders[o.Service]; l != nil {
		if named, _, ok := l.Newest(stored); ok && named.To == o.To && stored.Revision == named.Revision {
			return named.Revision
		}
	}
	return o.Revision
}

// earlierAcceptance returns the earlier of acceptedAt and the time elapsedMs before
// now. At least elapsedMs have passed since the order was accepted.
func earlierAcceptance(acceptedAt time.Time, elapsedMs int64) time.Time {
	if t := time.Now().Add(-time.Duration(elapsedMs) * time.Millisecond); t.Before(acceptedAt) {
		return t
	}
	return acceptedAt
}

func (c *coordinator) claimFailed(service mesh.ServiceName, err error) {
	c.noteFailure(err)
	c.agent.cfg.Log.Warn().Str("service", string(service)).Err(err).Msg("rollout not claimed")
	c.mu.Lock()
	defer c.mu.Unlock()
	// The next attempt waits writeBackoff, and then as long as a new candidate.
	c.orphanedSince[service] = time.Now().Add(writeBackoff)
}

// readRow reads a row of the rollout table.
func (c *coordinator) readRow(ctx context.Context, key string) (platform.Row, error) {
	row, err := c.agent.cfg.Store.Get(ctx, key)
	if err == nil {
		c.agent.history.observe(platform.EraOf(row.Version), "store")
	}
	return row, err
}

// noteFailure makes other hosts take over while this one cannot reach the store.
func (c *coordinator) noteFailure(err error) {
	if errors.Is(err, platform.ErrUnavailable) {
		c.agent.doubtStore()
	}
}

// writeRow writes the rollout row and the operators' status row in one
// transaction, on the condition that the rollout row has the given version. It
// returns the row's new version. A write whose answer was lost is read back.
func (c *coordinator) writeRow(ctx context.Context, key string, version uint64, row rolloutRow) (uint64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, err
	}
	codec := &c.agent.cfg.Codec
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes: []platform.Write{
			{Key: key, Value: value},
			{Key: codec.StatusKey(row.Service), Value: codec.EncodeStatus(row.To, row.State)},
		},
	}
	if row.State.IsFinal() {
		txn.Writes = append(txn.Writes, platform.Write{Key: decisionPrefix + string(row.Service), Value: value})
	}
	err = c.agent.cfg.Store.Commit(ctx, txn)
	if err != nil && !errors.Is(err, platform.ErrOutcomeUnknown) {
		return 0, err
	}
	// The transaction's answer does not contain the row's new version.
	readBack, readErr := c.readRow(ctx, key)
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	var stored rolloutRow
	if json.Unmarshal(readBack.Value, &stored) != nil || stored.Nonce != row.Nonce {
		if err == nil {
			err = platform.ErrConflict // another coordinator has written since
		}
		return 0, err
	}
	return readBack.Version, nil
}

// publish puts the rollout's progress into this host's record, which gossip
// distributes.
func (c *coordinator) publish(p rollout.Progress) {
	c.agent.members.UpdateSelf(func(h *membership.Host) {
		kept := h.Rollouts[:0]
		for _, q := range h.Rollouts {
			if q.Service != p.Service {
				kept = append(kept, q)
			}
		}
		h.Rollouts = append(kept, p)
	})
}

// advance takes the next step of a rollout that this host coordinates.
func (c *coordinator) advance(ctx context.Context, r *activeRollout, p *rollout.Progress, hosts []membership.Host) {
	service := r.order.Service
	if p != nil && p.Epoch > r.progress.Epoch {
		c.agent.cfg.Log.Warn().Str("service", string(service)).Uint64("epoch", r.progress.Epoch).Uint64("newer", p.Epoch).Msg("rollout was taken over by another coordinator")
		c.drop(service)
		return
	}
	elapsed := time.Since(r.acceptedAt)
	e := c.evaluate(r, hosts)
	if s := c.agent.Snapshot(); s != nil && s.Services[service] != nil && s.Services[service].NextEvacuated {
		e.Doubtful = true // its old targets would be stopped, and the new ones get no calls
	}
	decision := rollout.Decide(&r.order, r.progress.Permille, elapsed, time.Since(r.shareChangedAt), &e)
	// The hosts may not have had the time to send their counts to this coordinator.
	mayMiss := r.progress.Permille > 0 && time.Since(r.claimedAt) < rollout.MinStageTime
	if decision.State == rollout.RolledBack && (e.Bad != "" || !mayMiss) {
		c.agent.addVeto(service, r.order.To, r.order.Revision, decision.Reason)
	}
	c.agent.mu.Lock()
	evidence, vetoed := c.agent.vetoOf(service, r.order.Revision)
	c.agent.mu.Unlock()
	next := r.progress
	next.ElapsedMs = elapsed.Milliseconds()
	switch {
	case vetoed:
		next.State, next.Permille = rollout.RolledBack, 0
		c.settle(ctx, r, next, evidence)
	case mayMiss || decision.State == rollout.RolledBack:
	case decision.State == rollout.Completed:
		if c.allConfirmed(r, hosts, elapsed) {
			next.State = rollout.Completed
			c.settle(ctx, r, next, "")
		}
	default:
		if e.Doubtful {
			c.agent.count("rollouts.held")
		}
		if decision.Permille == r.progress.Permille {
			return
		}
		next.Step++
		next.Permille = decision.Permille
		r.progress, r.shareChangedAt = next, time.Now()
		c.agent.cfg.Log.Info().Str("service", string(service)).Str("to", string(r.order.To)).Int("permille", next.Permille).Bool("doubtful", e.Doubtful).
			Int64("elapsed_ms", next.ElapsedMs).Int64("new_calls", e.New.Calls).Int64("new_failed", e.New.Failed).
			Int64("old_calls", e.Old.Calls).Int64("old_failed", e.Old.Failed).Float64("odds", math.Round(100*e.Odds)/100).Float64("per_second", math.Round(10*e.PerSecond)/10).Msg("rollout step")
		c.publish(next)
	}
}

// settle writes the final state of a rollout to the store and then publishes it.
func (c *coordinator) settle(ctx context.Context, r *activeRollout, next rollout.Progress, evidence string) {
	if time.Now().Before(r.retryAt) {
		return
	}
	next.Step++
	key := rolloutTable + "/" + string(next.Service)
	version, err := c.writeRow(ctx, key, r.rowVersion, rolloutRow{Progress: next, Nonce: rand.Uint64()})
	switch {
	case err == nil:
		c.publishFinal(next, version)
		c.drop(next.Service)
		c.agent.count("rollouts." + string(next.State))
		c.agent.cfg.Log.Info().Str("service", string(next.Service)).Str("to", string(next.To)).Str("state", string(next.State)).
			Int64("elapsed_ms", next.ElapsedMs).Str("evidence", evidence).Msg("rollout settled")
	case errors.Is(err, platform.ErrConflict):
		c.agent.cfg.Log.Warn().Str("service", string(next.Service)).Uint64("epoch", next.Epoch).Msg("rollout row was written meanwhile")
		c.drop(next.Service)
		c.publishStored(ctx, key, next.Revision)
	default:
		c.noteFailure(err)
		r.retryAt = time.Now().Add(writeBackoff)
		c.agent.cfg.Log.Warn().Str("service", string(next.Service)).Err(err).Msg("rollout state not written")
	}
}

// publishStored publishes the final state of a rollout that is already in the
// store, written by another coordinator or by a write of this host whose answer
// was lost.
func (c *coordinator) publishStored(ctx context.Context, key string, revision uint64) {
	row, err := c.readRow(ctx, key)
	var stored rolloutRow
	if err == nil {
		err = json.Unmarshal(row.Value, &stored)
	}
	if err != nil {
		// The next claim reads the row again.
		c.agent.cfg.Log.Warn().Err(err).Str("row", key).Msg("rollout row not read")
		return
	}
	if stored.Revision == revision && stored.State.IsFinal() {
		c.publishFinal(stored.Progress, row.Version)
	}
}

// publishFinal publishes a final state that the store holds in a row of the given
// version.
func (c *coordinator) publishFinal(p rollout.Progress, version uint64) {
	p.StoredEra = platform.EraOf(version)
	c.publish(p)
}

// storeAgain makes sure that a final state is in the store after a restore, and writes
// it again if it is not: the operators read it there.
func (c *coordinator) storeAgain(ctx context.Context, p rollout.Progress) {
	key := rolloutTable + "/" + string(p.Service)
	row, err := c.readRow(ctx, key)
	var stored rolloutRow
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		c.claimFailed(p.Service, err)
		return
	case json.Unmarshal(row.Value, &stored) == nil && stored.Revision == p.Revision && stored.State == p.State:
		c.publishFinal(p, row.Version)
		return
	}
	version, err := c.writeRow(ctx, key, row.Version, rolloutRow{Progress: p, Nonce: rand.Uint64()})
	if err != nil {
		c.claimFailed(p.Service, err)
		return
	}
	c.agent.count("rollouts.stored_again")
	c.agent.cfg.Log.Info().Str("service", string(p.Service)).Str("to", string(p.To)).Str("state", string(p.State)).
		Uint64("era", platform.EraOf(version)).Msg("final state of a rollout written again")
	c.publishFinal(p, version)
}

// evaluate returns what the counts of all hosts say. The rate of the calls is unknown
// while counts of a live host are missing.
func (c *coordinator) evaluate(r *activeRollout, hosts []membership.Host) rollout.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := rollout.Tally{Routes: make(map[string]rollout.VersionCounts)}
	for _, t := range r.tallies {
		sum.Merge(t)
	}
	r.history.Add(time.Now(), sum.Routes)
	e := r.history.Evidence()
	for i := range hosts {
		if hosts[i].Status == membership.StatusAlive && r.tallies[hosts[i].ID] == nil {
			e.PerSecond = 0
		}
	}
	return e
}

// allConfirmed reports whether every live host has confirmed the step in force and
// has no call left at the old version. From forceCompleteFrom on, it requires
// neither.
func (c *coordinator) allConfirmed(r *activeRollout, hosts []membership.Host, elapsed time.Duration) bool {
	if float64(elapsed) >= forceCompleteFrom*float64(r.order.Within) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range hosts {
		h := &hosts[i]
		if h.Status != membership.StatusAlive {
			continue
		}
		t := r.tallies[h.ID]
		if t == nil || t.Epoch != r.progress.Epoch || t.Step != r.progress.Step || t.OldInFlight > 0 {
			return false
		}
	}
	return true
}

// recordTally replaces the counts of a host. A restarted host counts from zero,
// and its earlier counts are dropped.
func (c *coordinator) recordTally(t *rollout.Tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.active[t.Service]
	if r == nil || r.order.Revision != t.Revision {
		return
	}
	r.tallies[t.Host] = t
}
