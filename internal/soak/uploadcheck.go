package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

const (
	// A call that ends within lossSlack and is not passed on may have crossed the close
	// of its connection, when that had been used before or the drain time of a stop is over.
	lossSlack = 200 * time.Millisecond
	// A target that is at work in the last sixth of the grace time, on a call that was
	// sent up to lateCallTime after SIGTERM, excuses the end of the call.
	lateCallTime = 3 * time.Second
)

// unplannedFaults are the kinds of faults that excuse an upload without an answer. Kills
// are recorded on their own.
var unplannedFaults = map[string]bool{"pause": true, "silence": true, "cut": true}

// checkUpload reports an upload whose connection has ended without a whole answer, around
// the planned stop of its node or at any other time. The answer to a call that was refused
// by its head counts as well: whatever of the body is on its way.
func (j *journal) checkUpload(o *outcome, at time.Duration, runs []run) {
	u := o.upload
	switch {
	case o.status == 401 && u.key != unknownKey:
		j.addViolationLocked("upload %s at %s on %s was refused with status 401 although its key is valid", o.id, at, o.node.host)
	case (o.status == 401 || o.status == 429) && len(runs) > 0:
		j.addViolationLocked("upload %s at %s on %s was refused with status %d but ran on %s", o.id, at, o.node.host, o.status, runs[0].target.id)
	case u.key == unknownKey && len(runs) > 0:
		j.addViolationLocked("upload %s at %s on %s ran on %s without a valid key", o.id, at, o.node.host, runs[0].target.id)
	case u.neverRead:
	case (o.status == 502 || o.status == 503) && j.wasBrokenOff(o, runs) && j.excuse(o, runs) == "":
		j.addViolationLocked("upload %s at %s on %s was broken off in the stop of its node, and answered %d %s after it was sent, although %s was at work%s",
			o.id, at, o.node.host, o.status, o.end.Sub(o.begin).Round(time.Millisecond), runs[0].target.id, j.explanation(o))
	case o.status == 0 && j.excuse(o, runs) == "":
		j.addViolationLocked("%s", j.describeUnanswered(o, at, runs))
	}
}

// describeUnanswered describes an upload without a whole answer.
func (j *journal) describeUnanswered(o *outcome, at time.Duration, runs []run) string {
	u, when := o.upload, "outside of a stop"
	if stop, ok := j.stopBefore(o); ok {
		when = fmt.Sprintf("begun %s and cut %s after SIGTERM", o.begin.Sub(stop).Round(time.Millisecond), o.end.Sub(stop).Round(time.Millisecond))
	}
	return fmt.Sprintf("upload %s at %s on %s has no whole answer: %s, sent whole: %v, runs: %d, chunks: %v, expects: %v, reused: %v, %d bytes in %s, timeout %s, first write after %s, cut after %s: %v%s",
		o.id, at, o.node.host, when, u.whole, len(runs), u.chunked, u.expects, o.reused, u.size, u.pace.Round(time.Millisecond),
		u.timeout, u.firstWrite, o.end.Sub(o.begin).Round(time.Millisecond), o.cause, j.explanation(o))
}

// excuse returns why an upload may have no whole answer, or "".
func (j *journal) excuse(o *outcome, runs []run) string {
	u := o.upload
	stop, stopping := j.stopBefore(o)
	if j.hadUnplannedFault(o.node, o.begin.Add(-faultMargin), o.end) {
		return "fault"
	}
	for _, r := range runs {
		if j.hadUnplannedFault(r.target.node, o.begin.Add(-faultMargin), o.end) {
			return "fault_of_target"
		}
	}
	switch {
	case o.end.Sub(o.begin) >= u.timeout && u.key != unknownKey: // without a key the head decides
		return "deadline"
	case (o.reused || stopping && o.end.After(stop.Add(bounds.Drain))) && len(runs) == 0 && o.end.Sub(o.begin) <= lossSlack:
		return "crossed_close"
	case !stopping:
		return ""
	}
	lastSixth := stop.Add(bounds.Grace * 5 / 6)
	for _, r := range runs {
		if !o.begin.After(stop.Add(lateCallTime)) && (r.end.IsZero() || r.end.After(lastSixth)) {
			return "at_work"
		}
	}
	if u.sent.After(lastSixth) && (!u.whole || len(runs) == 0 && o.end.Sub(u.sent) <= lossSlack) {
		return "sent_late"
	}
	return ""
}

