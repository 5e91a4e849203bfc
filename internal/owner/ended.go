package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/exchange"
	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

const (
	// abandonedTime is how long a target can still end under a call that was given up.
	abandonedTime = time.Second
	// restartTime is the longest time from a broken connection to the first heartbeat
	// of a new start that explains it.
	restartTime = 5 * time.Second
	// maxProven bounds the requests of each of two generations that are remembered as
	// completed, and maxProvenBody the body of such a request.
	maxProven     = 1024
	maxProvenBody = 64 << 10
)

// sentCall is a call that a target may be running.
type sentCall struct {
	sentAt  time.Time
	request *hop.Request // while the call is in progress
	// key and until are set when the call was given up: the target can end under it
	// until then.
	key   suspect.Key
	until time.Time
}

// keyOf returns the key that a call shares with all calls of the same request.
func keyOf(r *hop.Request) suspect.Key {
	q := suspect.Request{Method: r.Method, Host: r.Host, URI: r.URI, Caller: string(r.Caller), Body: r.Body}
	return q.Key()
}

// sentCalls are the calls that a target may be running, and whether it has ended.
type sentCalls struct {
	mu      sync.Mutex
	calls   map[*sentCall]bool
	ended   suspect.EndID // 0 while the target runs
	endedAt time.Time
	// proven are the requests that have completed, those of the earlier generation too.
	proven, provenBefore map[suspect.Key]bool

	check sync.Mutex // held while the target's address is tried
}

// begin records a call that is about to be sent.
func (s *sentCalls) begin(r *hop.Request) *sentCall {
	c := &sentCall{request: r, sentAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = make(map[*sentCall]bool)
	}
	s.calls[c] = true
	return c
}

// end forgets a call, after the given time if that is not zero.
func (s *sentCalls) end(c *sentCall, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == 0 {
		delete(s.calls, c)
		return
	}
	c.key, c.request, c.until = keyOf(c.request), nil, time.Now().Add(after)
	for other := range s.calls {
		if !other.until.IsZero() && time.Now().After(other.until) {
			delete(s.calls, other)
		}
	}
}

// addProven remembers that a request has completed.
func (s *sentCalls) addProven(key suspect.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proven == nil || len(s.proven) >= maxProven {
		s.provenBefore, s.proven = s.proven, make(map[suspect.Key]bool)
	}
	s.proven[key] = true
}

// close marks the target as ended and returns the requests that it ran. It reports
// false when the target was marked before.
func (s *sentCalls) close() ([]suspect.Observation, suspect.EndID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != 0 {
		return nil, s.ended, false
	}
	now := time.Now()
	s.ended, s.endedAt = suspect.EndID(rand.Uint64()|1), now
	seen := make(map[suspect.Key]bool, len(s.calls))
	var running []suspect.Observation
	for c := range s.calls {
		key := c.key
		if c.request != nil {
			key = keyOf(c.request)
		} else if now.After(c.until) {
			continue
		}
		if seen[key] {
			continue
		}
		seen[key] = true
		running = append(running, suspect.Observation{Key: key, Proven: s.proven[key] || s.provenBefore[key]})
	}
	return running, s.ended, true
}

// endOf returns the end of the target if the call was sent before it, or 0.
func (s *sentCalls) endOf(c *sentCall) suspect.EndID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endedAt.Before(c.sentAt) {
		return 0
	}
	return s.ended
}

// endCall records what the outcome of a call says about its request and about the
// target. It returns the end of the target if it ended while it ran the call.
func (o *Owner) endCall(ctx context.Context, t *target, r *hop.Request, c *sentCall, res *exchange.Result) suspect.EndID {
	switch {
	case res.Kind == exchange.Answered:
		if known := o.cfg.Suspects.Len() > 0; known || len(r.Body) <= maxProvenBody {
			key := keyOf(r)
			t.sent.addProven(key)
			if known && o.cfg.Suspects.RecordCompletion(key) {
				o.count("suspects.cleared")
				o.cfg.Log.Info().Str("request", key.String()).Str("target", string(t.ID)).Msg("request has completed and is cleared")
			}
		}
	case res.Kind == exchange.NotRun:
	case res.Reason == exchange.ConnectionBroken:
		if o.hasEnded(ctx, t) {
			end := t.sent.endOf(c)
			t.sent.end(c, 0)
			return end
		}
		t.sent.end(c, restartTime)
		return 0
	case res.Reason == exchange.Cancelled || res.Reason == exchange.DeadlineExceeded:
		t.sent.end(c, abandonedTime)
		return 0
	}
	t.sent.end(c, 0)
	return 0
}

