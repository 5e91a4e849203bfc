package membership

import (
	"slices"
	"strings"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Defaults of Options.
const (
	DefaultSuspectTimeout = 3 * time.Second
	DefaultHideAfter      = 10 * time.Minute
	// DefaultRetention exceeds the longest expected partition by far. After a
	// shorter retention, the other side of a healed partition could bring back
	// an old record of a host that failed meanwhile.
	DefaultRetention = 48 * time.Hour
)

// maxTakeovers bounds how often a host raises its incarnation above that of a
// record with its own ID and another address. A restarted host needs one
// takeover. Without the bound, two processes with one ID would raise their
// incarnations above each other's without end.
const maxTakeovers = 3

// Options are the timers of a Table. Zero values mean the defaults.
type Options struct {
	SuspectTimeout time.Duration // time for a suspect to refute before it counts as failed
	HideAfter      time.Duration // time after which Hosts and Get omit failed and left hosts
	Retention      time.Duration // time that records of failed and left hosts are kept, to reject old copies
}

// Table holds the records of all known hosts. It is safe for concurrent use.
type Table struct {
	opts Options
	self mesh.HostID

	mu        sync.Mutex
	hosts     map[mesh.HostID]*entry
	sorted    []*entry // of hosts, by ID
	shown     []Host   // the result of Hosts; nil after a change
	shownTill time.Time
	digests   [BucketCount]uint64
	version   uint64
	changed   chan struct{}
	takeovers int
	// incarnations are those that this process has used for its own record, and
	// former is the newest record of an earlier process of this host.
	incarnations map[uint64]bool
	former       *Host
}

type entry struct {
	host        Host
	version     uint64    // table version at the last change of the record
	statusSince time.Time // when the status last changed
	suspected   time.Time // zero unless suspected; also set for leaving hosts
	// former is the newest record of an earlier process of the host that holds what the
	// present process does not know, with what the records before it held.
	former *Host
}

// NewTable returns a table that holds only the record of the host itself. The
// caller sets the incarnation of self, for example to the start time in
// milliseconds. The table raises it when an earlier run had a higher one.
func NewTable(self Host, opts Options) *Table {
	if opts.SuspectTimeout == 0 {
		opts.SuspectTimeout = DefaultSuspectTimeout
	}
	if opts.HideAfter == 0 {
		opts.HideAfter = DefaultHideAfter
	}
	if opts.Retention == 0 {
		opts.Retention = DefaultRetention
	}
	t := &Table{opts: opts, self: self.ID, hosts: make(map[mesh.HostID]*entry), changed: make(chan struct{}), incarnations: make(map[uint64]bool)}
	if self.Status == 0 {
		self.Status = StatusAlive
	}
	t.putSelf(clone(self), time.Now())
	return t
}

// putSelf stores the host's own record.
func (t *Table) putSelf(h Host, now time.Time) {
	t.incarnations[h.Incarnation] = true
	t.put(h, now)
}

// Former returns the newest record of an earlier process of this host that other
// hosts have sent. It says what the host knew before it was started again.
func (t *Table) Former() (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.former == nil {
		return Host{}, false
	}
	return clone(*t.former), true
}

// Self returns the host's own record.
func (t *Table) Self() Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clone(t.hosts[t.self].host)
}

// UpdateSelf changes the host's own record and raises its sequence. Changes of
// ID, Incarnation and Sequence by the function are discarded.
func (t *Table) UpdateSelf(change func(*Host)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.hosts[t.self].host
	h := clone(old)
	change(&h)
	h.ID, h.Incarnation, h.Sequence = old.ID, old.Incarnation, old.Sequence+1
	t.putSelf(h, time.Now())
	t.notify()
}

// Hosts returns the known hosts ordered by ID, without those that failed or
// left longer ago than Options.HideAfter. All callers get the same slice until a
// record changes and must not modify it or its records.
func (t *Table) Hosts() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.shown == nil || !now.Before(t.shownTill) {
		t.shown = t.collect(func(e *entry) bool { return !e.isHidden(t.opts.HideAfter) })
		t.shownTill = t.nextHiding(now)
	}
	return t.shown
}

// nextHiding returns when the next host disappears from Hosts without a change
// of its record.
func (t *Table) nextHiding(now time.Time) time.Time {
	next := now.Add(t.opts.HideAfter)
	for _, e := range t.sorted {
		if hidden := e.statusSince.Add(t.opts.HideAfter); e.host.Status.isTerminal() && hidden.After(now) && hidden.Before(next) {
			next = hidden
		}
	}
	return next
}

// FailedHosts returns the failed hosts whose records are still kept. Callers must not
// modify the records.
func (t *Table) FailedHosts() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.collect(func(e *entry) bool { return e.host.Status == StatusFailed })
}

