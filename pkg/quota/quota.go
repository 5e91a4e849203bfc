// Package quota decides which calls of teams are within the limits that hold for all
// hosts together. Each host owns an equal part of every limit. It delegates its parts
// for a short time to one lender for each slot of teams, which all hosts choose alike,
// and borrows tokens there for the calls that begin on it. What a lender may lend is the
// sum of the parts that are delegated to it, so that lenders on two sides of a cut never
// lend more than the limit.
//
// A Limiter sends nothing itself: its messages are returned to the caller.
package quota

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const (
	// Slots is the number of slots over which teams are spread. The teams of a slot
	// have one lender.
	Slots = 8
	// LoanTime is how long a token may be spent after it was asked for. The calls of
	// any 5 s come from what was lent in 5 s and a LoanTime, so that a limit is exceeded
	// by 8% of its rate at most.
	LoanTime = 400 * time.Millisecond
	// askAhead is the time for which tokens are borrowed, and askAgain the time for
	// which a host still has tokens when it asks for more.
	askAhead = 300 * time.Millisecond
	askAgain = 100 * time.Millisecond
	// minAhead is the fewest tokens that are borrowed ahead. One or two calls in
	// demandTime say little about the next, and a token that runs out is lost.
	minAhead = 2
	// demandTime is the time over which the calls of a team are averaged.
	demandTime = 500 * time.Millisecond
	// renewTime is how often a host renews its delegation. In a large mesh it is longer:
	// a lender gets at most renewalsPerSecond of them.
	renewTime         = 500 * time.Millisecond
	renewalsPerSecond = 200
	// leasePeriods is how many renewTimes a delegation lasts: one renewal may be lost.
	leasePeriods = 2.4
	maxLease     = 30 * time.Second
	// resendTime, or two round trips, is how long a host waits for an answer before it
	// asks again, and silenceTime, or three round trips up to maxSilence, before it takes
	// another lender.
	resendTime  = 80 * time.Millisecond
	silenceTime = 500 * time.Millisecond
	maxSilence  = 2 * time.Second
	// distrustTime is how long a lender that was silent is passed over, unless it
	// answers a probe.
	distrustTime = 2 * time.Second
	// maxSilentLenders is how many lenders in turn may be silent before a host lends
	// to itself, from its own part alone.
	maxSilentLenders = 2
	// probeTime is how often a host asks a lender that it prefers whether it answers.
	probeTime = 500 * time.Millisecond
	// slowTime is the round trip from which a lender counts as slow to answer. Calls wait
	// for it. A host to which most of at least minMeasured lenders are slow is slow itself,
	// and is passed over as a lender for busyTime.
	slowTime    = 60 * time.Millisecond
	minMeasured = 3
	busyTime    = 5 * time.Second
	// originTime is how long the reading of a lender's clock is used. Clocks differ by
	// less than 1 ms in this time.
	originTime = 10 * time.Second
	// maxRetryAfter bounds the time after which a caller is told to come back.
	maxRetryAfter = 3 * time.Second
	// idleTime is how long a host remembers a team without calls.
	idleTime = 10 * time.Second
	// candidates is how many hosts each slot ranks as lenders.
	candidates = 8
	maxPending = 32 // unanswered asks of a slot that are remembered
	maxSharing = 1 << 17
)

// Limit is the limit of a team at all hosts together.
type Limit struct {
	Rate  float64 // calls a second; 0 means no limit
	Burst float64 // calls
}

// Token is the permission for one call. The zero value is that of a team without a
// limit.
type Token struct {
	team    mesh.TeamName
	expires time.Time
}

// Result is the answer to a call.
type Result struct {
	OK    bool
	Token Token
	// Wait is closed when tokens have come; Resume must be called then, or when the
	// call waits no longer. It is nil for a call that is refused or taken.
	Wait <-chan struct{}
	// RetryAfter is when the call may be within the limit, and Known how long ago the
	// lender said that there are no tokens; negative when it never did.
	RetryAfter, Known time.Duration
	Demand, Granted   float64 // of the team on this host, in calls a second
}

// Counters counts what has happened since the start.
type Counters struct {
	Taken, Refused, Asked, Granted, Expired, Returned int64
	Moves                                             int64 // changes of a lender
}

// loan is a number of tokens with the same time.
type loan struct {
	asked, expires time.Time
	tokens         int
}

// team is the state of a team that has calls on this host.
type team struct {
	slot       int
	loans      []loan
	demand     float64 // decaying count of calls over demandTime
	granted    float64 // decaying count of tokens over demandTime
	updated    time.Time
	waiting    int
	asking     int       // tokens that were asked for and have not come
	askingTo   time.Time // when the ask counts as lost
	wake       chan struct{}
	emptyUntil time.Time // the lender has no tokens before
	emptySaid  time.Time
	nextReturn time.Time // the last refused caller is told to return then
}

// pending is an ask that has not been answered.
type pending struct {
	seq  uint64
	to   mesh.HostID
	sent time.Time
}

