package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// hostTable holds a row for each host, by which hosts discover each other.
const hostTable = "hosts"

// guiltyPrefix begins the keys of the rows of requests that end targets. They are in the
// hosts' table, since each host that starts anew reads that.
const guiltyPrefix = hostTable + "/request/"

// departurePrefix begins the keys of the rows of targets that have left, in the same table
// for the same reason.
const departurePrefix = hostTable + "/left/"

const (
	// feedWait is how long a feed call waits for a change. It also bounds the time
	// until a silent connection is noticed.
	feedWait = 3 * time.Second
	// feedPause is the time between calls of the feed, so that changes in quick
	// succession share one call.
	feedPause = 250 * time.Millisecond
	// followerCheckPeriod is how often a host that does not follow the store checks
	// whether it has become the follower, while the host records change, and
	// maxFollowerCheckPeriod while they do not.
	followerCheckPeriod    = 300 * time.Millisecond
	maxFollowerCheckPeriod = 2 * time.Second
	// peerConfigTimeout is how long a host that starts waits for the configuration from
	// its peers before it reads the store.
	peerConfigTimeout = 500 * time.Millisecond
	peerConfigPoll    = 20 * time.Millisecond
	// backupReadPeriod is the mean time between backup reads of the store in a data
	// centre. Each host that does not follow the store multiplies it by the number
	// of live hosts there.
	backupReadPeriod = 10 * time.Second
	// A host without any link reads the hosts' rows again after minRejoinDelay. The
	// delay doubles with each attempt, up to maxRejoinDelay.
	minRejoinDelay = 2 * time.Second
	maxRejoinDelay = 30 * time.Second
	// announceDelay is how long after it has read the rows a host looks whether its
	// neighbours among them answer.
	announceDelay = 500 * time.Millisecond
	// announceTime is how long it looks, and announcePoll is the time between two looks.
	announceTime = 2 * time.Second
	announcePoll = 300 * time.Millisecond
	// minUnreachable is the number of hosts that must not have answered before a host
	// announces itself anew.
	minUnreachable = 4
	// lateHeartbeats is longer than a heartbeat of a target takes to arrive.
	lateHeartbeats = time.Minute
	// The back-off between calls to a store that does not answer. maxBackoff is
	// less than two seconds, because the mesh must notice within two seconds that
	// the store is back.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
)

// follower keeps this host up to date with the store.
type follower struct {
	agent   *Agent
	version uint64 // version at which the feed continues; 0 means that the table must be read
	joined  bool   // the hosts' rows were read and the row of this host exists
	settled bool   // the first read was made, or was not needed
	backoff time.Duration
	// rejoinDelay is how long a host without links waits before it reads the
	// hosts' rows again, and hostsReadAt when it last read them.
	rejoinDelay time.Duration
	hostsReadAt time.Time
	linkedAt    time.Time // when it last had a link
	// departuresKnown means that this process knows all departures of its targets that were
	// acknowledged; unknownSince is when it found that the store may have lost some.
	departuresKnown bool
	unknownSince    time.Time
	// checkRows means that the rows of other hosts are to be checked at the next join,
	// since the store was restored.
	checkRows bool
	// announce means that the next join writes the row of this host anew, and announced
	// that one has.
	announce, announced bool
	rowEra              uint64 // which this process has written in its row or found there
	rows                rowKeeper
}

