package soak

import (
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/rollout"
)

// faultMargin is how long a node must have been free of faults before
// time-bounded guarantees apply to it.
const faultMargin = 3 * time.Second

// check returns the violated guarantees. The mesh must recover by recoveredBy.
func (j *journal) check(recoveredBy, end time.Time) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	runsByID := make(map[string][]run, len(j.runs))
	for _, r := range j.runs {
		runsByID[r.id] = append(runsByID[r.id], r)
	}
	finished := make(map[string]bool, len(j.outcomes))
	answered, total := 0, 0
	for i := range j.outcomes {
		o := &j.outcomes[i]
		finished[o.id] = true
		j.checkOutcome(o, runsByID[o.id])
		if o.begin.After(recoveredBy) && !o.crashing && o.upload == nil {
			total++
			if o.status == 200 {
				answered++
			}
		}
	}
	if total > 0 && answered*10 < total*9 {
		j.violations = append(j.violations, fmt.Sprintf("recovery: %d of %d calls were answered after the faults", answered, total))
	}
	for i := range j.runs {
		j.checkRun(&j.runs[i], finished)
	}
	j.checkSignals()
	j.checkCrashes()
	for _, result := range j.rollouts {
		j.checkRollout(&result, end)
	}
	return j.violations
}

func (j *journal) addViolationLocked(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// checkOutcome checks the response of a call against the runs of targets.
func (j *journal) checkOutcome(o *outcome, runs []run) {
	at := o.begin.Sub(j.outcomes[0].begin).Round(time.Millisecond)
	switch {
	case o.unsafe && len(runs) > 1:
		j.addViolationLocked("order %s at %s ran %d times", o.id, at, len(runs))
	case o.unsafe && o.status == 503 && len(runs) > 0:
		j.addViolationLocked("order %s at %s was refused as not run but ran on %s", o.id, at, runs[0].target.id)
	case o.malformed:
		j.addViolationLocked("call %s at %s on %s got bytes that are no answer: %v", o.id, at, o.node.host, o.cause)
	case o.status == 200 && !o.complete:
		j.addViolationLocked("call %s at %s got an answer that is incomplete or belongs to another call", o.id, at)
	case o.status == 404 && o.addedRoute && o.begin.After(o.node.cluster.config.ackedAt(o.version).Add(configApplyTime)) && !j.hadFault(o.node, o.begin.Add(-faultMargin-configApplyTime), o.end, nil):
		j.addViolationLocked("call %s at %s on %s: the route of version %d is unknown %s after its acknowledgement", o.id, at, o.node.host, o.version, o.begin.Sub(o.node.cluster.config.ackedAt(o.version)))
	case o.status == 404 && !o.addedRoute, o.status == 400:
		j.addViolationLocked("call %s at %s on %s was rejected with status %d", o.id, at, o.node.host, o.status)
	case o.upload != nil:
		j.checkUpload(o, at, runs)
	case o.status == 0 && !o.timeout && len(runs) > 0 && j.duringPlannedStop(o) && !j.hadFault(o.node, o.begin.Add(-faultMargin), o.end, plannedFaults) && !j.hadFault(runs[0].target.node, o.begin.Add(-faultMargin), o.end, plannedFaults):
		j.addViolationLocked("call %s at %s was cut by the planned stop of %s although %s ran it", o.id, at, o.node.host, runs[0].target.id)
	}
}

// checkRun checks a call that reached a target.
func (j *journal) checkRun(r *run, finished map[string]bool) {
	if !finished[r.id] {
		return // the call was still in flight at the end
	}
	if !r.acked.IsZero() && r.at.Sub(r.acked) > bounds.Drain && !j.hadFault(r.target.node, r.acked.Add(-faultMargin), r.at, nil) {
		j.addViolationLocked("call %s reached target %s %s after its drain was acknowledged", r.id, r.target.id, r.at.Sub(r.acked))
	}
	j.checkEvacuation(r)
	if r.caller == "forged" || r.caller == "" {
		j.addViolationLocked("call %s reached target %s with caller service %q", r.id, r.target.id, r.caller)
	}
}

// checkRollout checks that a bad version got few calls and was not completed.
func (j *journal) checkRollout(result *rolloutResult, end time.Time) {
	if !result.bad {
		return
	}
	if result.state == rollout.Completed {
		j.addViolationLocked("the rollout of a bad version of %s was completed", result.service)
	}
	all, bad := 0, 0
	for _, r := range j.runs {
		if r.target.node.service == result.service && r.at.After(result.began) && r.at.Before(result.began.Add(rolloutTime)) {
			all++
			if r.target.version == "v2" {
				bad++
			}
		}
	}
	if limit := int(exposureShare*float64(all)) + exposureSlack; bad > limit && end.After(result.began) {
		j.addViolationLocked("a bad version of %s got %d of %d calls, the limit is %d", result.service, bad, all, limit)
	}
}

// plannedFaults are the kinds of faults that must not cut calls.
var plannedFaults = map[string]bool{"term": true, "hup": true, "rollout": true}

// hadFault reports whether a fault that affects a node was active between two
// times, except faults of the given kinds.
func (j *journal) hadFault(n *node, from, to time.Time, except map[string]bool) bool {
	for _, f := range j.faults {
		if except[f.kind] || !storeFaults[f.kind] && f.node != n && f.other != n {
			continue
		}
		if f.begin.Before(to) && (f.end.IsZero() || f.end.After(from)) {
			return true
		}
	}
	return false
}

// duringPlannedStop reports whether a call ended during its node's planned stop.
func (j *journal) duringPlannedStop(o *outcome) bool {
	for _, f := range j.faults {
		if f.kind == "term" && f.node == o.node && o.end.After(f.begin) && o.end.Before(f.begin.Add(bounds.Grace)) {
			return true
		}
	}
	return false
}