// slot is what a host knows of the lender of a slot.
type slot struct {
	ranked []mesh.HostID // live hosts, the preferred lender first
	home   mesh.HostID
	// firstUnanswered is when the first of the asks that home has not answered was sent.
	firstUnanswered time.Time
	sent, probed    time.Time
	probe           int // index in ranked of the next probe
	silent          int // lenders in turn that were silent
	pending         []pending
	distrusted      map[mesh.HostID]time.Time
	busy            map[mesh.HostID]time.Time // hosts that said that they are slow
	roundTrip       time.Duration             // to home, averaged
	origin          time.Time                 // of home's clock, or earlier; read at originSeen
	originSeen      time.Time
	start, stamp    uint64 // of home's last grant, which came at stamped
	stamped         time.Time
	// delegated is the host that may lend this host's part until committed.
	delegated mesh.HostID
	committed time.Time
	releasing uint64 // sequence number of the release that is not confirmed
}

// Limiter decides for one host. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	self     mesh.HostID
	rng      *rand.Rand
	seq      uint64
	lender   lender
	teams    map[mesh.TeamName]*team
	slots    [Slots]slot
	used     [Slots]bool // slots with a team that has a limit
	slow     bool        // see updateSlow
	due      bool        // Take has found a reason to ask
	counters Counters
}

// New returns the limiter of a host without limits. The generator must be seeded
// differently in each process.
func New(self mesh.HostID, now time.Time, rng *rand.Rand) *Limiter {
	return &Limiter{
		self: self, rng: rng, seq: rng.Uint64() >> 16, lender: lender{start: rng.Uint64() | 1, began: now}, teams: make(map[mesh.TeamName]*team),
	}
}

func slotOf(name mesh.TeamName) int { return int(xxhash.Sum64String(string(name)) % Slots) }

// SetLimits replaces the limits. Teams without a rate are not limited.
func (l *Limiter) SetLimits(now time.Time, limits map[mesh.TeamName]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lender.setLimits(now, limits)
	l.used, l.due = [Slots]bool{}, true
	for name, limit := range limits {
		if limit.Rate > 0 {
			l.used[slotOf(name)] = true
		}
	}
	for name, t := range l.teams {
		if limits[name].Rate <= 0 {
			t.wakeAll()
			delete(l.teams, name)
		}
	}
}

// SetHosts sets the hosts that may lend, which are those that are alive and include
// this one, and how many share the limits. 0 means that this host does not know it yet;
// it then lends nothing.
func (l *Limiter) SetHosts(now time.Time, live []mesh.HostID, sharing int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.lender.slots {
		l.lender.advance(now, &l.lender.slots[i])
		l.lender.slots[i].stale = true
	}
	l.lender.sharing = sharing
	for i := range l.slots {
		l.slots[i].ranked = rank(i, live)
	}
	l.due = true
}

// rank returns the hosts that are highest for a slot in rendezvous hashing.
func rank(slot int, live []mesh.HostID) []mesh.HostID {
	type ranked struct {
		id   mesh.HostID
		hash uint64
	}
	all := make([]ranked, 0, len(live))
	for _, id := range live {
		var d xxhash.Digest
		d.ResetWithSeed(uint64(slot) + 1)
		_, _ = d.WriteString(string(id)) // never fails
		all = append(all, ranked{id, d.Sum64()})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id)) })
	out := make([]mesh.HostID, min(len(all), candidates))
	for i := range out {
		out[i] = all[i].id
	}
	return out
}

// Take takes a token for a call of a team, or says when there will be one.
func (l *Limiter) Take(now time.Time, name mesh.TeamName) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lender.limits[name].Rate <= 0 {
		return Result{OK: true}
	}
	t := l.teams[name]
	if t == nil {
		t = &team{slot: slotOf(name), updated: now, wake: make(chan struct{})}
		l.teams[name] = t
	}
	t.decay(now)
	t.demand++
	if r := l.spend(now, name, t); r.OK {
		return r
	}
	if now.Before(t.emptyUntil) {
		return l.refuse(now, name, t)
	}
	t.waiting++
	l.due = true
	return Result{Wait: t.wake}
}

// Resume continues a call that has waited. With last it does not wait again.
func (l *Limiter) Resume(now time.Time, name mesh.TeamName, last bool) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[name]
	if t == nil || l.lender.limits[name].Rate <= 0 {
		return Result{OK: true}
	}
	t.decay(now)
	r := l.spend(now, name, t)
	if !r.OK && !last && !now.Before(t.emptyUntil) {
		l.due = true
		return Result{Wait: t.wake}
	}
	t.waiting = max(0, t.waiting-1)
	if !r.OK {
		return l.refuse(now, name, t)
	}
	return r
}

// spend takes a token that the host holds or can lend itself.
func (l *Limiter) spend(now time.Time, name mesh.TeamName, t *team) Result {
	l.dropExpired(now, t)
	if s := &l.slots[t.slot]; len(t.loans) == 0 && (s.home == l.self || s.delegated == l.self) && !now.Before(t.emptyUntil) {
		l.lendSelf(now, name, t)
	}
	if len(t.loans) == 0 {
		return Result{}
	}
	first := &t.loans[0]
	first.tokens--
	token := Token{team: name, expires: first.expires}
	if first.tokens == 0 {
		t.loans = slices.Delete(t.loans, 0, 1)
	}
	l.counters.Taken++
	if t.needs(now, l.lender.limits[name].Rate) > 0 {
		l.due = true
	}
	return Result{OK: true, Token: token}
}

