package membership

import (
	"cmp"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// MergeRecords returns the newer of two records of the same host. It is
// commutative, associative and idempotent: it compares incarnation, then
// sequence, and prefers the higher status in a tie. Records that are equal so
// far differ only when two processes use one host ID. Their contents are then
// ordered, so that all hosts select the same record.
func MergeRecords(a, b Host) Host {
	a, b = canonical(a), canonical(b)
	if compare(&a, &b) < 0 {
		return b
	}
	return a
}

// canonical drops the targets of a failed or left host. They take no calls,
// and the record is kept long after the host has failed or left.
func canonical(h Host) Host {
	if h.Status.isTerminal() {
		h.Targets = nil
	}
	return h
}

// compare returns -1, 0 or 1 as a is older than, equal to or newer than b.
func compare(a, b *Host) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.Status, b.Status),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.PeerAddress, b.PeerAddress),
		cmp.Compare(a.CallAddress, b.CallAddress),
		slices.CompareFunc(a.Targets, b.Targets, compareTargets),
	)
}

func compareTargets(a, b Target) int {
	return cmp.Or(
		cmp.Compare(a.ID, b.ID), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Address, b.Address), cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.Connections, b.Connections), cmp.Compare(a.State, b.State),
		a.ReadySince.Compare(b.ReadySince), cmp.Compare(a.ColdUntil, b.ColdUntil),
	)
}

const (
	// maxHosts bounds the number of records. It is several times the design
	// scale of 2,200 hosts plus the records of those that failed within the
	// retention time.
	maxHosts = 16384
	// maxIncarnation leaves room for a higher incarnation to refute any record
	// that is accepted.
	maxIncarnation = 1 << 62
)

// isValid reports whether a record from a peer may be merged into the table.
func isValid(r *Host) bool {
	return r.ID != "" && r.Status >= StatusAlive && r.Status <= StatusLeft && r.Incarnation < maxIncarnation
}

// Merge merges records received from other hosts into the table and returns
// those that changed it. A host that receives a record of itself as suspected
// or failed refutes it by raising its incarnation. The refutation is among the
// changed records.
func (t *Table) Merge(records []Host) (changed []Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, r := range records {
		if !isValid(&r) {
			continue
		}
		if r.ID == t.self {
			t.recordFormer(&r)
			if t.refute(&r, now) {
				changed = append(changed, clone(t.hosts[t.self].host))
			}
			continue
		}
		r = canonical(clone(r))
		e := t.hosts[r.ID]
		if e != nil && compare(&e.host, &r) >= 0 || e == nil && len(t.hosts) >= maxHosts {
			continue
		}
		t.put(r, now)
		changed = append(changed, clone(r))
	}
	if len(changed) > 0 {
		t.notify()
	}
	return changed
}

// refute raises the incarnation of this host above that of a received record
// of it, if that record is newer than its own or contradicts it. It reports
// whether it did. More than maxTakeovers records with another address are not
// refuted.
func (t *Table) refute(r *Host, now time.Time) bool {
	own := t.hosts[t.self].host
	if compare(&own, r) >= 0 {
		return false
	}
	if r.PeerAddress != own.PeerAddress {
		t.takeovers++
		if t.takeovers > maxTakeovers {
			return false
		}
	}
	own.Incarnation = r.Incarnation + 1
	own.Sequence++
	t.putSelf(own, now)
	return true
}

// recordFormer keeps a record of this host that an earlier process has made.
func (t *Table) recordFormer(r *Host) {
	if t.incarnations[r.Incarnation] || t.former != nil && compare(t.former, r) >= 0 {
		return
	}
	former := clone(*r)
	t.former = &former
	t.notify()
}

// NewerThan returns the table's records that are newer than the given ones.
func (t *Table) NewerThan(records []Host) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newer []Host
	for _, r := range records {
		r = canonical(r)
		if e := t.hosts[r.ID]; e != nil && compare(&e.host, &r) > 0 {
			newer = append(newer, clone(e.host))
		}
	}
	return newer
}

// Suspect marks a host that does not answer as suspect. If the host does not
// refute this within Options.SuspectTimeout, Tick marks it as failed. Suspect
// reports whether it started a suspicion.
func (t *Table) Suspect(id mesh.HostID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[id]
	if e == nil || id == t.self || !e.suspected.IsZero() {
		return false
	}
	now := time.Now()
	switch e.host.Status {
	case StatusAlive:
		h := e.host
		h.Status = StatusSuspect
		t.put(h, now)
		t.notify()
		return true
	case StatusLeaving: // ranks above suspect, so only the local timer is started
		e.suspected = now
		t.notify() // Tick is due
		return true
	}
	return false
}

// Tick marks suspects as failed after Options.SuspectTimeout, or as left if they had said
// that they stop, and removes
// records of failed and left hosts after Options.Retention. The distribution
// engine calls it a few times a second.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	dirty := false
	for id, e := range t.hosts {
		switch {
		case id == t.self:
		case !e.suspected.IsZero() && now.Sub(e.suspected) >= t.opts.SuspectTimeout:
			h := e.host
			h.Status = StatusFailed
			if e.host.Status == StatusLeaving { // it has stopped, and is not merely cut off
				h.Status = StatusLeft
			}
			t.put(canonical(h), now)
			dirty = true
		case e.host.Status.isTerminal() && now.Sub(e.statusSince) >= t.opts.Retention:
			t.remove(id) // failed and left records are in no digest
			dirty = true
		}
	}
	if dirty {
		t.notify()
	}
}
