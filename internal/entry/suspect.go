package entry

import (
	"time"

	"nutmeghoist.example/nutmeghoist/internal/hop"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// trialRetryAfter is sent when no target is left on which a suspect may be tried.
const trialRetryAfter = time.Second

// computeKey returns the key that the call shares with all calls of the same request.
func (c *call) computeKey() suspect.Key {
	r := suspect.Request{Method: c.req.Method, Host: c.req.Host, URI: c.req.URI, Caller: string(c.entry.cfg.Service), Body: c.req.Body}
	return r.Key()
}

// suspicion returns what may be done with the request of the call.
func (c *call) suspicion() suspect.Decision {
	if c.entry.cfg.Suspects.Len() == 0 {
		return suspect.Decision{}
	}
	return c.entry.cfg.Suspects.Decide(c.suspectKey())
}

// pick returns the target of the next attempt, or nil when there is none or the request
// must not be sent.
func (c *call) pick(set *routing.Set) *routing.Candidate {
	if set == nil {
		return nil
	}
	d := c.suspicion()
	var t *routing.Candidate
	switch d.Verdict {
	case suspect.Clear:
		return set.PickCheapest(time.Now(), c.entry.rng, &c.tried, c.costParams())
	case suspect.Trial:
		key := c.suspectKey()
		t = set.PickTrial(time.Now(), key[:], &c.tried, c.exclude())
		d.RetryAfter = trialRetryAfter
	}
	if t == nil && !c.mayHaveRun {
		c.reason, c.retryAfter = reasonSuspect, d.RetryAfter
		c.entry.cfg.Log.Info().Str("id", c.id).Str("request", c.suspectKey().String()).Str("reason", reasonSuspect).
			Int("ends", d.Ends).Dur("retry_after", d.RetryAfter).Msg("suspect not sent")
	}
	return t
}

// recordTargetEnd records that a target has ended while it ran the call. The node beside
// the target has told others already, unless it has ended as well.
func (c *call) recordTargetEnd(t *routing.Candidate, resp *hop.Response) {
	if resp.Ended != 0 {
		c.entry.cfg.Suspects.RecordEnd(resp.Ended, []suspect.Observation{{Key: c.suspectKey()}})
		t.Stat.Record(routing.SignalUnreachable, 0, time.Now())
	}
}
