package quota

import (
	"maps"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// ownDelegation outlives any process: a host knows when it withdraws its own part.
const ownDelegation = 100 * 365 * 24 * time.Hour

// renewal returns how often the delegation is renewed, and how long it lasts.
func (l *Limiter) renewal() (every, lease time.Duration) {
	every = max(renewTime, time.Duration(l.lender.sharing)*time.Second/renewalsPerSecond)
	every = min(every, time.Duration(float64(maxLease)/leasePeriods))
	return every, time.Duration(float64(every) * leasePeriods)
}

// Due reports whether Poll has something to do before the time that it returned last.
func (l *Limiter) Due() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.due
}

// Poll returns the messages that are due, and the time until it should be called
// again; earlier when Due reports true. The time is 0 while no team is limited: there
// is nothing to do then.
func (l *Limiter) Poll(now time.Time) ([]Message, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = false
	if len(l.lender.limits) == 0 {
		l.teams = make(map[mesh.TeamName]*team)
		return nil, 0
	}
	l.updateSlow(now)
	wants := l.collectWants(now)
	every, lease := l.renewal()
	var out []Message
	next := every
	for i := range l.slots {
		if !l.used[i] {
			continue
		}
		messages, wait := l.pollSlot(now, i, wants[i], every, lease)
		out = append(out, messages...)
		next = min(next, wait)
	}
	return out, max(next, time.Millisecond)
}

// collectWants returns the tokens that this host lacks, by slot.
func (l *Limiter) collectWants(now time.Time) [Slots][]Item {
	var wants [Slots][]Item
	for name, t := range l.teams {
		l.dropExpired(now, t)
		if now.Sub(t.updated) > idleTime && t.waiting == 0 {
			delete(l.teams, name)
			continue
		}
		if now.Before(t.emptyUntil) || len(wants[t.slot]) == maxItems {
			continue
		}
		t.decay(now)
		if !now.Before(t.askingTo) {
			t.asking = 0
		}
		if n := t.needs(now, l.lender.limits[name].Rate) - t.asking; n > 0 {
			wants[t.slot] = append(wants[t.slot], Item{Team: name, Tokens: n})
		}
	}
	return wants
}

// pollSlot keeps a slot's lender and returns the messages that are due.
func (l *Limiter) pollSlot(now time.Time, i int, wants []Item, every, lease time.Duration) ([]Message, time.Duration) {
	s := &l.slots[i]
	var out []Message
	if !s.firstUnanswered.IsZero() && now.Sub(s.firstUnanswered) >= max(silenceTime, min(3*s.roundTrip, maxSilence)) {
		if s.distrusted == nil {
			s.distrusted = make(map[mesh.HostID]time.Time)
		}
		s.distrusted[s.home] = now.Add(distrustTime)
		s.silent++
		l.move(now, i, l.choose(now, s))
	} else if s.home == "" || !slices.Contains(s.ranked, s.home) && s.home != l.self {
		out = append(out, l.leave(now, i, l.choose(now, s))...)
	}
	switch to := l.choose(now, s); {
	case l.prefers(s, l.self) && !l.slow, s.home == l.self && l.slow && s.silent == 0 && to != l.self:
		out = append(out, l.leave(now, i, to)...)
	}
	wait := every
	out = append(out, l.probes(now, i)...)
	if len(s.ranked) > 0 && s.home != s.ranked[0] {
		wait = min(wait, probeTime)
	}
	l.holdOwn(now, i)
	if s.home == l.self {
		for _, w := range wants {
			l.lendSelf(now, w.Team, l.teams[w.Team])
			l.teams[w.Team].wakeAll()
		}
		return out, wait
	}
	if s.home == "" {
		return out, wait
	}
	age := now.Sub(s.sent)
	unanswered := !s.firstUnanswered.IsZero()
	// A new lender's stamp is used at once, so that it can lend this host's part.
	isNew := !l.slow && s.stamp != 0 && s.delegated != s.home && !now.Before(s.committed)
	resend := s.resendTime()
	if len(wants) > 0 || isNew && !unanswered || unanswered && age >= resend || age >= every {
		out = append(out, l.ask(now, i, wants, lease))
		age = 0
		unanswered = true
	}
	if unanswered {
		wait = min(wait, resend-age)
	}
	if now.Before(s.committed) && s.delegated != s.home {
		wait = min(wait, s.committed.Sub(now))
	}
	return out, min(wait, every-age)
}

