package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/view"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/quota"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

const (
	// maxTokenWait bounds how long a call waits for tokens of its team. A round trip to
	// the lender takes a few milliseconds, and some hundred where large bodies fill the
	// link; a lost ask is repeated within this time.
	maxTokenWait = 400 * time.Millisecond
	// quotaSendTimeout bounds the time for a message, which is of no use later: the
	// tokens that it asks for or brings run out.
	quotaSendTimeout = quota.LoanTime
	// maxQuotaSends bounds the messages that wait for a connection.
	maxQuotaSends = 64
	// limitLogInterval is the time between two log lines about teams over their limits.
	limitLogInterval = time.Second
)

// TeamLimits applies the limits of teams to the calls that begin on this host, and
// lends tokens to other hosts. See package quota.
type TeamLimits struct {
	agent   *Agent
	limiter *quota.Limiter
	wakeup  chan struct{}
	sends   chan struct{}  // holds an element for each message that is being sent
	counted quota.Counters // as the metrics show; accessed only from run's goroutine

	mu       sync.Mutex // guards the fields below
	config   *traffic.Config
	live     []mesh.HostID
	sharing  int
	loggedAt time.Time
	unlogged int // refusals since loggedAt
}

func newTeamLimits(a *Agent) *TeamLimits {
	return &TeamLimits{
		agent: a, wakeup: make(chan struct{}, 1), sends: make(chan struct{}, maxQuotaSends),
		limiter: quota.New(a.cfg.Self.ID, time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// update takes over the limits and the hosts of a snapshot.
func (l *TeamLimits) update(s *view.Snapshot, hosts []membership.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if s.Config != l.config {
		limits := make(map[mesh.TeamName]quota.Limit)
		for i := range s.Config.Teams {
			if t := &s.Config.Teams[i]; t.Rate > 0 {
				limits[t.Name] = quota.Limit{Rate: t.Rate, Burst: t.Burst}
			}
		}
		l.config = s.Config
		l.limiter.SetLimits(now, limits)
		wake(l.wakeup)
	}
	live := make([]mesh.HostID, 0, len(hosts))
	for i := range hosts {
		if hosts[i].Status == membership.StatusAlive {
			live = append(live, hosts[i].ID)
		}
	}
	slices.Sort(live)
	l.setHosts(now, live)
}

// setHosts takes over the hosts that are alive and the number of those that share. l.mu
// must be held.
func (l *TeamLimits) setHosts(now time.Time, live []mesh.HostID) {
	sharing, learned := l.agent.SharingHosts()
	if !learned {
		sharing = 0
	}
	if sharing == l.sharing && slices.Equal(live, l.live) {
		return
	}
	l.live, l.sharing = live, sharing
	l.limiter.SetHosts(now, live, sharing)
	wake(l.wakeup)
}

// refresh takes over that the number of sharing hosts has been learned, which no
// snapshot need follow.
func (l *TeamLimits) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.config != nil {
		l.setHosts(time.Now(), l.live)
	}
}

// Take takes a token for a call of the team. It waits maxTokenWait at most. When it
// reports false, the call exceeds the limit, and may be within it after retryAfter.
func (l *TeamLimits) Take(ctx context.Context, team *traffic.Team) (token quota.Token, retryAfter time.Duration, ok bool) {
	r := l.limiter.Take(time.Now(), team.Name)
	if r.Wait != nil {
		r = l.await(ctx, team.Name, r)
	}
	if l.limiter.Due() {
		wake(l.wakeup)
	}
	if !r.OK {
		l.logRefusal(team, &r)
	}
	return r.Token, r.RetryAfter, r.OK
}

func (l *TeamLimits) await(ctx context.Context, team mesh.TeamName, r quota.Result) quota.Result {
	wake(l.wakeup)
	timer := time.NewTimer(maxTokenWait)
	defer timer.Stop()
	for r.Wait != nil {
		last := false
		select {
		case <-r.Wait:
		case <-timer.C:
			last = true
		case <-ctx.Done():
			last = true
		}
		r = l.limiter.Resume(time.Now(), team, last)
	}
	return r
}

// Return gives back the token of a call that no target has run or will run.
func (l *TeamLimits) Return(token quota.Token) { l.limiter.Return(time.Now(), token) }

func (l *TeamLimits) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.refresh()
		messages, next := l.limiter.Poll(time.Now())
		l.send(ctx, messages)
		l.recordCounters()
		if next == 0 {
			next = time.Hour // no team is limited; a configuration wakes the loop
		}
		timer.Reset(next)
		select {
		case <-ctx.Done():
			return
		case <-l.wakeup:
		case <-timer.C:
		}
	}
}

// send sends messages without waiting for connections.
func (l *TeamLimits) send(ctx context.Context, messages []quota.Message) {
	for i := range messages {
		h, ok := l.agent.members.Get(messages[i].To)
		if !ok {
			continue
		}
		b, err := messages[i].Encode()
		if err != nil {
			l.agent.cfg.Log.Error().Err(err).Msg("message about limits of teams cannot be encoded")
			continue
		}
		select {
		case l.sends <- struct{}{}:
		default:
			l.agent.count("team_limits.unsent")
			continue
		}
		go l.agent.cfg.Guard.Run("team_limits_send", func() {
			defer func() { <-l.sends }()
			ctx, cancel := context.WithTimeout(ctx, quotaSendTimeout)
			defer cancel()
			if err := l.agent.cfg.Send(ctx, h.CallAddress, b); err != nil {
				l.agent.count("team_limits.unsent")
			}
		})
	}
}

// handle handles an encoded message of another host.
func (l *TeamLimits) handle(b []byte) {
	m, err := quota.Decode(b)
	if err != nil {
		l.agent.count("notes.unreadable")
		return
	}
	l.send(context.Background(), l.limiter.Handle(time.Now(), m))
	if l.limiter.Due() {
		wake(l.wakeup)
	}
}

func (l *TeamLimits) recordCounters() {
	c, last := l.limiter.Counters(), l.counted
	l.counted = c
	for name, n := range map[string]int64{
		"taken": c.Taken - last.Taken, "refused": c.Refused - last.Refused, "asked": c.Asked - last.Asked,
		"granted": c.Granted - last.Granted, "expired": c.Expired - last.Expired, "returned": c.Returned - last.Returned,
		"lender_changes": c.Moves - last.Moves,
	} {
		if n > 0 {
			metrics.GetOrRegisterCounter("team_limits."+name, l.agent.cfg.Metrics).Inc(n)
		}
	}
}

// logRefusal logs why a call of a team was refused, at most once in limitLogInterval.
func (l *TeamLimits) logRefusal(team *traffic.Team, r *quota.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlogged++
	if time.Since(l.loggedAt) < limitLogInterval {
		return
	}
	l.agent.cfg.Log.Warn().Str("team", string(team.Name)).Float64("rate", team.Rate).Float64("burst", team.Burst).
		Float64("asked_here", r.Demand).Float64("granted_here", r.Granted).Dur("age", r.Known).Dur("retry_after", r.RetryAfter).
		Int("sharing", l.sharing).Int("refused", l.unlogged).Msg("team is over its limit")
	l.loggedAt, l.unlogged = time.Now(), 0
}
