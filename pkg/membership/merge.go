package membership

import (
	"cmp"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// MergeRecords returns the newer of two records of the same host. It is commutative,
// associative and idempotent: (incarnation, sequence) decides, then the worse
// status. Records that are equal so far differ only when two processes use one
// host ID; their contents are then ordered, so that all hosts choose the same.
func MergeRecords(a, b Host) Host {
	a, b = canonical(a), canonical(b)
	if compare(&a, &b) < 0 {
		return b
	}
	return a
}

// canonical drops the targets of a failed or left host. They take no calls,
// and the record is kept long after the host is gone.
func canonical(h Host) Host {
	if h.Status.gone() {
		h.Targets = nil
	}
	return h
}

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
		a.ReadySince.Compare(b.ReadySince),
	)
}

const (
	// maxHosts bounds the records kept. It is several times the design scale of
	// 2,200 hosts plus the records of those that failed within the retention.
	maxHosts = 16384
	// maxIncarnation leaves room to refute any record that is accepted.
	maxIncarnation = 1 << 62
)

// valid reports whether a record of a peer may enter the table.
func valid(r *Host) bool {
	return r.ID != "" && r.Status >= StatusAlive && r.Status <= StatusLeft && r.Incarnation < maxIncarnation
}

// Merge joins records heard from other hosts into the table and returns those
// that changed it. A host that hears it is suspected or failed refutes by
// raising its incarnation; the refutation is among the changed records.
func (t *Table) Merge(records []Host) (changed []Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, r := range records {
		if !valid(&r) {
			continue
		}
		if r.ID == t.self {
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

// refute raises the incarnation over a record of this host that is newer than
// or contradicts its own.
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
	t.put(own, now)
	return true
}

// NewerThan returns the table's records that are newer than the given ones.
func (t *Table) NewerThan(than []Host) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newer []Host
	for _, r := range than {
		r = canonical(r)
		if e := t.hosts[r.ID]; e != nil && compare(&e.host, &r) > 0 {
			newer = append(newer, clone(e.host))
		}
	}
	return newer
}

// Suspect records that the host does not answer. It has failed when it does
// not refute within Options.SuspectTimeout.
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
	case StatusLeaving: // ranks above suspect, so only the local timer starts
		e.suspected = now
		return true
	}
	return false
}

// Tick declares suspects failed whose time has run out and removes records
// whose retention has ended. The node calls it a few times a second.
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
			t.put(canonical(h), now)
			dirty = true
		case e.host.Status.gone() && now.Sub(e.since) >= t.opts.Retention:
			delete(t.hosts, id) // gone records are in no digest
			dirty = true
		}
	}
	if dirty {
		t.notify()
	}
}
