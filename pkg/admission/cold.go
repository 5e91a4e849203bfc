package admission

import "time"

// ColdCause is why a target counts as cold.
type ColdCause string

// The causes.
const (
	ColdNamed       ColdCause = "named"       // the target says so
	ColdUnheard     ColdCause = "unheard"     // what it has said is too old
	ColdIdle        ColdCause = "idle"        // it got no calls for a while and can have become cold meanwhile
	ColdUnreachable ColdCause = "unreachable" // nothing listened at its address; it can have started again
	ColdReturned    ColdCause = "returned"    // its data centre gets calls again after it was emptied
)

const (
	// coldBurst is the time whose calls a cold target may get at once without a
	// ColdRate.Slack. It is half of the window, so that the calls of two processes of the
	// node within one window stay below twice the rate.
	coldBurst = 500 * time.Millisecond
	// coldWindow is the time in which the calls to a cold target are counted at the
	// send. Calls wait for connections for different times after their admission, so
	// that the count leaves room for sendMargin more than a burst; with a slack it stays
	// as many below the bound, since calls arrive a little later than they are sent.
	coldWindow = time.Second
	sendMargin = 2
	// coldIdleTime without calls makes a target count as cold until it is heard after the
	// next call.
	coldIdleTime = 2 * time.Second
)

// ColdRate is how many calls a target takes while it is cold.
type ColdRate struct {
	PerSecond float64 // 0 means any
	// Slack is the number of calls beyond PerSecond that may reach the target in a second.
	// Without it, those of coldBurst may.
	Slack float64
}

// coldLimit holds the calls to a target to the rate that it takes while it is cold. Calls
// are admitted by a token bucket and counted again when they are sent.
type coldLimit struct {
	takes      ColdRate
	until      time.Time // end of the cold time that the target has named
	knownUntil time.Time // until then, what the target has said last counts
	doubt      ColdCause // why knownUntil was cut short
	active     bool      // it was cold when last looked at
	tokens     float64   // calls that may be admitted now
	filledAt   time.Time
	sent       []time.Time // the newest calls, at most maxSent
}

// hear applies what the target says: it stays cold for a time. That counts for the time
// trust, in which the target says so again.
func (c *coldLimit) hear(left, trust time.Duration, now time.Time) {
	c.until, c.knownUntil, c.doubt = now.Add(max(0, left)), now.Add(trust), ""
	c.update(now)
}

// doubtWarmth makes the target count as cold until it is heard again.
func (c *coldLimit) doubtWarmth(cause ColdCause, now time.Time) {
	if now.Before(c.knownUntil) {
		c.knownUntil, c.doubt = now, cause
	}
	c.update(now)
}

// cause returns why the target counts as cold, or "" when it does not.
func (c *coldLimit) cause(now time.Time) ColdCause {
	switch {
	case c.takes.PerSecond == 0:
		return ""
	case now.Before(c.until):
		return ColdNamed
	case c.idle(now):
		return ColdIdle
	case now.Before(c.knownUntil):
		return ""
	case c.doubt != "":
		return c.doubt
	}
	return ColdUnheard
}

// idle reports whether the target got calls once, and none for coldIdleTime.
func (c *coldLimit) idle(now time.Time) bool {
	return len(c.sent) > 0 && now.Sub(c.sent[len(c.sent)-1]) > coldIdleTime
}

// update fills the bucket and reports whether the target counts as cold. When the target
// becomes cold, the calls of the last window count against the bucket.
func (c *coldLimit) update(now time.Time) bool {
	wasActive := c.active
	c.active = c.cause(now) != ""
	switch {
	case !c.active:
	case !wasActive:
		recent := 0
		for _, at := range c.sent {
			if now.Sub(at) < coldWindow {
				recent++
			}
		}
		c.tokens, c.filledAt = c.burst()-float64(recent), now
	case now.After(c.filledAt):
		c.tokens = min(c.burst(), c.tokens+now.Sub(c.filledAt).Seconds()*c.rate())
		c.filledAt = now
	}
	return c.active
}

func (c *coldLimit) rate() float64 { return max(minRate, c.takes.PerSecond) }

