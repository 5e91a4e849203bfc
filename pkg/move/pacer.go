package move

import "time"

// Rate of evidence messages. An early message shortens the time to detect a
// fault. A token bucket limits the early messages when every node sees failures,
// as in an overload.
const (
	evidencePeriod      = time.Second
	minEvidenceInterval = 100 * time.Millisecond
	maxEarlyTokens      = 10
	earlyTokenPeriod    = 5 * time.Second // time to refill one token
	movesPerPeriod      = 4               // evidence has about 400 bytes per move, so this stays under 3 KB/s
)

// evidencePacer decides when evidence is sent. The times are monotonic.
type evidencePacer struct {
	sentAt     time.Duration
	failures   int // bad outcomes of new versions since the last message
	tokens     float64
	refilledAt time.Duration
}

// EvidenceDue reports whether the node should send its evidence now, and counts
// it as sent if so: every second, less often with many moves, and up to ten
// times a second while a new version fails.
func (c *Controller) EvidenceDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := 0
	for _, p := range c.moves {
		if p.needsEvaluation() && (p.ownChanged || p.peerChanged) {
			changed++
		}
	}
	return c.pacer.allow(c.mono, evidencePeriod*time.Duration(max(1, changed/movesPerPeriod)))
}

// allow reports whether a message may be sent now: after each period, or early
// after failures as long as there are tokens. It counts the message as sent.
func (p *evidencePacer) allow(now, period time.Duration) bool {
	p.tokens = min(maxEarlyTokens, p.tokens+float64(now-p.refilledAt)/float64(earlyTokenPeriod))
	p.refilledAt = now
	early := p.failures > 0 && now-p.sentAt >= minEvidenceInterval && p.tokens >= 1
	if now-p.sentAt < period && !early {
		return false
	}
	if now-p.sentAt < period {
		p.tokens--
	}
	p.sentAt, p.failures = now, 0
	return true
}