// storeLoop reads the store until the context ends. Two hosts of each data centre
// follow the changes. The others receive them by gossip and read the store
// rarely, as a backup.
func (a *Agent) storeLoop(ctx context.Context) {
	f := &follower{agent: a, rejoinDelay: minRejoinDelay, departuresKnown: a.cfg.FirstStart, rows: newRowKeeper()}
	backup := backupTimer{due: true}
	for ctx.Err() == nil {
		f.rejoinIfIsolated()
		f.announceAmongStaleRows()
		f.keepRows(ctx)
		if !f.departuresKnown && !f.unknownSince.IsZero() && time.Since(f.unknownSince) > lateHeartbeats {
			f.joined = false
		}
		if a.storeDoubted.Swap(false) {
			f.markLost(nil)
			backup.due = true
		}
		if a.ordersDoubted.Swap(false) {
			backup.due = true
		}
		following := a.isStoreFollower() || f.isAlone()
		if following && f.joined && a.history.takeRowsUnchecked() {
			f.joined, f.checkRows = false, true
		}
		if wait := f.searchWait(); wait > 0 {
			if !pause.For(ctx, wait) {
				return
			}
			continue
		}
		if wait := backup.wait(len(a.localHosts())); !following && f.joined && wait > 0 {
			if !a.awaitChange(ctx, min(wait, maxFollowerCheckPeriod)) {
				return
			}
			continue
		}
		wait := time.Duration(0)
		if following && f.joined {
			wait = feedWait
		}
		if err := f.poll(ctx, wait); err != nil {
			f.handleFailure(ctx, err)
			if !following {
				backup = newBackupTimer() // the followers keep retrying
			}
			continue
		}
		f.handleSuccess()
		backup = newBackupTimer()
		if following && !pause.For(ctx, feedPause) {
			return
		}
	}
}

