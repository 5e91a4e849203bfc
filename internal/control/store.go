package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// hostTable holds a row for each host, through which hosts find each other.
const hostTable = "hosts"

const (
	// feedWait is how long a feed waits for a change. A feed whose connection has
	// gone silent is noticed after it.
	feedWait = 3 * time.Second
	// feedPause lets changes that come together share one call of the feed.
	feedPause = 250 * time.Millisecond
	// watchPeriod is how often a host that does not follow the store looks
	// whether that has become its duty.
	watchPeriod = 300 * time.Millisecond
	// backupPeriod is the mean time, for each host of a data centre, between
	// reads of a host that does not follow the store.
	backupPeriod = 10 * time.Second
	// The time between calls of a store that does not answer. The longest keeps
	// below the two seconds in which lapsed entries must be back.
	// A host without any link reads the hosts' rows again after isolatedFirst, and
	// then at up to twice the time each time.
	isolatedFirst = 2 * time.Second
	isolatedLast  = 30 * time.Second
	minBackoff    = 150 * time.Millisecond
	maxBackoff    = 1500 * time.Millisecond
)

// follower reads the store.
type follower struct {
	c       *Agent
	version uint64 // at which the feed continues; 0 means that the table must be read
	joined  bool   // the hosts' rows were read and the own row is there
	backoff time.Duration
	// isolated is how long to wait for a link before the hosts' rows are read
	// again, and readAt when they were read last.
	isolated time.Duration
	readAt   time.Time
}

// followStore reads the store until the context ends. One host of each data
// centre follows the changes; the others read rarely and hear them by gossip.
func (c *Agent) followStore(ctx context.Context) {
	f := &follower{c: c, isolated: isolatedFirst}
	nextBackup := time.Now()
	for ctx.Err() == nil {
		f.lookForHosts()
		duty := c.followsStore()
		if !duty && f.joined && time.Now().Before(nextBackup) {
			if !pause.For(ctx, watchPeriod) {
				return
			}
			continue
		}
		wait := time.Duration(0)
		if duty && f.joined {
			wait = feedWait
		}
		if err := f.step(ctx, wait); err != nil {
			f.failed(ctx, err)
			continue
		}
		f.succeeded()
		nextBackup = time.Now().Add(c.backupDelay())
		if duty && !pause.For(ctx, feedPause) {
			return
		}
	}
}

func (c *Agent) backupDelay() time.Duration {
	hosts := len(c.peersHere())
	return time.Duration(rand.ExpFloat64() * float64(max(1, hosts)) * float64(backupPeriod))
}

// peersHere returns the hosts of this data centre that are alive, by the order
// in which they take over duties.
func (c *Agent) peersHere() []membership.Host {
	var out []membership.Host
	for _, h := range c.members.Hosts() {
		if h.DataCentre == c.cfg.Self.DataCentre && (h.Status == membership.StatusAlive || h.ID == c.cfg.Self.ID) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b membership.Host) int {
		if a.Detached != b.Detached {
			if a.Detached {
				return 1
			}
			return -1
		}
		ha, hb := xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))
		if ha < hb {
			return -1
		}
		return 1
	})
	return out
}

// maxDetached is the number of hosts of a data centre that try the store on
// their own before it counts as away for all: then only they go on trying.
const maxDetached = 3

// followsStore reports whether it is this host's duty to follow the store: it
// is the first of its data centre that reaches it. While the store is away, the
// hosts that found that out try again.
func (c *Agent) followsStore() bool {
	self, detached := c.cfg.Self.ID, 0
	peers := c.peersHere()
	for _, h := range peers {
		if h.Detached {
			detached++
			if h.ID == self {
				return detached <= maxDetached
			}
		}
	}
	return detached < maxDetached && (len(peers) == 0 || peers[0].ID == self)
}

// step reads the tables in full once, and then what has changed.
func (f *follower) step(ctx context.Context, wait time.Duration) error {
	if !f.joined {
		if err := f.join(ctx); err != nil {
			return err
		}
	}
	if f.version == 0 {
		return f.readAll(ctx)
	}
	changes, err := f.c.cfg.Store.Changes(ctx, f.c.cfg.Codec.Table, f.version, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		f.version = 0
		f.c.cfg.Log.Info().Str("table", f.c.cfg.Codec.Table).Msg("history of the store is gone; reading the table again")
		return f.readAll(ctx)
	}
	if err != nil {
		return err
	}
	f.version = changes.Version
	for _, row := range changes.Rows {
		if !row.Removed {
			f.c.takeRow(row.Row)
		}
	}
	return nil
}