// burst returns the calls that are admitted at once after a pause. Two processes of the
// node can each admit a burst within one window, which leaves a third of the slack.
func (c *coldLimit) burst() float64 {
	if c.takes.Slack > 0 {
		return max(1, c.takes.Slack/3)
	}
	return max(1, c.rate()*coldBurst.Seconds())
}

// maxSent returns the calls that are sent in a window at most.
func (c *coldLimit) maxSent() int {
	if c.takes.Slack > 0 {
		return max(1, int(c.rate()*coldWindow.Seconds()+c.takes.Slack)-sendMargin)
	}
	return int(c.rate()*coldWindow.Seconds()+c.burst()) + sendMargin
}

// interval returns the time between two calls while the target is cold, and 0 otherwise.
func (c *coldLimit) interval(now time.Time) time.Duration {
	if !c.update(now) {
		return 0
	}
	return time.Duration(float64(time.Second) / c.rate())
}

// wait returns the time until n calls may be admitted, at most until the end of the cold
// time that the target has named.
func (c *coldLimit) wait(n int, now time.Time) time.Duration {
	if !c.update(now) {
		return 0
	}
	wait := time.Duration(max(0, float64(n)-c.tokens) / c.rate() * float64(time.Second))
	if now.Before(c.until) && c.until.Before(c.knownUntil) {
		wait = min(wait, c.until.Sub(now))
	}
	return wait
}

// isSpare reports whether the target counts as cold without having said so, and gets so
// few calls that the limit does not matter to other hosts.
func (c *coldLimit) isSpare(now time.Time) bool {
	return c.update(now) && c.cause(now) != ColdNamed && c.tokens >= c.burst()/2
}

// take counts a call that is admitted.
func (c *coldLimit) take(now time.Time) {
	if c.update(now) {
		c.tokens--
	}
}

// giveBack undoes take for a call that was not sent after all.
func (c *coldLimit) giveBack(now time.Time) {
	if c.update(now) {
		c.tokens = min(c.burst(), c.tokens+1)
	}
}

// send counts a call that is about to be sent. It reports false when the target has got
// as many calls in the last window as a cold target takes.
func (c *coldLimit) send(now time.Time) bool {
	if c.takes.PerSecond == 0 {
		return true
	}
	if c.idle(now) {
		c.doubtWarmth(ColdIdle, now)
	}
	cold, limit := c.update(now), c.maxSent()
	if excess := len(c.sent) - limit; excess > 0 {
		c.sent = append(c.sent[:0], c.sent[excess:]...) // the rate has been lowered
	}
	if len(c.sent) == limit {
		if cold && now.Sub(c.sent[0]) < coldWindow {
			return false
		}
		c.sent = append(c.sent[:0], c.sent[1:]...)
	}
	c.sent = append(c.sent, now)
	return true
}

// HearCold applies what the target says of its cold time: it stays cold for the time
// left. That counts for the time trust; then the target counts as cold until it is heard
// again. Without a Config.ColdRate it changes nothing.
func (l *Limiter) HearCold(left, trust time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.hear(left, trust, now)
	l.admitWaiting(now)
}

// DoubtWarmth makes the target count as cold until it is heard again.
func (l *Limiter) DoubtWarmth(cause ColdCause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.doubtWarmth(cause, time.Now())
}

// SetColdRate sets Config.ColdRate.
func (l *Limiter) SetColdRate(r ColdRate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setColdRate(r, time.Now())
}

func (l *Limiter) setColdRate(r ColdRate, now time.Time) {
	if r == l.cold.takes {
		return
	}
	l.cold.takes, l.cold.active = r, false
	l.admitWaiting(now)
}

// Cold returns why the target counts as cold, or "" when it does not.
func (l *Limiter) Cold() ColdCause {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.update(now)
	return l.cold.cause(now)
}

// Send counts an admitted call right before it is sent. It returns a *Refusal when the
// target is cold and has got too many calls: those that were admitted over a longer time
// can be sent together, after a pause of the process or slow connects.
func (l *Limiter) Send() error {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cold.send(now) {
		return nil
	}
	return &Refusal{Reason: ReasonCold, RetryAfter: l.retryAfter(now)}
}
