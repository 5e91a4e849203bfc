package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

const (
	// renewPeriod is the mean time between two writes of a live host's row.
	renewPeriod = 20 * time.Minute
	// sweepPeriod is the time between two reads of the hosts' table for rows to delete.
	sweepPeriod = 20 * time.Minute
	// staleAfter is how long a row must have stayed the same before it is deleted. Live
	// hosts write theirs several times in it, and departures and requests that end
	// targets hold for less, see departures.Retention.
	staleAfter = time.Hour
	// maxDeletes bounds the rows that one transaction deletes.
	maxDeletes = 50
	// rowRetryDelay is the time until a failed renewal or sweep is repeated.
	rowRetryDelay = 30 * time.Second
)

// rowAges tells how long rows have stayed the same. Clocks of hosts differ, so it goes by
// the versions that this process has seen, and by its own clock.
type rowAges map[string]rowAge

type rowAge struct {
	version uint64
	since   time.Time // when this process first saw the version
}

// observe records rows and returns those that were among the rows at each call and have not
// changed for at least staleAfter.
func (a rowAges) observe(rows []platform.Row, now time.Time) []platform.Row {
	present := make(map[string]bool, len(rows))
	var stale []platform.Row
	for _, row := range rows {
		present[row.Key] = true
		seen, ok := a[row.Key]
		if !ok || seen.version != row.Version {
			a[row.Key] = rowAge{row.Version, now}
			continue
		}
		if now.Sub(seen.since) >= staleAfter {
			stale = append(stale, row)
		}
	}
	for key := range a {
		if !present[key] {
			delete(a, key)
		}
	}
	return stale
}

// rowKeeper renews the row of this host and deletes those that ended hosts have left.
type rowKeeper struct {
	renewAt time.Time
	sweepAt time.Time
	ages    rowAges
}

func newRowKeeper() rowKeeper {
	now := time.Now()
	return rowKeeper{renewAt: now.Add(jittered(renewPeriod)), sweepAt: now.Add(jittered(sweepPeriod)), ages: make(rowAges)}
}

// jittered returns a random time of the given mean, so that hosts that have started
// together do not write together.
func jittered(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// keepRows does what is due for the rows of hosts. A failure does not count as a loss of
// the store, which the calls of storeLoop detect.
func (f *follower) keepRows(ctx context.Context) {
	k, now := &f.rows, time.Now()
	if !f.joined || f.backoff > 0 {
		return
	}
	if !now.Before(k.renewAt) {
		k.renewAt = now.Add(jittered(renewPeriod))
		if err := f.renewRow(ctx); err != nil {
			k.renewAt = now.Add(jittered(rowRetryDelay))
			f.agent.count("hosts.renewals_failed")
			f.agent.cfg.Log.Info().Err(err).Msg("row of this host not renewed")
		}
	}
	if !now.Before(k.sweepAt) {
		k.sweepAt = now.Add(sweepPeriod)
		if !f.agent.sweepsRows() {
			return
		}
		if err := f.sweepRows(ctx); err != nil {
			k.sweepAt = now.Add(jittered(rowRetryDelay))
			f.agent.cfg.Log.Info().Err(err).Msg("rows of ended hosts not deleted")
		}
	}
}

// renewRow writes the row of this host again, unless a later process of it has another
// address there. It keeps the era of the row, which tells of the host's departures.
func (f *follower) renewRow(ctx context.Context) error {
	self := f.agent.members.Self()
	self.StoreEra = f.rowEra
	key := hostTable + "/" + string(self.ID)
	row, err := f.agent.cfg.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if stored, decodeErr := decodeHostRow(&row); err == nil && decodeErr == nil {
		if stored.CallAddress != self.CallAddress && stored.Incarnation > self.Incarnation {
			return nil
		}
		self.StoreEra = stored.StoreEra
	}
	return f.writeRow(ctx, &self, platform.Condition{Key: key, Version: row.Version})
}

// sweepsRows reports whether this host deletes the rows of ended hosts: it is the one of
// the lowest name among the first followers of the data centres. Two that each take
// themselves for it do no harm.
func (a *Agent) sweepsRows() bool {
	var first mesh.HostID
	for id := range storeFollowers(a.members.Hosts()) {
		if first == "" || id < first {
			first = id
		}
	}
	return first == a.cfg.Self.ID
}

// sweepRows deletes the rows of ended hosts and of their departures, and writes the rows
// of live hosts that are missing. Each row is deleted on the condition that it is the one
// that was read: a host that writes its row meanwhile, and a row of another history of the
// store, are left alone.
func (f *follower) sweepRows(ctx context.Context) error {
	rows, version, err := f.agent.cfg.Store.Rows(ctx, hostTable)
	if err != nil {
		return err
	}
	f.agent.history.observe(platform.EraOf(version), "store")
	present := make(map[mesh.HostID]hostRow)
	for _, row := range rows {
		if h, err := decodeHostRow(&row); err == nil {
			present[h.ID] = newHostRow(&row, &h)
		}
	}
	if err := f.restoreRows(ctx, present, true); err != nil {
		return err
	}
	left := slices.DeleteFunc(rows, func(row platform.Row) bool { return !f.agent.isLeftOver(&row) })
	stale := f.rows.ages.observe(left, time.Now())
	for batch := range slices.Chunk(stale, maxDeletes) {
		var txn platform.Txn
		for _, row := range batch {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
			txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
		}
		switch err := f.agent.cfg.Store.Commit(ctx, txn); {
		case errors.Is(err, platform.ErrConflict):
			f.agent.count("hosts.deletion_conflicts") // the next sweep sees what has changed
		case err != nil:
			return err
		default:
			f.agent.count("hosts.sweeps")
			f.agent.cfg.Log.Info().Int("rows", len(batch)).Str("first", batch[0].Key).Msg("rows of ended hosts deleted")
		}
	}
	return nil
}

// isLeftOver reports whether a row is to be deleted unless it changes: that of a departure,
// which holds for less than staleAfter, or of a host that is not known to be alive. Rows of
// requests that end targets, of decisions and of other writers are kept.
func (a *Agent) isLeftOver(row *platform.Row) bool {
	if a.departures.IsRow(row) {
		return true
	}
	if a.guilty.IsRow(row) || isDecisionRow(row) {
		return false
	}
	h, err := decodeHostRow(row)
	if err != nil || h.ID == a.cfg.Self.ID {
		return false
	}
	known, ok := a.members.Get(h.ID)
	return !ok || known.Status >= membership.StatusFailed
}