func (f *follower) readAll(ctx context.Context) error {
	rows, version, err := f.c.cfg.Store.Rows(ctx, f.c.cfg.Codec.Table)
	if err != nil {
		return err
	}
	for _, row := range rows {
		f.c.takeRow(row)
	}
	f.version = version
	return nil
}

// takeRow takes a row of the operators' table.
func (c *Agent) takeRow(row platform.Row) {
	if row.Key == c.cfg.Codec.ConfigKey {
		c.offerConfig(row.Value)
		return
	}
	order, ok, err := c.cfg.Codec.DecodeOrder(row.Key, row.Value, row.Version)
	switch {
	case err != nil:
		c.count("orders.rejected")
		c.cfg.Log.Error().Err(err).Str("row", row.Key).Msg("order cannot be read")
	case ok:
		c.takeOrder(order)
	}
}

// lookForHosts makes a host that has no link read the hosts' rows again: those
// that it knows may all be gone.
func (f *follower) lookForHosts() {
	if !f.joined || f.c.gossip.LinkCount() > 0 {
		f.isolated = isolatedFirst
		return
	}
	if time.Since(f.readAt) > f.isolated {
		f.joined = false
		f.isolated = min(isolatedLast, 2*f.isolated)
	}
}

// join reads the rows of the hosts and writes the own one where it differs. Of
// two hosts that start at the same time, one must see the other's row: a host
// that saw none reads again after it has written its own.
func (f *follower) join(ctx context.Context) error {
	present := false
	if !f.c.cfg.FirstStart {
		var err error
		if present, err = f.readHosts(ctx); err != nil {
			return err
		}
	}
	if !present {
		if err := f.writeSelf(ctx); err != nil {
			return err
		}
		if len(f.c.members.Hosts()) == 1 {
			if _, err := f.readHosts(ctx); err != nil {
				return err
			}
		}
	}
	f.joined = true
	f.c.cfg.Log.Info().Int("hosts", len(f.c.members.Hosts())).Bool("row_written", !present).Msg("joined through the store")
	return nil
}

// readHosts takes the rows of all hosts, and reports whether that of this host
// is there.
func (f *follower) readHosts(ctx context.Context) (bool, error) {
	rows, _, err := f.c.cfg.Store.Rows(ctx, hostTable)
	if err != nil {
		return false, err
	}
	f.readAt = time.Now()
	self := f.c.members.Self()
	var hosts []membership.Host
	present := false
	for _, row := range rows {
		var h membership.Host
		if err := json.Unmarshal(row.Value, &h); err != nil || hostTable+"/"+string(h.ID) != row.Key {
			f.c.count("hosts.unreadable")
			f.c.cfg.Log.Error().Str("row", row.Key).AnErr("cause", err).Msg("host row cannot be read")
			continue
		}
		if h.ID == self.ID {
			present = h.CallAddress == self.CallAddress
		}
		hosts = append(hosts, h)
	}
	f.c.members.Merge(hosts)
	return present, nil
}

// writeSelf writes the row of this host. It is the same at each attempt, so
// that one whose answer was lost can be made again.
func (f *follower) writeSelf(ctx context.Context) error {
	h := f.c.members.Self()
	value, err := json.Marshal(membership.Host{
		ID: h.ID, DataCentre: h.DataCentre, PeerAddress: h.PeerAddress, CallAddress: h.CallAddress,
		Incarnation: h.Incarnation, Status: membership.StatusAlive,
	})
	if err != nil {
		return err
	}
	return f.c.cfg.Store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: hostTable + "/" + string(h.ID), Value: value}}})
}

// failed tells the mesh that this host does not reach the store, and waits.
func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.backoff == 0 {
		f.backoff = minBackoff
		f.c.cfg.Log.Warn().Err(err).Msg("store lost")
		f.c.setDetached(true)
	}
	wait := f.backoff/2 + rand.N(f.backoff)
	f.backoff = min(maxBackoff, 2*f.backoff)
	pause.For(ctx, wait)
}

func (f *follower) succeeded() {
	if f.backoff == 0 {
		return
	}
	f.backoff = 0
	f.c.cfg.Log.Info().Msg("store regained")
	f.c.setDetached(false)
}

func (c *Agent) setDetached(detached bool) {
	c.members.UpdateSelf(func(h *membership.Host) { h.Detached = detached })
}