// awaitChange waits until the host records change or the time is over, at least for
// followerCheckPeriod. It reports whether the context is still valid.
func (a *Agent) awaitChange(ctx context.Context, limit time.Duration) bool {
	changed := a.members.NextChange()
	if !pause.For(ctx, followerCheckPeriod) {
		return false
	}
	timer := time.NewTimer(max(0, limit-followerCheckPeriod))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// backupTimer tells when a host that does not follow the store reads it. The time depends
// on the number of hosts that share the reads, which can change before it is over.
type backupTimer struct {
	due   bool
	since time.Time
	share float64 // of the mean time, exponentially distributed
}

func newBackupTimer() backupTimer { return backupTimer{since: time.Now(), share: rand.ExpFloat64()} }

// wait returns the time until the next read in a data centre of so many live hosts.
func (t *backupTimer) wait(hosts int) time.Duration {
	if t.due {
		return 0
	}
	return time.Until(t.since.Add(time.Duration(t.share * float64(max(1, hosts)) * float64(backupReadPeriod))))
}

// localHosts returns the live hosts of this data centre, this host included, in
// the order in which they become the store's follower. Right after the start, hosts of
// which only the rows are known count as well.
func (a *Agent) localHosts() []membership.Host {
	var out []membership.Host
	for _, h := range a.members.Hosts() {
		if h.DataCentre == a.cfg.Self.DataCentre && (h.Status == membership.StatusAlive || h.ID == a.cfg.Self.ID) {
			out = append(out, h)
		}
	}
	for _, h := range a.gossip.Presumed() {
		if h.DataCentre == a.cfg.Self.DataCentre {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(x, y membership.Host) int {
		if x.Detached != y.Detached {
			if x.Detached {
				return 1
			}
			return -1
		}
		hashX, hashY := xxhash.Sum64String(string(x.ID)), xxhash.Sum64String(string(y.ID))
		if hashX < hashY {
			return -1
		}
		return 1
	})
	return out
}

// maxDetached is the number of hosts of a data centre that must have lost the
// store before it counts as unavailable there. Then only these hosts keep
// retrying it.
const maxDetached = 3

// followersPerDataCentre is the number of hosts that follow the store in each data
// centre. The others notice only after seconds that one of them has been cut off, and
// changes must be read meanwhile.
const followersPerDataCentre = 2

// isStoreFollower reports whether this host follows the store: it is one of the first
// hosts of its data centre that can reach it. While the store is unavailable, up
// to maxDetached detached hosts keep retrying.
func (a *Agent) isStoreFollower() bool {
	self, detached := a.cfg.Self.ID, 0
	peers := a.localHosts()
	for _, h := range peers {
		if h.Detached {
			detached++
			if h.ID == self {
				return detached <= maxDetached
			}
		}
	}
	first := peers[:min(len(peers), followersPerDataCentre)]
	return detached < maxDetached && slices.ContainsFunc(first, func(h membership.Host) bool { return h.ID == self })
}

// poll reads the tables in full once, and then the changes. When the whole system
// starts for the first time, a host that does not follow the store reads nothing if
// it has peers, which send it the configuration.
func (f *follower) poll(ctx context.Context, wait time.Duration) error {
	if !f.joined {
		if err := f.join(ctx); err != nil {
			return err
		}
	}
	if !f.settled {
		f.settled = true
		// The join has shown the other hosts of the data centre. A host that is started
		// again must read the orders: the row of a rollout may name it as coordinator.
		if f.agent.cfg.FirstStart && f.leavesReading(ctx) {
			return nil
		}
	}
	if f.version == 0 {
		return f.readAll(ctx)
	}
	changes, err := f.agent.cfg.Store.Changes(ctx, f.agent.cfg.Codec.Table, f.version, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		f.agent.cfg.Log.Info().Str("table", f.agent.cfg.Codec.Table).Uint64("position", platform.CounterOf(f.version)).Uint64("era", platform.EraOf(f.version)).
			Msg("history of the store is gone; reading the table again")
		f.version = 0
		return f.readAll(ctx)
	}
	if err != nil {
		return err
	}
	if len(changes.Rows) > 0 {
		f.agent.cfg.Log.Info().Uint64("after", platform.CounterOf(f.version)).Uint64("position", platform.CounterOf(changes.Version)).
			Uint64("era", platform.EraOf(changes.Version)).Int("rows", len(changes.Rows)).Msg("changes of the store")
	}
	f.version = changes.Version
	f.agent.changeEvacuations(changes)
	for _, row := range changes.Rows {
		if !row.Removed {
			f.agent.cfg.Guard.Run("row", func() { f.agent.handleRow(row.Row) })
		}
	}
	return nil
}

// leavesReading reports whether other hosts read the configuration at the first start of
// the whole system. A host that was found before it had read the rows knows the others
// only after it has waited.
func (f *follower) leavesReading(ctx context.Context) bool {
	a := f.agent
	if !f.hostsReadAt.IsZero() && a.isStoreFollower() {
		return false
	}
	return (a.awaitConfig(ctx, peerConfigTimeout) || a.gossip.LinkCount() > 0) && !a.isStoreFollower()
}

// awaitConfig waits for a configuration from other hosts and reports whether there
// is one.
func (a *Agent) awaitConfig(ctx context.Context, limit time.Duration) bool {
	for until := time.Now().Add(limit); a.Snapshot() == nil; {
		if time.Now().After(until) || !pause.For(ctx, peerConfigPoll) {
			return false
		}
	}
	return true
}

func (f *follower) readAll(ctx context.Context) error {
	rows, version, err := f.agent.cfg.Store.Rows(ctx, f.agent.cfg.Codec.Table)
	if err != nil {
		return err
	}
	f.agent.cfg.Log.Info().Str("table", f.agent.cfg.Codec.Table).Int("rows", len(rows)).Uint64("position", platform.CounterOf(version)).
		Uint64("era", platform.EraOf(version)).Msg("table read")
	f.agent.history.observe(platform.EraOf(version), "store")
	// Before the configuration, with which a host that has just started sends calls.
	f.agent.readEvacuations(rows, version)
	for _, row := range rows {
		f.agent.cfg.Guard.Run("row", func() { f.agent.handleRow(row) })
	}
	f.version = version
	return nil
}

// handleRow applies a row of the operators' table.
func (a *Agent) handleRow(row platform.Row) {
	if row.Key == a.cfg.Codec.ConfigKey {
		a.handleConfigRow(row.Value)
		return
	}
	order, ok, err := a.cfg.Codec.DecodeOrder(row.Key, row.Value, row.Version)
	switch {
	case err != nil:
		a.count("orders.rejected")
		a.cfg.Log.Error().Err(err).Str("row", row.Key).Msg("order cannot be read")
	case ok:
		a.handleOrder(order)
	}
}

// aloneAfter is how long a host has no link before it counts as cut off from all others.
// Links are replaced in less.
const aloneAfter = time.Second

// isAlone reports whether the host must follow the store itself since it is cut off from
// all others.
func (f *follower) isAlone() bool {
	if f.agent.cfg.FollowAlone == nil || !f.agent.cfg.FollowAlone() {
		return false
	}
	if now := time.Now(); f.linkedAt.IsZero() || f.agent.gossip.LinkCount() > 0 {
		f.linkedAt = now
	}
	return time.Since(f.linkedAt) > aloneAfter
}

// rejoinIfIsolated makes a host without links read the hosts' rows again, because
// all the hosts in its records may be gone.
func (f *follower) rejoinIfIsolated() {
	if !f.joined || f.agent.gossip.LinkCount() > 0 {
		f.rejoinDelay = minRejoinDelay
		return
	}
	if time.Since(f.hostsReadAt) > f.rejoinDelay {
		f.joined = false
		f.rejoinDelay = min(maxRejoinDelay, 2*f.rejoinDelay)
	}
}

// searchWait returns how long to wait before the next look at whether this host finds live
// hosts among the rows, or 0 when that is settled.
func (f *follower) searchWait() time.Duration {
	since := time.Since(f.hostsReadAt)
	if !f.joined || !f.settled || f.announced || since > announceTime {
		return 0
	}
	pending, _ := f.agent.gossip.SearchState()
	switch {
	case pending == 0:
		return 0
	case since < announceDelay:
		return announceDelay - since
	case f.agent.gossip.LinkCount() == 0:
		return announcePoll
	}
	return 0
}

// announceAmongStaleRows makes a host that finds few live ones among the rows write its own
// anew and read them again. Of hosts that do so at the same time, each sees the rows of
// those before it among the latest.
func (f *follower) announceAmongStaleRows() {
	since := time.Since(f.hostsReadAt)
	if !f.joined || f.announced || since < announceDelay || since > announceTime {
		return
	}
	pending, unreachable := f.agent.gossip.SearchState()
	if pending > 0 && unreachable >= max(minUnreachable, len(f.agent.members.Hosts())) {
		f.joined, f.announce, f.announced = false, true, true
		f.agent.count("hosts.announced_anew")
	}
}

// join reads the rows of all hosts and writes the row of this host if it is
// missing or out of date. Of two hosts that start at the same time, at least one
// must see the other's row, so a host that saw none reads again after it has
// written its own. After a restore of the store it writes the rows of other hosts too.
func (f *follower) join(ctx context.Context) error {
	var rows map[mesh.HostID]hostRow
	if !f.agent.cfg.FirstStart || f.checkRows {
		var err error
		if rows, err = f.readHosts(ctx); err != nil {
			return err
		}
	}
	self := f.agent.members.Self()
	self.StoreEra = rows[self.ID].era
	if f.departuresKnown {
		self.StoreEra = f.agent.storeEra()
	}
	f.rowEra = rows[self.ID].era
	rowPresent := rows[self.ID].callAddress == self.CallAddress && (f.unknownSince.IsZero() || rows[self.ID].era == self.StoreEra)
	if !rowPresent || f.announce {
		if err := f.writeRow(ctx, &self); err != nil {
			return err
		}
		f.rowEra = self.StoreEra
		if len(f.agent.members.Hosts()) == 1 && len(f.agent.gossip.Presumed()) == 0 || f.announce {
			if _, err := f.readHosts(ctx); err != nil {
				return err
			}
		}
		f.announce = false
	}
	if f.checkRows {
		if err := f.restoreRows(ctx, rows, false); err != nil {
			return err
		}
		f.checkRows = false
	}
	f.joined = true
	f.agent.hostsLearned.Store(true)
	f.agent.cfg.Log.Info().Int("hosts", len(f.agent.members.Hosts())).Int("rows", len(rows)).Bool("row_written", !rowPresent).Msg("joined through the store")
	return nil
}

// hostRow is what a follower needs to know of a host's row.
type hostRow struct {
	callAddress string
	version     uint64
	era         uint64 // in which the host wrote it
}

func newHostRow(row *platform.Row, h *membership.Host) hostRow {
	return hostRow{h.CallAddress, row.Version, max(platform.FirstEra, h.StoreEra)}
}

func isDecisionRow(row *platform.Row) bool { return strings.HasPrefix(row.Key, decisionPrefix) }

// readHosts reads the rows of all hosts and returns them. A row outlives its host: it
// becomes no host record, but makes this host look for the one that it names. Its own row
// tells of its earlier processes.
func (f *follower) readHosts(ctx context.Context) (map[mesh.HostID]hostRow, error) {
	rows, version, err := f.agent.cfg.Store.Rows(ctx, hostTable)
	if err != nil {
		return nil, err
	}
	f.agent.history.observe(platform.EraOf(version), "store")
	f.hostsReadAt = time.Now()
	var hosts []distribution.Candidate
	var guilty, departed, decided []platform.Row
	present := make(map[mesh.HostID]hostRow, len(rows))
	for _, row := range rows {
		switch {
		case f.agent.guilty.IsRow(&row):
			guilty = append(guilty, row)
			continue
		case f.agent.departures.IsRow(&row):
			departed = append(departed, row)
			continue
		case isDecisionRow(&row):
			decided = append(decided, row)
			continue
		}
		h, err := decodeHostRow(&row)
		if err != nil {
			f.agent.count("hosts.unreadable")
			f.agent.cfg.Log.Error().Str("row", row.Key).AnErr("cause", err).Msg("host row cannot be read")
			continue
		}
		present[h.ID] = newHostRow(&row, &h)
		h.StoreEra = 0 // only answers of the store and the hosts themselves tell the era in force
		if h.ID == f.agent.cfg.Self.ID {
			f.agent.members.Merge([]membership.Host{h})
			continue
		}
		hosts = append(hosts, distribution.Candidate{Host: h, Version: row.Version})
	}
	f.loadDepartures(departed, present[f.agent.cfg.Self.ID].era)
	f.agent.gossip.SpreadSuspects(f.agent.guilty.Load(guilty))
	if f.checkRows {
		f.agent.guilty.Restore(guilty)
	}
	f.agent.gossip.Discover(hosts)
	f.agent.loadDecisions(decided)
	return present, nil
}

// maxRowIncarnation leaves room for the host itself to refute a row. It does not depend on
// the clock of this host, which may be wrong.
const maxRowIncarnation = 1 << 61

// decodeHostRow decodes the row of a host. Another writer may have left it: what no host
// writes there is dropped, and values that no host can have make it unreadable.
func decodeHostRow(row *platform.Row) (membership.Host, error) {
	var h membership.Host
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, err
	}
	switch {
	case hostTable+"/"+string(h.ID) != row.Key || h.DataCentre == "":
		return h, errors.New("row names another host, or no data centre")
	case h.Incarnation > maxRowIncarnation:
		return h, fmt.Errorf("incarnation %d cannot have been reached", h.Incarnation)
	case h.StoreEra > max(platform.FirstEra, platform.EraOf(row.Version)):
		return h, fmt.Errorf("era %d has not begun", h.StoreEra)
	}
	for _, address := range []string{h.PeerAddress, h.CallAddress} {
		if err := checkAddress(address); err != nil {
			return h, err
		}
	}
	return membership.Host{
		ID: h.ID, DataCentre: h.DataCentre, PeerAddress: h.PeerAddress, CallAddress: h.CallAddress,
		Incarnation: h.Incarnation, Status: membership.StatusAlive, StoreEra: h.StoreEra,
	}, nil
}

func checkAddress(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("address %q: port is not in 1 to 65535", address)
	}
	return nil
}

