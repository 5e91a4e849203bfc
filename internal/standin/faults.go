package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// DieAt is the point during a call at which the target crashes.
type DieAt string

// Points at which a target can crash.
const (
	DieNever   DieAt = ""
	DieBefore  DieAt = "before"  // before the call is run
	DieRunning DieAt = "running" // while the call is run, before the answer
	DieDuring  DieAt = "during"  // after half of the answer
	DieAfter   DieAt = "after"   // after the whole answer
)

// Faults are the injectable faults of a target, as accepted by POST /faults.
// The zero value injects none.
type Faults struct {
	ServiceTime ServiceTime `json:"service_time"`
	BodySize    int         `json:"body_size,omitempty"` // bytes

	ColdForMS  int64   `json:"cold_for_ms,omitempty"` // since the start of the target
	ColdFactor float64 `json:"cold_factor,omitempty"` // of the service time while cold

	ShedAbove int  `json:"shed_above,omitempty"` // concurrent calls; 0 sheds none
	Draining  bool `json:"draining,omitempty"`   // leaves the mesh and refuses new calls as not run

	HealthLie   string   `json:"health_lie,omitempty"` // "up" or "down", reported instead of the health
	HealthLagMS int64    `json:"health_lag_ms,omitempty"`
	LoadLie     *float64 `json:"load_lie,omitempty"` // reported instead of the load
	LoadLagMS   int64    `json:"load_lag_ms,omitempty"`

	// The faults below apply only to calls that match all three conditions.
	AfterMS          int64  `json:"after_ms,omitempty"` // since the faults were set
	PathPrefix       string `json:"path_prefix,omitempty"`
	AboveConcurrency int    `json:"above_concurrency,omitempty"`

	FailShare     float64 `json:"fail_share,omitempty"`      // of the calls that run and return 500
	SlowFactor    float64 `json:"slow_factor,omitempty"`     // of the service time
	EarlyEndShare float64 `json:"early_end_share,omitempty"` // of the answers that end halfway
	Die           DieAt   `json:"die,omitempty"`             // on the next matching call

	ConnectDelayMS int64 `json:"connect_delay_ms,omitempty"` // before a new connection is served
	// SilenceConnections makes the currently open connections silent, except the
	// one that carries this request: they stay open, but no data is read from or
	// written to them again. New connections work.
	SilenceConnections bool `json:"silence_connections,omitempty"`
}

// ServiceTime is a distribution of service times.
type ServiceTime struct {
	Kind   string  `json:"kind,omitempty"`    // "fixed" (default), "uniform", "exponential" or "lognormal"
	MeanMS float64 `json:"mean_ms,omitempty"` // the median of "lognormal"
	Spread float64 `json:"spread,omitempty"`  // half-width as a share of the mean (uniform), sigma (lognormal)
}

// maxServiceTime truncates the tail of the distributions. It is above the
// longest route timeout, 60 s.
const maxServiceTime = 2 * time.Minute

// sample draws a service time.
func (s ServiceTime) sample(r *rand.Rand) time.Duration {
	ms := s.MeanMS
	switch s.Kind {
	case "uniform":
		ms *= 1 + s.Spread*(2*r.Float64()-1)
	case "exponential":
		ms *= r.ExpFloat64()
	case "lognormal":
		ms *= math.Exp(s.Spread * r.NormFloat64())
	}
	return min(time.Duration(ms*float64(time.Millisecond)), maxServiceTime)
}

// ParseFaults decodes faults from JSON and validates them.
func ParseFaults(r io.Reader) (Faults, error) {
	var f Faults
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	if err := f.check(); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	return f, nil
}

func (f *Faults) check() error {
	var errs []error
	oneOf := func(name, value string, allowed ...string) {
		for _, a := range allowed {
			if value == a {
				return
			}
		}
		errs = append(errs, fmt.Errorf("%s %q is not one of %q", name, value, allowed))
	}
	atLeastZero := func(name string, value float64) {
		if value < 0 || math.IsNaN(value) {
			errs = append(errs, fmt.Errorf("%s is negative", name))
		}
	}
	oneOf("die", string(f.Die), string(DieNever), string(DieBefore), string(DieRunning), string(DieDuring), string(DieAfter))
	oneOf("health_lie", f.HealthLie, "", "up", "down")
	oneOf("service_time.kind", f.ServiceTime.Kind, "", "fixed", "uniform", "exponential", "lognormal")
	atLeastZero("service_time.mean_ms", f.ServiceTime.MeanMS)
	atLeastZero("service_time.spread", f.ServiceTime.Spread)
	atLeastZero("cold_factor", f.ColdFactor)
	atLeastZero("slow_factor", f.SlowFactor)
	atLeastZero("cold_for_ms", float64(f.ColdForMS))
	atLeastZero("after_ms", float64(f.AfterMS))
	atLeastZero("shed_above", float64(f.ShedAbove))
	atLeastZero("body_size", float64(f.BodySize))
	if f.BodySize > maxBodySize {
		errs = append(errs, fmt.Errorf("body_size is above %d", maxBodySize))
	}
	for name, share := range map[string]float64{"fail_share": f.FailShare, "early_end_share": f.EarlyEndShare} {
		if !(share >= 0 && share <= 1) {
			errs = append(errs, fmt.Errorf("%s is not between 0 and 1", name))
		}
	}
	return errors.Join(errs...)
}

// matches reports whether the conditional faults apply to a call. age is the
// time since the faults were set.
func (f *Faults) matches(path string, running int, age time.Duration) bool {
	return age >= time.Duration(f.AfterMS)*time.Millisecond && strings.HasPrefix(path, f.PathPrefix) && running > f.AboveConcurrency
}

// slowdown returns the factor that the service time of a call is multiplied by.
func (f *Faults) slowdown(age time.Duration, matches bool) float64 {
	factor := 1.0
	if f.ColdFactor > 0 && age < time.Duration(f.ColdForMS)*time.Millisecond {
		factor *= f.ColdFactor
	}
	if matches && f.SlowFactor > 0 {
		factor *= f.SlowFactor
	}
	return factor
}