// choose returns the host that lends to this one: the first in the slot's order that
// was not silent, or this host when several were silent in turn.
func (l *Limiter) choose(now time.Time, s *slot) mesh.HostID {
	if s.silent >= maxSilentLenders {
		return l.self
	}
	maps.DeleteFunc(s.busy, func(_ mesh.HostID, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(s.distrusted, func(_ mesh.HostID, until time.Time) bool { return !now.Before(until) })
	for _, id := range s.ranked {
		if id == l.self && !l.slow || id != l.self && s.distrusted[id].IsZero() && s.busy[id].IsZero() {
			return id
		}
	}
	return l.self
}

// leave changes the lender, and tells the former one that it no longer lends this
// host's part.
func (l *Limiter) leave(now time.Time, i int, to mesh.HostID) []Message {
	s := &l.slots[i]
	var out []Message
	if s.delegated != "" && s.delegated != l.self && now.Before(s.committed) {
		l.seq++
		s.releasing = l.seq
		out = append(out, Message{Kind: kindRelease, From: l.self, To: s.delegated, Slot: i, Seq: l.seq})
	}
	l.move(now, i, to)
	return out
}

// move changes the lender. The former one may lend this host's part until the
// delegation has run out.
func (l *Limiter) move(now time.Time, i int, to mesh.HostID) {
	s := &l.slots[i]
	if to == s.home {
		s.firstUnanswered = time.Time{}
		return
	}
	if s.home != "" {
		l.counters.Moves++
	}
	s.home, s.firstUnanswered, s.sent = to, time.Time{}, time.Time{}
	s.start, s.stamp, s.stamped, s.roundTrip = 0, 0, time.Time{}, 0
	l.due = true
}

// holdOwn lets this host's own lender lend its part, as soon as no other may: when it is
// the slot's lender, and when it is slow to reach others. A slow host borrows from the
// slot's lender only what its own part does not cover.
func (l *Limiter) holdOwn(now time.Time, i int) {
	s := &l.slots[i]
	switch own := s.home == l.self || l.slow; {
	case own && s.delegated != l.self && !now.Before(s.committed):
		s.delegated, s.committed = l.self, now
		l.lender.join(now, &l.lender.slots[i], l.self, now.Add(ownDelegation), 0)
	case !own && s.delegated == l.self:
		s.delegated, s.committed = "", now
		l.lender.release(now, &l.lender.slots[i], l.self)
	}
}

// probes returns messages to hosts that come before the present lender: to one of them,
// or to all while this host lends to itself.
func (l *Limiter) probes(now time.Time, i int) []Message {
	s := &l.slots[i]
	better := slices.Index(s.ranked, s.home)
	if better < 0 {
		better = len(s.ranked)
	}
	if better == 0 || now.Sub(s.probed) < probeTime {
		return nil
	}
	s.probed = now
	n := 1
	if s.home == l.self {
		n = better
	}
	var out []Message
	for range n {
		to := s.ranked[s.probe%better]
		s.probe++
		if now.Before(s.busy[to]) || to == l.self {
			continue
		}
		l.seq++
		s.remember(pending{seq: l.seq, to: to, sent: now})
		out = append(out, Message{Kind: kindAsk, From: l.self, To: to, Slot: i, Seq: l.seq})
	}
	return out
}

// resendTime returns the time after which an ask counts as lost. Tokens are lent again
// for a repeated ask.
func (s *slot) resendTime() time.Duration { return max(resendTime, 2*s.roundTrip) }

func (s *slot) remember(p pending) {
	if len(s.pending) >= maxPending {
		s.pending = slices.Delete(s.pending, 0, 1)
	}
	s.pending = append(s.pending, p)
}

// ask returns an ask to the slot's lender. It delegates this host's part when no other
// lender holds it and this one has answered before.
func (l *Limiter) ask(now time.Time, i int, wants []Item, lease time.Duration) Message {
	s := &l.slots[i]
	l.seq++
	m := Message{Kind: kindAsk, From: l.self, To: s.home, Slot: i, Seq: l.seq, Items: wants}
	if !l.slow && s.stamp != 0 && l.lender.sharing > 0 && (s.delegated == s.home || !now.Before(s.committed)) {
		m.Start, m.Stamp, m.LeaseMS, m.Sharing = s.start, s.stamp, int(lease.Milliseconds()), l.lender.sharing
		s.delegated = s.home
		if until := s.stamped.Add(lease); until.After(s.committed) {
			s.committed = until
		}
	}
	s.sent = now
	s.remember(pending{seq: l.seq, to: s.home, sent: now})
	if s.firstUnanswered.IsZero() {
		s.firstUnanswered = now
	}
	for _, w := range wants {
		l.counters.Asked += int64(w.Tokens)
		t := l.teams[w.Team]
		t.asking += w.Tokens
		t.askingTo = now.Add(s.resendTime())
	}
	return m
}

// Handle handles a message of another host and returns the answers.
func (l *Limiter) Handle(now time.Time, m *Message) []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.To != l.self || len(l.lender.limits) == 0 {
		return nil
	}
	if m.Kind != kindGrant {
		answer := l.lender.answer(now, m)
		answer.Busy = l.slow
		return []Message{answer}
	}
	return l.handleGrant(now, m)
}

func (l *Limiter) handleGrant(now time.Time, m *Message) []Message {
	s := &l.slots[m.Slot]
	if m.Released {
		if s.releasing == m.Seq && s.delegated == m.From {
			s.releasing, s.delegated, s.committed = 0, "", now
			l.due = true
		}
		return nil
	}
	index := slices.IndexFunc(s.pending, func(p pending) bool { return p.seq == m.Seq && p.to == m.From })
	if index < 0 {
		return nil
	}
	asked := s.pending[index].sent
	s.pending = slices.Delete(s.pending, index, index+1)
	delete(s.distrusted, m.From)
	s.silent = 0
	lent := asked
	if m.From == s.home {
		s.firstUnanswered = time.Time{}
		s.roundTrip += (now.Sub(asked) - s.roundTrip) / 4
		lent = s.lentAt(now, asked, m)
		if m.Stamp > s.stamp || m.Start != s.start {
			s.start, s.stamp, s.stamped = m.Start, m.Stamp, now
		}
		l.due = l.due || s.delegated != s.home && !l.slow
	}
	out := l.weigh(now, m)
	for _, g := range m.Items {
		t := l.teams[g.Team]
		if t == nil {
			continue
		}
		if t.asking -= g.Tokens; g.NextMS > 0 || t.asking < 0 {
			t.asking = 0
		}
		t.receive(now, lent, g.Tokens, time.Duration(g.NextMS)*time.Millisecond)
		l.counters.Granted += int64(g.Tokens)
		if t.waiting > 0 {
			t.wakeAll()
			l.due = true
		}
	}
	return out
}

// weigh changes the lender after an answer: to a host that comes before it, or from a
// host that says that it is slow.
func (l *Limiter) weigh(now time.Time, m *Message) []Message {
	s := &l.slots[m.Slot]
	if m.Busy {
		if s.busy == nil {
			s.busy = make(map[mesh.HostID]time.Time)
		}
		s.busy[m.From] = now.Add(busyTime)
		if to := l.choose(now, s); m.From == s.home && (to != l.self || slices.Contains(s.ranked, to) && !l.slow) {
			return l.leave(now, m.Slot, to)
		}
		return nil
	}
	delete(s.busy, m.From)
	if m.From != s.home && l.prefers(s, m.From) {
		return l.leave(now, m.Slot, m.From)
	}
	return nil
}

// lentAt returns a time that is not after the one at which the lender sent a grant. The
// lender's clock started no earlier than any ask was sent, less the time that the clock
// showed in the answer. Of a quick exchange this is exact, and tells how much of the
// time of a slow one the grant itself took.
func (s *slot) lentAt(now, asked time.Time, m *Message) time.Time {
	stamp := time.Duration(m.Stamp) * time.Millisecond
	if origin := asked.Add(-stamp); m.Start != s.start || s.origin.Before(origin) || now.Sub(s.originSeen) > originTime {
		s.origin, s.originSeen = origin, now
	}
	lent := s.origin.Add(stamp - time.Millisecond)
	switch {
	case lent.Before(asked):
		return asked
	case lent.After(now):
		return now
	}
	return lent
}

// updateSlow decides whether this host is slow to reach others: most of its lenders are
// slow to answer, since its link or processor is busy. Others take another lender then.
func (l *Limiter) updateSlow(now time.Time) {
	remote, slow := 0, 0
	for i := range l.slots {
		s := &l.slots[i]
		if !l.used[i] || s.home == l.self || s.home == "" {
			continue
		}
		d := s.roundTrip
		if !s.firstUnanswered.IsZero() {
			d = max(d, now.Sub(s.firstUnanswered))
		}
		remote++
		if d > slowTime || l.slow && d > slowTime/2 {
			slow++
		}
	}
	l.slow = remote >= minMeasured && 2*slow > remote
}

// prefers reports whether a host comes before the present lender.
func (l *Limiter) prefers(s *slot, id mesh.HostID) bool {
	index, home := slices.Index(s.ranked, id), slices.Index(s.ranked, s.home)
	return index >= 0 && (home < 0 || index < home)
}