// storeEra returns the era of the store, as its answers have named it.
func (a *Agent) storeEra() uint64 { return max(platform.FirstEra, a.cfg.Store.Era()) }

// loadDepartures passes on the rows of departures on this host. They are all that were
// acknowledged, unless the store was restored after this host wrote its own row. A process
// that finds it so knows them after lateHeartbeats, when those of targets that have left
// have arrived and been ignored.
func (f *follower) loadDepartures(rows []platform.Row, rowEra uint64) {
	a := f.agent
	departed := make(map[mesh.TargetID]int64)
	for _, d := range a.departures.Load(rows) {
		departed[d.Target] = d.Started
	}
	era := a.storeEra()
	switch {
	case era == platform.FirstEra, rowEra == era, !f.unknownSince.IsZero() && time.Since(f.unknownSince) > lateHeartbeats:
		f.departuresKnown = true
	case f.unknownSince.IsZero() && !f.departuresKnown:
		f.unknownSince = time.Now()
		a.cfg.Log.Warn().Uint64("era", era).Uint64("row_era", rowEra).Msg("departures may be lost since the store was restored")
	}
	if a.cfg.OnDepartures != nil {
		a.cfg.OnDepartures(departed, f.departuresKnown)
	}
}

// restoreRows writes the rows of live hosts that the store has lost: those of this data
// centre, and of data centres in which no host can reach the store, or everywhere. A host
// that starts later finds the mesh by them.
func (f *follower) restoreRows(ctx context.Context, rows map[mesh.HostID]hostRow, everywhere bool) error {
	hosts := f.agent.members.Hosts()
	attached := make(map[mesh.DataCentre]bool)
	for i := range hosts {
		if hosts[i].Status == membership.StatusAlive && !hosts[i].Detached {
			attached[hosts[i].DataCentre] = true
		}
	}
	self := f.agent.cfg.Self
	for i := range hosts {
		h := &hosts[i]
		if h.ID == self.ID || h.Status != membership.StatusAlive || rows[h.ID].callAddress == h.CallAddress ||
			!everywhere && h.DataCentre != self.DataCentre && attached[h.DataCentre] {
			continue
		}
		condition := platform.Condition{Key: hostTable + "/" + string(h.ID), Version: rows[h.ID].version}
		restored := *h
		restored.StoreEra = 0 // whether its departures are lost is not known here
		err := f.writeRow(ctx, &restored, condition)
		switch {
		case errors.Is(err, platform.ErrConflict):
			continue // the host or another one has written it
		case err != nil:
			return err
		}
		f.agent.count("hosts.rows_restored")
		f.agent.cfg.Log.Info().Str("of", string(h.ID)).Msg("row of a host written again")
	}
	return nil
}

