package soak

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	// A call that ends within lossSlack and is not passed on may have crossed the close
	// of its connection.
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
	case o.status == 0 && !u.neverRead && !j.mayEndUnanswered(o, runs):
		when := "outside of a stop"
		if stop, ok := j.stopBefore(o); ok {
			when = fmt.Sprintf("begun %s and cut %s after SIGTERM", o.begin.Sub(stop).Round(time.Millisecond), o.end.Sub(stop).Round(time.Millisecond))
		}
		j.addViolationLocked("upload %s at %s on %s has no whole answer: %s, sent whole: %v, runs: %d, chunks: %v, expects: %v, reused: %v, %d bytes in %s, cut after %s: %v%s",
			o.id, at, o.node.host, when, u.whole, len(runs), u.chunked, u.expects, o.reused, u.size, u.pace.Round(time.Millisecond),
			o.end.Sub(o.begin).Round(time.Millisecond), o.cause, j.explanation(o))
	}
}

// mayEndUnanswered reports whether an upload may have no whole answer.
func (j *journal) mayEndUnanswered(o *outcome, runs []run) bool {
	u := o.upload
	if o.end.Sub(o.begin) >= u.timeout || len(runs) == 0 && o.end.Sub(o.begin) <= lossSlack {
		return true
	}
	if j.hadUnplannedFault(o.node, o.begin.Add(-faultMargin), o.end) {
		return true
	}
	for _, r := range runs {
		if j.hadUnplannedFault(r.target.node, o.begin.Add(-faultMargin), o.end) {
			return true
		}
	}
	stop, ok := j.stopBefore(o)
	if !ok {
		return false
	}
	lastSixth := stop.Add(bounds.Grace * 5 / 6)
	for _, r := range runs {
		if !o.begin.After(stop.Add(lateCallTime)) && (r.end.IsZero() || r.end.After(lastSixth)) {
			return true
		}
	}
	if u.sent.After(lastSixth) {
		return !u.whole || len(runs) == 0 && o.end.Sub(u.sent) <= lossSlack
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

// uploadCounts returns the numbers of stops, and of uploads whose answers were read by
// status, 0 for none.
func (j *journal) uploadCounts() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	statuses := make(map[int]int)
	uploads, stopping := 0, 0
	for i := range j.outcomes {
		o := &j.outcomes[i]
		if o.upload == nil || o.upload.neverRead {
			continue
		}
		uploads++
		statuses[o.status]++
		if _, ok := j.stopBefore(o); ok {
			stopping++
		}
	}
	return fmt.Sprintf("stops=%d uploads=%d uploads_around_stops=%d upload_statuses=%v", len(j.stops), uploads, stopping, statuses)
}
