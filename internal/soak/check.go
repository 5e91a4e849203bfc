package soak

import (
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/rollout"
)

// touch is how long a node must have been without a fault for the promises
// with a time bound to hold for it.
const touch = 3 * time.Second

// check returns the broken promises. From the given time on, the mesh must have
// recovered.
func (j *journal) check(recovered, end time.Time) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	ran := make(map[string][]run, len(j.runs))
	for _, r := range j.runs {
		ran[r.id] = append(ran[r.id], r)
	}
	known := make(map[string]bool, len(j.outcomes))
	served, late := 0, 0
	for i := range j.outcomes {
		o := &j.outcomes[i]
		known[o.id] = true
		j.checkOutcome(o, ran[o.id])
		if o.begin.After(recovered) {
			late++
			if o.status == 200 {
				served++
			}
		}
	}
	if late > 0 && served*10 < late*9 {
		j.found = append(j.found, fmt.Sprintf("recovery: %d of %d calls are answered after the faults", served, late))
	}
	for i := range j.runs {
		j.checkRun(&j.runs[i], known)
	}
	for _, m := range j.moves {
		j.checkMove(&m, end)
	}
	return j.found
}

func (j *journal) add(format string, args ...any) {
	j.found = append(j.found, fmt.Sprintf(format, args...))
}

// checkOutcome checks what a caller got against what targets ran.
func (j *journal) checkOutcome(o *outcome, ran []run) {
	at := o.begin.Sub(j.outcomes[0].begin).Round(time.Millisecond)
	switch {
	case o.unsafe && len(ran) > 1:
		j.add("order %s at %s ran %d times", o.id, at, len(ran))
	case o.unsafe && o.status == 503 && len(ran) > 0:
		j.add("order %s at %s was refused as not run, and ran at %s", o.id, at, ran[0].target.id)
	case o.status == 200 && !o.whole:
		j.add("call %s at %s got an answer that is not its own or not whole", o.id, at)
	case o.status == 404 && o.added && o.begin.After(o.n.w.config.ackedAt(o.version).Add(configApply)) && !j.disturbed(o.n, o.begin.Add(-touch-configApply), o.end, nil):
		j.add("call %s at %s on %s: the route of version %d is unknown %s after its acknowledgement", o.id, at, o.n.host, o.version, o.begin.Sub(o.n.w.config.ackedAt(o.version)))
	case o.status == 404 && !o.added, o.status == 400:
		j.add("call %s at %s on %s was denied with %d", o.id, at, o.n.host, o.status)
	case o.status == 0 && !o.timeout && len(ran) > 0 && j.stopping(o) && !j.disturbed(o.n, o.begin.Add(-touch), o.end, planned) && !j.disturbed(ran[0].target.n, o.begin.Add(-touch), o.end, planned):
		j.add("call %s at %s was cut by the planned stop of %s though %s ran it", o.id, at, o.n.host, ran[0].target.id)
	}
}

// checkRun checks what reached a target.
func (j *journal) checkRun(r *run, known map[string]bool) {
	if !known[r.id] {
		return // its caller was still waiting at the end
	}
	if !r.acked.IsZero() && r.at.Sub(r.acked) > bounds.Drain && !j.disturbed(r.target.n, r.acked.Add(-touch), r.at, nil) {
		j.add("call %s reached target %s %s after its leaving was acknowledged", r.id, r.target.id, r.at.Sub(r.acked))
	}
	if r.caller == "forged" || r.caller == "" {
		j.add("call %s reached target %s in the name of %q", r.id, r.target.id, r.caller)
	}
}

// checkMove checks that a bad version got few calls and was not completed.
func (j *journal) checkMove(m *moved, end time.Time) {
	if !m.bad {
		return
	}
	if m.state == rollout.Completed {
		j.add("a bad version of %s was completed", m.service)
	}
	all, bad := 0, 0
	for _, r := range j.runs {
		if r.target.n.service == m.service && r.at.After(m.began) && r.at.Before(m.began.Add(rolloutTime)) {
			all++
			if r.target.version == "v2" {
				bad++
			}
		}
	}
	if most := int(exposeShare*float64(all)) + exposeSlack; bad > most && end.After(m.began) {
		j.add("a bad version of %s got %d of %d calls, at most %d", m.service, bad, all, most)
	}
}

// planned are the kinds that do not excuse a cut call.
var planned = map[string]bool{"term": true, "hup": true, "rollout": true}

// disturbed reports whether a fault that touches a node lasted in a span, apart
// from those of the given kinds.
func (j *journal) disturbed(n *node, from, to time.Time, apart map[string]bool) bool {
	for _, f := range j.faults {
		everywhere := f.kind == "store-down" || f.kind == "store-lost"
		if apart[f.kind] || !everywhere && f.n != n && f.other != n {
			continue
		}
		if f.begin.Before(to) && (f.end.IsZero() || f.end.After(from)) {
			return true
		}
	}
	return false
}

// stopping reports whether a planned stop of the caller's node was under way.
func (j *journal) stopping(o *outcome) bool {
	for _, f := range j.faults {
		if f.kind == "term" && f.n == o.n && o.end.After(f.begin) && o.end.Before(f.begin.Add(bounds.Grace)) {
			return true
		}
	}
	return false
}
