package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
)

// A target is cold for coldTime after a start beside calls, and at random moments. It
// crashes when more calls than coldBound reach it within a second from its start on, or
// after a heartbeat that says so has been acknowledged.
const (
	coldTime  = 2 * time.Second
	coldRate  = 4
	coldBound = 1.5*coldRate + 8
)

// coldState is the cold time of a target; guarded by target.mu.
type coldState struct {
	until  time.Time
	from   time.Time   // calls before count for nothing; zero until a heartbeat has been acknowledged
	recent []time.Time // calls of the last second since from
}

// buildConfig returns the configuration with the given version for the options of the run.
func (c *cluster) buildConfig(version uint64) *traffic.Config {
	config := buildConfig(version)
	if c.options.ColdTargets {
		for name, s := range config.Services {
			s.ColdTime, s.ColdRate = coldTime, coldRate
			config.Services[name] = s
		}
	}
	if c.options.Uploads {
		addUploads(config)
	}
	if c.options.BrokenAnswers {
		config.Limits.BodyBytes = maxLargeUploadBytes
	}
	return config
}

// injectCold makes targets cold at random moments. Its schedule has a source of its own,
// see injectAnswerFaults.
func (c *cluster) injectCold(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.options.Seed, 4))
	for end := time.Now().Add(c.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		c.nodes[rng.IntN(len(c.nodes))].eachServingTarget(func(t *target) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.cold = coldState{until: time.Now().Add(coldTime)}
		})
		pause.For(ctx, time.Duration(500+rng.IntN(1500))*time.Millisecond)
	}
}

// exceedsColdBound counts a call that arrives and reports whether the target crashes
// because it is cold and gets too many.
func (t *target) exceedsColdBound() bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.cold
	if s.from.IsZero() || now.After(s.until) {
		return false
	}
	s.recent = append(s.recent, now)
	for now.Sub(s.recent[0]) >= time.Second {
		s.recent = s.recent[1:]
	}
	return len(s.recent) > coldBound
}
