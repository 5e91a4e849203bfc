package move

import "time"

// Pace of evidence messages. An early message shortens detection; the tokens
// bound the traffic when every node sees failures, as in an overload.
const (
	evidencePeriod = time.Second
	evidenceEarly  = 100 * time.Millisecond
	earlyTokens    = 10
	earlyRefill    = 5 * time.Second // time for one token
	movesPerPeriod = 4               // at about 400 bytes a move this stays under 3 KB/s
)

// pace decides when evidence is sent.
type pace struct {
	sent     time.Duration
	failures int // bad outcomes of new versions since the last message
	tokens   float64
	at       time.Duration
}

// EvidenceDue reports whether the node should send Evidence to the evaluators
// now: every second, more seldom with many moves, and up to ten times a second
// while a new version fails.
func (c *Controller) EvidenceDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := 0
	for _, p := range c.moves {
		if p.judged() && (p.seenChanged || p.mergedChanged) {
			changed++
		}
	}
	return c.pace.due(c.mono, evidencePeriod*time.Duration(max(1, changed/movesPerPeriod)))
}

func (p *pace) due(now, period time.Duration) bool {
	p.tokens = min(earlyTokens, p.tokens+float64(now-p.at)/float64(earlyRefill))
	p.at = now
	early := p.failures > 0 && now-p.sent >= evidenceEarly && p.tokens >= 1
	if now-p.sent < period && !early {
		return false
	}
	if now-p.sent < period {
		p.tokens--
	}
	p.sent, p.failures = now, 0
	return true
}