// GoneHosts returns the hosts that have failed or left and whose records are still kept,
// the one that was lost last first. A successful dial to one of them shows that a partition
// has healed, or that it has been started again. Callers must not modify the records.
func (t *Table) GoneHosts() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []*entry
	for _, e := range t.sorted {
		if e.host.Status.isTerminal() {
			gone = append(gone, e)
		}
	}
	slices.SortStableFunc(gone, func(a, b *entry) int { return b.statusSince.Compare(a.statusSince) })
	hosts := make([]Host, 0, len(gone))
	for _, e := range gone {
		hosts = append(hosts, e.host)
	}
	return hosts
}

// Knows reports whether the table has a record of a host of at least an incarnation.
func (t *Table) Knows(id mesh.HostID, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[id]
	return e != nil && e.host.Incarnation >= incarnation
}

// Get returns the record of a host, unless it failed or left longer ago than
// Options.HideAfter.
func (t *Table) Get(id mesh.HostID) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.hosts[id]
	if !ok || e.isHidden(t.opts.HideAfter) {
		return Host{}, false
	}
	return clone(e.host), true
}

// GetRetained returns the record of a host that is still kept, even when Get
// no longer returns it.
func (t *Table) GetRetained(id mesh.HostID) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.hosts[id]
	if !ok {
		return Host{}, false
	}
	return clone(e.host), true
}

// HasSuspects reports whether Tick has a suspicion to end.
func (t *Table) HasSuspects() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.sorted, func(e *entry) bool { return !e.suspected.IsZero() && !e.host.Status.isTerminal() })
}

// FormerOf returns the newest record of an earlier process of another host that its later
// processes need to know, see Host.OutlivesProcess.
func (t *Table) FormerOf(id mesh.HostID) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[id]
	if e == nil || e.former == nil {
		return Host{}, false
	}
	return *e.former, true
}

// NextChange returns a channel that is closed at the next change. Callers
// obtain the channel before they read the state, so that no change is missed.
func (t *Table) NextChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// ChangedSince returns the records that changed after the given table version,
// and the current version. Version 0 returns all records. Callers must not modify
// them.
func (t *Table) ChangedSince(version uint64) ([]Host, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.collect(func(e *entry) bool { return e.version > version }), t.version
}

// HostIDTaken reports whether another process uses this host's ID and has
// taken over its record. This host must then stop serving under the ID.
func (t *Table) HostIDTaken() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.takeovers > maxTakeovers
}

func (t *Table) collect(keep func(*entry) bool) []Host {
	hosts := make([]Host, 0, len(t.sorted))
	for _, e := range t.sorted {
		if keep(e) {
			hosts = append(hosts, e.host)
		}
	}
	return hosts
}

// remove deletes a record that is in no digest.
func (t *Table) remove(id mesh.HostID) {
	delete(t.hosts, id)
	if i, ok := t.position(id); ok {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
	t.shown = nil
}

// position returns the index of a host in sorted, or where to insert it.
func (t *Table) position(id mesh.HostID) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(e *entry, id mesh.HostID) int {
		return strings.Compare(string(e.host.ID), string(id))
	})
}

// put stores a record and updates the digests, versions and timers. The record
// is never modified afterwards, since Hosts shares it.
func (t *Table) put(h Host, now time.Time) {
	e := t.hosts[h.ID]
	if e == nil {
		e = &entry{host: h, statusSince: now}
		t.hosts[h.ID] = e
		i, _ := t.position(h.ID)
		t.sorted = slices.Insert(t.sorted, i, e)
	} else {
		t.digests[BucketOf(h.ID)] -= recordHash(&e.host)
		if (h.Incarnation > e.host.Incarnation || h.Status.isTerminal()) && e.host.OutlivesProcess() {
			former := e.host
			if e.former != nil {
				former = former.WithFormer(e.former)
			}
			e.former = &former
		}
		if e.host.Status != h.Status {
			e.statusSince = now
		}
	}
	t.version++
	t.shown = nil
	e.host, e.version = h, t.version
	switch h.Status {
	case StatusSuspect:
		if e.suspected.IsZero() {
			e.suspected = now
		}
	default:
		e.suspected = time.Time{}
	}
	t.digests[BucketOf(h.ID)] += recordHash(&h)
}

func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (e *entry) isHidden(after time.Duration) bool {
	return e.host.Status.isTerminal() && time.Since(e.statusSince) > after
}

// isTerminal reports whether the status is final within its incarnation.
func (s Status) isTerminal() bool { return s == StatusFailed || s == StatusLeft }

// clone copies the slices of a record, so that no caller shares them with the
// table.
func clone(h Host) Host {
	h.Targets = slices.Clone(h.Targets)
	h.Rollouts = slices.Clone(h.Rollouts)
	return h
}