// lendSelf borrows from this host's own lender.
func (l *Limiter) lendSelf(now time.Time, name mesh.TeamName, t *team) {
	want := max(1, t.needs(now, l.lender.limits[name].Rate))
	n, next := l.lender.lend(now, &l.lender.slots[t.slot], name, want)
	l.counters.Asked += int64(want)
	if l.slots[t.slot].home != l.self {
		next = 0 // the slot's lender may have more
	}
	t.receive(now, now, n, next)
	l.counters.Granted += int64(n)
}

// Return gives a token back whose call no target has run or will run. It keeps its
// time, so that it cannot add to what is lent later.
func (l *Limiter) Return(now time.Time, token Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[token.team]
	if t == nil {
		return
	}
	t.decay(now)
	t.demand = max(0, t.demand-1)
	if lapsed(now, token.expires) {
		return
	}
	l.counters.Returned++
	index := slices.IndexFunc(t.loans, func(o loan) bool { return !o.expires.Before(token.expires) })
	switch {
	case index >= 0 && t.loans[index].expires.Equal(token.expires):
		t.loans[index].tokens++
	default:
		if index < 0 {
			index = len(t.loans)
		}
		t.loans = slices.Insert(t.loans, index, loan{asked: token.expires.Add(-LoanTime), expires: token.expires, tokens: 1})
	}
	t.wakeAll()
}

// refuse computes when a caller may come back. Callers are told times that follow each
// other as the tokens do, so that they do not come back all at once.
func (l *Limiter) refuse(now time.Time, name mesh.TeamName, t *team) Result {
	l.counters.Refused++
	granted := t.granted / demandTime.Seconds()
	rate := max(granted, l.lender.limits[name].Rate/float64(max(1, l.lender.sharing)))
	earliest := now.Add(minNextToken)
	if t.emptyUntil.After(earliest) {
		earliest = t.emptyUntil
	}
	if t.nextReturn.Before(earliest) {
		t.nextReturn = earliest
	}
	t.nextReturn = t.nextReturn.Add(time.Duration(float64(time.Second) / rate))
	after := t.nextReturn.Sub(now)
	if after > maxRetryAfter {
		t.nextReturn = now.Add(maxRetryAfter)
		after = maxRetryAfter/2 + time.Duration(l.rng.Int64N(int64(maxRetryAfter/2)))
	}
	r := Result{RetryAfter: after, Known: -1, Demand: t.demand / demandTime.Seconds(), Granted: granted}
	if !t.emptySaid.IsZero() {
		r.Known = now.Sub(t.emptySaid)
	}
	return r
}

// decay brings the averages of a team up to now.
func (t *team) decay(now time.Time) {
	if d := now.Sub(t.updated); d > 0 {
		f := math.Exp(-float64(d) / float64(demandTime))
		t.demand, t.granted, t.updated = t.demand*f, t.granted*f, now
	}
}

// needs returns the tokens that a team lacks for the calls that wait and those of the
// next askAhead, or 0 while the host holds enough. A team with few calls borrows for
// each of them: tokens that it holds would mostly run out. rate is the team's limit.
func (t *team) needs(now time.Time, rate float64) int {
	held := 0
	for _, o := range t.loans {
		if o.expires.Sub(now) > askAgain {
			held += o.tokens
		}
	}
	perSecond := t.demand / demandTime.Seconds()
	if t.waiting == 0 && float64(held) >= perSecond*askAgain.Seconds() {
		return 0
	}
	ahead := int(min(perSecond, rate) * askAhead.Seconds())
	if ahead < minAhead {
		ahead = 0
	}
	return min(max(0, t.waiting+ahead-held), maxTokens)
}

// receive adds tokens that were asked for at a time.
func (t *team) receive(now, asked time.Time, n int, next time.Duration) {
	if next > 0 {
		t.emptyUntil, t.emptySaid = now.Add(next), now
	}
	expires := asked.Add(LoanTime)
	if n <= 0 || lapsed(now, expires) {
		return
	}
	t.decay(now)
	t.granted += float64(n)
	index := len(t.loans)
	for index > 0 && t.loans[index-1].expires.After(expires) {
		index--
	}
	t.loans = slices.Insert(t.loans, index, loan{asked: asked, expires: expires, tokens: n})
}

func (t *team) wakeAll() {
	close(t.wake)
	t.wake = make(chan struct{})
}

// dropExpired drops tokens whose time is over. A clock that was set back to before they
// were asked for says nothing about their age.
func (l *Limiter) dropExpired(now time.Time, t *team) {
	t.loans = slices.DeleteFunc(t.loans, func(o loan) bool {
		if !lapsed(now, o.expires) && !now.Round(0).Before(o.asked.Round(0)) {
			return false
		}
		l.counters.Expired += int64(o.tokens)
		return true
	})
}

// Counters returns what has happened since the start.
func (l *Limiter) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}