// writeRow writes the row of a host. The row is the same at each attempt, so a write
// whose answer was lost can be repeated.
func (f *follower) writeRow(ctx context.Context, h *membership.Host, conditions ...platform.Condition) error {
	value, err := json.Marshal(membership.Host{
		ID: h.ID, DataCentre: h.DataCentre, PeerAddress: h.PeerAddress, CallAddress: h.CallAddress,
		Incarnation: h.Incarnation, Status: membership.StatusAlive, StoreEra: h.StoreEra,
	})
	if err != nil {
		return err
	}
	return f.agent.cfg.Store.Commit(ctx, platform.Txn{
		Conditions: conditions, Writes: []platform.Write{{Key: hostTable + "/" + string(h.ID), Value: value}},
	})
}

// handleFailure marks this host as detached from the store and waits for the
// back-off.
func (f *follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.markLost(err)
	wait := f.backoff/2 + rand.N(f.backoff)
	f.backoff = min(maxBackoff, 2*f.backoff)
	pause.For(ctx, wait)
}

// markLost marks this host as detached from the store.
func (f *follower) markLost(err error) {
	if f.backoff > 0 {
		return
	}
	f.backoff = minBackoff
	f.agent.cfg.Log.Warn().Err(err).Msg("store lost")
	f.agent.setDetached(true)
}

// doubtStore marks this host as detached after a call outside of storeLoop has failed,
// so that another host can take over what needs the store. storeLoop finds out when the
// store can be reached again.
func (a *Agent) doubtStore() {
	a.storeDoubted.Store(true)
	a.setDetached(true)
}

// handleSuccess resets the back-off and marks this host as attached again.
func (f *follower) handleSuccess() {
	if f.backoff == 0 {
		return
	}
	f.backoff = 0
	f.agent.cfg.Log.Info().Msg("store regained")
	f.agent.setDetached(false)
}

// setDetached publishes whether this host cannot reach the store.
func (a *Agent) setDetached(detached bool) {
	a.members.UpdateSelf(func(h *membership.Host) { h.Detached = detached })
}