// hasEnded reports whether the target's process has ended: nothing listens at its
// address any more. The calls that break together share one check.
func (o *Owner) hasEnded(ctx context.Context, t *target) bool {
	t.sent.check.Lock()
	defer t.sent.check.Unlock()
	t.sent.mu.Lock()
	ended := t.sent.ended != 0
	t.sent.mu.Unlock()
	if ended {
		return true
	}
	if t.client.Listening(context.WithoutCancel(ctx)) {
		return false
	}
	o.recordEnd(t)
	return true
}

// recordEnd records that a target has ended under the calls that it ran.
func (o *Owner) recordEnd(t *target) {
	running, end, first := t.sent.close()
	if !first || len(running) == 0 {
		return
	}
	o.count("targets.ended")
	o.cfg.Log.Warn().Str("target", string(t.ID)).Str("service", string(t.Service)).Int("requests", len(running)).
		Dur("age", time.Since(time.UnixMilli(t.Started))).Msg("target ended")
	for key, ends := range o.cfg.Suspects.RecordEnd(end, running) {
		if ends < suspect.MaxEnds {
			continue
		}
		o.count("suspects.guilty")
		o.cfg.Log.Warn().Str("request", key.String()).Int("ends", ends).Msg("request ends targets; it is rejected")
	}
}

// recordUnseenEnd records the end of a target whose next start has shown it: it was back
// before a check of its address, or its connections have gone silent. The end of a
// target that was leaving says nothing.
func (o *Owner) recordUnseenEnd(t *target) {
	if t.drainStart.IsZero() {
		o.recordEnd(t)
	}
}

// The reasons for refusing a request under which targets have ended.
const (
	reasonSuspect     = "suspect"      // it is held or rejected
	reasonSuspectBusy = "suspect_busy" // others are tried at the target
)

// trialRetryAfter is sent when other suspects are tried at a target.
const trialRetryAfter = 250 * time.Millisecond

// admitSuspect decides whether a call may be sent, as far as targets have ended under
// its request. A trial waits until no other one runs at the target. It returns the
// function that ends the trial, or a refusal.
func (o *Owner) admitSuspect(ctx context.Context, t *target, r *hop.Request) (endTrial func(), refusal *hop.Response) {
	if o.cfg.Suspects.Len() == 0 {
		return nil, nil
	}
	key := keyOf(r)
	d := o.cfg.Suspects.Decide(key)
	if d.Verdict == suspect.Trial {
		if !t.trials.begin(ctx, hop.TimeAt(r.SoftDeadlineAt)) {
			return nil, o.refuseSuspect(r, key, reasonSuspectBusy, suspect.Decision{RetryAfter: trialRetryAfter, Ends: d.Ends})
		}
		if d = o.cfg.Suspects.Decide(key); d.Verdict != suspect.Rejected {
			return t.trials.end, nil
		}
		t.trials.end()
	}
	if d.Verdict == suspect.Rejected {
		return nil, o.refuseSuspect(r, key, reasonSuspect, d)
	}
	return nil, nil
}

func (o *Owner) refuseSuspect(r *hop.Request, key suspect.Key, reason string, d suspect.Decision) *hop.Response {
	o.count("refused." + reason)
	o.cfg.Log.Info().Str("id", r.ID).Str("request", key.String()).Str("target", string(r.Target)).Str("reason", reason).
		Int("ends", d.Ends).Dur("retry_after", d.RetryAfter).Msg("suspect not sent")
	return &hop.Response{Outcome: hop.NotRun, Reason: reason, RetryAfterMs: d.RetryAfter.Milliseconds()}
}

// mayStillSend reports whether a call that was admitted may be sent: no target has
// ended under its request meanwhile. A trial is not sent a second time.
func (o *Owner) mayStillSend(r *hop.Request, isTrial bool, sends int) bool {
	if o.cfg.Suspects.Len() == 0 {
		return true
	}
	switch o.cfg.Suspects.Decide(keyOf(r)).Verdict {
	case suspect.Rejected:
		return false
	case suspect.Trial:
		return isTrial && sends == 0
	}
	return true
}

// trialSlot admits one trial at a time. Its zero value is ready for use.
type trialSlot struct {
	mu      sync.Mutex
	slot    chan struct{}
	waiting int
}

// maxWaitingTrials bounds the trials that wait at a target.
const maxWaitingTrials = 4

// begin waits until no other trial runs, at most until the given time.
func (s *trialSlot) begin(ctx context.Context, until time.Time) bool {
	s.mu.Lock()
	if s.slot == nil {
		s.slot = make(chan struct{}, 1)
	}
	if s.waiting >= maxWaitingTrials {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	timer := time.NewTimer(max(0, time.Until(until)))
	defer timer.Stop()
	select {
	case s.slot <- struct{}{}:
		return true
	default:
	}
	select {
	case s.slot <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

func (s *trialSlot) end() { <-s.slot }
