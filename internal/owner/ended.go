package owner

import (
	"context"
	"net/http"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/exchange"
	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

const (
	// abandonedTime is how long a target can still end under a call that was given up.
	abandonedTime = time.Second
	// restartTime is the longest time from a broken connection to the first heartbeat
	// of a new start that explains it.
	restartTime = 5 * time.Second
	// maxProvenBody bounds the body of a request that is remembered as completed.
	maxProvenBody = 64 << 10
)

// keyOf returns the key that a call shares with all calls of the same request.
func keyOf(r *hop.Request) suspect.Key {
	q := suspect.Request{Method: r.Method, Host: r.Host, URI: r.URI, Caller: string(r.Caller), Body: r.Body}
	return q.Key()
}

// endCall records what the outcome of a call says about its request and about the
// target. It returns the end of the target if it ended while it ran the call.
func (o *Owner) endCall(ctx context.Context, t *target, c *suspect.Call, key func() suspect.Key, bodyBytes int, res *exchange.Result) suspect.EndID {
	switch {
	case res.Kind == exchange.Answered && res.Status == http.StatusGatewayTimeout:
		// The deadline has passed; the target can still end under the request.
		t.running.GiveUp(c, abandonedTime)
		return 0
	case res.Kind == exchange.Answered && res.Status >= http.StatusInternalServerError:
		// No completion: without the failure the request could have ended the target.
	case res.Kind == exchange.Answered:
		if known := o.cfg.Suspects.Len() > 0; known || bodyBytes <= maxProvenBody {
			t.running.AddProven(key())
			if known && o.cfg.Suspects.RecordCompletion(key()) {
				o.count("suspects.cleared")
				o.cfg.Log.Info().Str("request", key().String()).Str("target", string(t.id)).Msg("request has completed and is cleared")
			}
		}
	case res.Kind == exchange.NotRun:
	case res.Reason == exchange.ConnectionBroken:
		if o.hasEnded(ctx, t) {
			t.limiter.DoubtWarmth(admission.ColdUnreachable)
			end := t.running.EndOf(c)
			t.running.Remove(c)
			return end
		}
		t.running.GiveUp(c, restartTime)
		return 0
	case res.Reason == exchange.Cancelled || res.Reason == exchange.DeadlineExceeded:
		t.running.GiveUp(c, abandonedTime)
		return 0
	}
	t.running.Remove(c)
	return 0
}

// hasEnded reports whether the target's process has ended: nothing listens at its
// address any more.
func (o *Owner) hasEnded(ctx context.Context, t *target) bool {
	listening := func() bool { return t.client.Listening(context.WithoutCancel(ctx)) }
	return t.running.CheckEnded(listening, func() { o.recordEnd(t, o.serviceOf(t)) })
}

// serviceOf returns the service that a target has reported; o.mu must not be held.
func (o *Owner) serviceOf(t *target) mesh.ServiceName {
	o.mu.Lock()
	defer o.mu.Unlock()
	return t.reported.Service
}

// recordEnd records that a target of a service has ended under the calls that it ran.
func (o *Owner) recordEnd(t *target, service mesh.ServiceName) {
	running, end, first := t.running.Close()
	if !first || len(running) == 0 {
		return
	}
	o.count("targets.ended")
	o.cfg.Log.Warn().Str("target", string(t.id)).Str("service", string(service)).Int("requests", len(running)).
		Dur("age", time.Since(time.UnixMilli(t.started))).Msg("target ended")
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
// target that was leaving says nothing. o.mu must be held.
func (o *Owner) recordUnseenEnd(t *target) {
	if t.drainStart.IsZero() {
		o.recordEnd(t, t.reported.Service)
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
func (o *Owner) admitSuspect(ctx context.Context, t *target, r *hop.Request, key func() suspect.Key) (endTrial func(), refusal *hop.Response) {
	if o.cfg.Suspects.Len() == 0 {
		return nil, nil
	}
	d := o.cfg.Suspects.Decide(key())
	if d.Verdict == suspect.Trial {
		if !t.trials.Begin(ctx, hop.TimeAt(r.SoftDeadlineAt)) {
			return nil, o.refuseSuspect(r, key(), reasonSuspectBusy, suspect.Decision{RetryAfter: trialRetryAfter, Ends: d.Ends})
		}
		if d = o.cfg.Suspects.Decide(key()); d.Verdict != suspect.Rejected {
			return t.trials.End, nil
		}
		t.trials.End()
	}
	if d.Verdict == suspect.Rejected {
		return nil, o.refuseSuspect(r, key(), reasonSuspect, d)
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
func (o *Owner) mayStillSend(key func() suspect.Key, isTrial bool, sends int) bool {
	if o.cfg.Suspects.Len() == 0 {
		return true
	}
	switch o.cfg.Suspects.Decide(key()).Verdict {
	case suspect.Rejected:
		return false
	case suspect.Trial:
		return isTrial && sends == 0
	}
	return true
}
