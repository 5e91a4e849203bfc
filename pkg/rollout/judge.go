package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Counts are the calls of one version on one route as callers' nodes saw them.
type Counts struct {
	Calls  int64 `cbor:"1,keyasint"`
	Failed int64 `cbor:"2,keyasint"` // server errors, lost and broken answers
	// LogSum is the sum of the natural logarithms of the answers' times in
	// microseconds; a few long calls hardly move its mean.
	LogSum  float64 `cbor:"3,keyasint"`
	Answers int64   `cbor:"4,keyasint"` // the answers in LogSum
}

func (c *Counts) add(d Counts) {
	c.Calls += d.Calls
	c.Failed += d.Failed
	c.LogSum += d.LogSum
	c.Answers += d.Answers
}

// VersionCounts are the counts of both versions on one route.
type VersionCounts struct {
	New Counts `cbor:"1,keyasint"`
	Old Counts `cbor:"2,keyasint"`
}

// Tally is what one host saw of a rollout since it began, by route.
type Tally struct {
	Service  mesh.ServiceName         `cbor:"1,keyasint"`
	Revision uint64                   `cbor:"2,keyasint"`
	Routes   map[string]VersionCounts `cbor:"3,keyasint"`
	// Step and Epoch name the progress that is in force on the host.
	Epoch uint64 `cbor:"4,keyasint"`
	Step  uint64 `cbor:"5,keyasint"`
	// OldInFlight is the number of the host's calls at old targets.
	OldInFlight int         `cbor:"6,keyasint"`
	Host        mesh.HostID `cbor:"7,keyasint"`
	Start       uint64      `cbor:"8,keyasint"` // incarnation of the host
}

// Observe adds one call.
func (t *Tally) Observe(route string, isNew, failed bool, took time.Duration) {
	d := Counts{Calls: 1}
	if failed {
		d.Failed = 1
	} else if took > 0 {
		d.LogSum, d.Answers = math.Log(float64(took.Microseconds()+1)), 1
	}
	p := t.Routes[route]
	if isNew {
		p.New.add(d)
	} else {
		p.Old.add(d)
	}
	t.Routes[route] = p
}

// Merge adds the routes of another tally.
func (t *Tally) Merge(other *Tally) {
	for route, q := range other.Routes {
		p := t.Routes[route]
		p.New.add(q.New)
		p.Old.add(q.Old)
		t.Routes[route] = p
	}
}

const (
	// alarmOdds is the likelihood ratio from which a version counts as bad. Each
	// of the some ten looks a second at a rollout of 16 s is one chance of a false
	// alarm.
	alarmOdds = 1000
	// doubtOdds is the likelihood ratio from which a version's share is not raised.
	doubtOdds = 20
	// A bad version fails at least this share of its calls above the old one's.
	badShare = 0.12
	// minRate is the failure rate assumed of a sound version at the least.
	minRate = 0.01
	// deviations is the width of the interval of the old version's rate, and
	// maxSound the rate from which nothing is said of the new one's failures.
	deviations = 2.0
	maxSound   = 0.8
	// slowRatio is the least ratio of the typical times of a slow version. Cold
	// targets take twice as long, and targets of one service differ by 2.3.
	slowRatio = 4.0
	// minSlowSample is the least number of answers of each version for slowRatio.
	minSlowSample = 8
)

// Judge returns why the new version is bad, or "". It compares both versions
// on each route and on all routes together.
func Judge(t *Tally) string {
	var all VersionCounts
	routes := make([]string, 0, len(t.Routes))
	for route := range t.Routes {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	for _, route := range routes {
		p := t.Routes[route]
		if why := p.judge(); why != "" {
			return "route " + route + ": " + why
		}
		all.New.add(p.New)
		all.Old.add(p.Old)
	}
	if why := all.judgeFailures(); why != "" {
		return "all routes: " + why
	}
	return ""
}

func (p *VersionCounts) judge() string {
	if why := p.judgeFailures(); why != "" {
		return why
	}
	if p.New.Answers < minSlowSample || p.Old.Answers < minSlowSample {
		return ""
	}
	ratio := math.Exp(p.New.LogSum/float64(p.New.Answers) - p.Old.LogSum/float64(p.Old.Answers))
	if ratio < slowRatio {
		return ""
	}
	return fmt.Sprintf("answers take %.1f times as long as the old version's (%d and %d answers)", ratio, p.New.Answers, p.Old.Answers)
}

// upperRate is the upper end of the Wilson interval of a rate, so that few calls
// of the old version prove little.
func upperRate(failed, n float64) float64 {
	if n == 0 {
		return 1
	}
	z2 := deviations * deviations
	rate := failed / n
	return (rate + z2/(2*n) + deviations*math.Sqrt(rate*(1-rate)/n+z2/(4*n*n))) / (1 + z2/n)
}

// judgeFailures is a sequential likelihood ratio test of the new version's
// failures: the old version's rate, at the upper end of what it may be, against
// a rate that is higher by badShare.
func (p *VersionCounts) judgeFailures() string {
	if p.New.Failed < 3 || p.odds(upperRate(float64(p.Old.Failed), float64(p.Old.Calls))) < math.Log(alarmOdds) {
		return ""
	}
	return fmt.Sprintf("%d of %d calls failed, of the old version %d of %d", p.New.Failed, p.New.Calls, p.Old.Failed, p.Old.Calls)
}

// odds is the logarithm of the likelihood ratio of a bad version to one that
// fails at the given rate.
func (p *VersionCounts) odds(sound float64) float64 {
	sound = max(minRate, sound)
	if sound >= maxSound || p.New.Calls == 0 {
		return 0 // too little is known of the old version, or it fails as well
	}
	n, failed := float64(p.New.Calls), float64(p.New.Failed)
	bad := min(0.9, max(sound*1.5+badShare, failed/n))
	return failed*math.Log(bad/sound) + (n-failed)*math.Log((1-bad)/(1-sound))
}

// ShouldHold reports whether the new version fails more than the old one, though
// too few calls show it for a judgement.
func ShouldHold(t *Tally) bool {
	var all VersionCounts
	for _, p := range t.Routes {
		if p.doubtful() {
			return true
		}
		all.New.add(p.New)
		all.Old.add(p.Old)
	}
	return all.doubtful()
}

func (p *VersionCounts) doubtful() bool {
	if p.New.Failed < 2 {
		return false
	}
	return p.odds((float64(p.Old.Failed)+0.5)/(float64(p.Old.Calls)+1)) >= math.Log(doubtOdds)
}
