package quota

import (
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const (
	// minBurst is the burst of all hosts together of a team whose burst is smaller.
	// Without it, a host that lends for a few others could never save up a whole call.
	minBurst = 10
	// maxNextToken bounds the time after which a host asks again for a team that has no
	// tokens left, and minNextToken keeps it from asking for each one.
	minNextToken = 20 * time.Millisecond
	maxNextToken = 250 * time.Millisecond
	// unsharedNextToken is the same while no host has delegated its part to the lender,
	// as just after a start.
	unsharedNextToken = 50 * time.Millisecond
	// shareLoss is the part of its share that a lender may lose before it treats the
	// teams that it holds no bucket for as ones that have just spent their burst.
	shareLoss = 0.1
)

// lender lends the tokens of teams. The part of a team's limit that it may lend is the
// part of all hosts that have delegated theirs to it.
type lender struct {
	start   uint64 // identifies the process
	began   time.Time
	sharing int // hosts that share the limits, as this host knows; 0 when it does not
	limits  map[mesh.TeamName]Limit
	slots   [Slots]lenderSlot
}

// lenderSlot is the state of one slot of teams.
type lenderSlot struct {
	members  map[mesh.HostID]member
	released map[mesh.HostID]uint64 // stamp of the host's last release; older stamps delegate nothing
	buckets  map[mesh.TeamName]*bucket
	last     time.Time // up to which credit is counted
	share    float64   // part of all hosts that the members are
	credit   float64   // integral of share over time, in seconds
	base     float64   // credit from which a team without a bucket has saved up tokens
	peak     float64   // greatest share since base
	firstEnd time.Time // when the first delegation runs out
	stale    bool      // members have changed since share was computed
}

// member is a host that has delegated its part.
type member struct {
	until   time.Time
	sharing int // hosts that share the limits, as the member knows
}

// bucket holds the tokens of a team.
type bucket struct {
	level  float64
	credit float64 // of the slot when level was computed
}

// lapsed reports whether t is past on the steady clock or on the wall clock. The
// steady clock does not count the time in which a machine is suspended.
func lapsed(now, t time.Time) bool {
	return !now.Before(t) || !now.Round(0).Before(t.Round(0))
}

// advance brings a slot up to now: members whose time has run out no longer count.
func (l *lender) advance(now time.Time, s *lenderSlot) {
	if s.last.IsZero() || now.Before(s.last) {
		s.last = now
	}
	elapsed := now.Sub(s.last)
	if !s.stale && (len(s.members) == 0 || !lapsed(now, s.firstEnd)) {
		s.credit += s.share * elapsed.Seconds()
		s.last = now
		return
	}
	var sum time.Duration // of all members' time
	sharing := l.sharing
	s.firstEnd = time.Time{}
	for id, m := range s.members {
		sharing = max(sharing, m.sharing)
		sum += max(0, min(m.until.Sub(s.last), elapsed))
		if lapsed(now, m.until) {
			delete(s.members, id)
		} else if s.firstEnd.IsZero() || m.until.Before(s.firstEnd) {
			s.firstEnd = m.until
		}
	}
	s.last, s.stale = now, false
	if l.sharing == 0 {
		l.setShare(s, 0)
		return
	}
	s.credit += min(sum.Seconds()/float64(sharing), elapsed.Seconds())
	l.setShare(s, min(1, float64(len(s.members))/float64(sharing)))
}

// setShare records the part of the limits that the slot may lend. Tokens that were
// saved up for hosts that no longer count are dropped: another host may lend them.
func (l *lender) setShare(s *lenderSlot, share float64) {
	if share < s.share {
		for team := range s.buckets {
			l.fill(s, team, share)
		}
		if share < (1-shareLoss)*s.peak {
			s.base, s.peak = s.credit, share
		}
	}
	s.share = share
	s.peak = max(s.peak, share)
}

// fill adds the tokens that a bucket has gained since it was filled last.
func (l *lender) fill(s *lenderSlot, team mesh.TeamName, share float64) *bucket {
	b := s.buckets[team]
	if b == nil {
		b = &bucket{credit: s.base}
		if s.buckets == nil {
			s.buckets = make(map[mesh.TeamName]*bucket)
		}
		s.buckets[team] = b
	}
	limit := l.limits[team]
	b.level = min(b.level+limit.Rate*(s.credit-b.credit), share*max(limit.Burst, minBurst))
	b.credit = s.credit
	return b
}

// lend returns the tokens that a team gets, at most want, and the time until the next
// one when it gets fewer.
func (l *lender) lend(now time.Time, s *lenderSlot, team mesh.TeamName, want int) (int, time.Duration) {
	limit, ok := l.limits[team]
	if !ok || limit.Rate <= 0 {
		return 0, maxNextToken // this host has another configuration than the one that asks
	}
	l.advance(now, s)
	b := l.fill(s, team, s.share)
	n := max(0, min(want, int(b.level)))
	b.level -= float64(n)
	if n == want {
		return n, 0
	}
	if s.share == 0 {
		return n, unsharedNextToken
	}
	next := time.Duration((1 - b.level) / (limit.Rate * s.share) * float64(time.Second))
	return n, min(max(next, minNextToken), maxNextToken)
}

// join counts a host's part until the given time.
func (l *lender) join(now time.Time, s *lenderSlot, host mesh.HostID, until time.Time, sharing int) {
	if lapsed(now, until) {
		return
	}
	l.advance(now, s)
	if s.members == nil {
		s.members = make(map[mesh.HostID]member)
	}
	if until.After(s.members[host].until) {
		s.members[host], s.stale = member{until: until, sharing: sharing}, true
	}
	l.advance(now, s)
}

// release ends the delegation of a host.
func (l *lender) release(now time.Time, s *lenderSlot, host mesh.HostID) {
	l.advance(now, s)
	if s.released == nil {
		s.released = make(map[mesh.HostID]uint64)
	}
	s.released[host] = l.stamp(now)
	delete(s.members, host)
	s.stale = true
	l.advance(now, s)
}

// setLimits replaces the limits. A bucket keeps what fits under the new limit.
func (l *lender) setLimits(now time.Time, limits map[mesh.TeamName]Limit) {
	for i := range l.slots {
		s := &l.slots[i]
		l.advance(now, s)
		for team := range s.buckets {
			l.fill(s, team, s.share)
		}
	}
	l.limits = limits
	for i := range l.slots {
		s := &l.slots[i]
		for team := range s.buckets {
			if limits[team].Rate <= 0 {
				delete(s.buckets, team)
				continue
			}
			l.fill(s, team, s.share)
		}
	}
}

// answer handles a message of another host.
func (l *lender) answer(now time.Time, m *Message) Message {
	s := &l.slots[m.Slot]
	r := Message{Kind: kindGrant, From: m.To, To: m.From, Slot: m.Slot, Seq: m.Seq, Start: l.start, Stamp: l.stamp(now)}
	switch {
	case m.Kind == kindRelease:
		l.release(now, s, m.From)
		r.Released = true
	case m.Start == l.start && m.Stamp > s.released[m.From] && m.Stamp <= r.Stamp:
		lease := min(time.Duration(m.LeaseMS)*time.Millisecond, maxLease)
		l.join(now, s, m.From, l.began.Add(time.Duration(m.Stamp-1)*time.Millisecond+lease), m.Sharing)
	}
	for _, w := range m.Items {
		n, next := l.lend(now, s, w.Team, w.Tokens)
		r.Items = append(r.Items, Item{Team: w.Team, Tokens: n, NextMS: int(next.Milliseconds())})
	}
	return r
}

// stamp returns the time on the lender's clock in ms. A host's delegation is counted
// from a stamp that it has received, so that a delayed message cannot prolong it.
func (l *lender) stamp(now time.Time) uint64 {
	return 1 + uint64(max(0, now.Sub(l.began).Milliseconds()))
}