// wasBrokenOff reports whether a target lost an upload that it worked on while the node
// that took the upload was stopping. The stop of the target's own node excuses it late in
// the grace time.
func (j *journal) wasBrokenOff(o *outcome, runs []run) bool {
	if _, stopping := j.stopBefore(o); !stopping {
		return false
	}
	for _, r := range runs {
		if r.brokenOff && !j.endedLateInStop(o, &r) {
			return true
		}
	}
	return false
}

// endedLateInStop reports whether a run ended late in the grace time of its target's node.
func (j *journal) endedLateInStop(o *outcome, r *run) bool {
	for p, stop := range j.stops {
		if p.node == r.target.node && !o.begin.After(stop.Add(lateCallTime)) &&
			r.end.After(stop.Add(bounds.Grace*5/6)) && r.end.Before(stop.Add(bounds.Grace+time.Second)) {
			return true
		}
	}
	return false
}

// stopBefore returns when the process that took a call got SIGTERM, if that was before
// the end of the call.
func (j *journal) stopBefore(o *outcome) (time.Time, bool) {
	stop, ok := j.stops[process{o.node, o.processNumber}]
	return stop, ok && stop.Before(o.end)
}

// hadUnplannedFault reports whether a node was killed, frozen or cut off between two
// times.
func (j *journal) hadUnplannedFault(n *node, from, to time.Time) bool {
	for _, at := range j.kills[n] {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	for _, f := range j.faults {
		if unplannedFaults[f.kind] && (f.node == n || f.other == n) && f.begin.Before(to) && (f.end.IsZero() || f.end.After(from)) {
			return true
		}
	}
	return false
}

func (j *journal) explanation(o *outcome) string {
	if j.explain == nil {
		return ""
	}
	return j.explain(o)
}

// explain returns the lines of the node's log about the end of a call.
func (c *cluster) explain(o *outcome) string {
	log, err := os.Open(c.path(string(o.node.host) + ".log"))
	if err != nil {
		return "; " + err.Error()
	}
	defer log.Close() // it was only read
	text := ""
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		line := lines.Text()
		if strings.Contains(line, "connection of a call ended") && strings.Contains(line, `"`+o.id+`"`) {
			text += "\n    " + line
		}
	}
	if text == "" {
		return "; no line in the log"
	}
	return text
}

// reportUploads prints the numbers of stops, and of uploads by status, 0 for no answer. It
// describes those whose excuse is not an unplanned fault.
func (j *journal) reportUploads(out io.Writer, seed uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	statuses, excuses := make(map[int]int), make(map[string]int)
	runs := make(map[string][]run)
	for _, r := range j.runs {
		runs[r.id] = append(runs[r.id], r)
	}
	uploads, stopping := 0, 0
	for i := range j.outcomes {
		o := &j.outcomes[i]
		if o.upload == nil || o.upload.neverRead {
			continue
		}
		uploads++
		statuses[o.status]++
		if o.status == 0 {
			excuse := j.excuse(o, runs[o.id])
			excuses[excuse]++
			if excuse != "" && !strings.HasPrefix(excuse, "fault") {
				fmt.Fprintf(out, "seed=%d excused by %s: %s\n", seed, excuse, j.describeUnanswered(o, o.begin.Sub(j.outcomes[0].begin).Round(time.Millisecond), runs[o.id]))
			}
		}
		if _, ok := j.stopBefore(o); ok {
			stopping++
		}
	}
	fmt.Fprintf(out, "seed=%d stops=%d uploads=%d uploads_around_stops=%d upload_statuses=%v excuses=%v\n", seed, len(j.stops), uploads, stopping, statuses, excuses)
}
