package proxy

import (
	"context"
	"crypto/sha256"
	"errors"
	"hash"
	"net/http"
	"strconv"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/listencheck"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/routing"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

const (
	// abandonedTime is how long a target can still end under a call that was given up.
	abandonedTime = time.Second
	// prefetchTime bounds the wait for the part of a streamed body that identifies a
	// request, while there are suspects. A stream that is slower is not recognized.
	prefetchTime = 50 * time.Millisecond
	// trialRetryAfter is sent when no target is left on which a suspect may be tried, or
	// others are tried there.
	trialRetryAfter = time.Second
)

// suspectKey returns the key of a request, and false while too little of its body has
// been read. The first maxReplayBytes of a body identify it. Callers are not told
// apart, since nothing in a call names them; hosts are as far as the rule does, since
// callers may address each node by its own name.
func suspectKey(r *http.Request, ruleHost string, b *requestBody) (suspect.Key, bool) {
	sum, complete := b.identity()
	if !complete {
		return suspect.Key{}, false
	}
	q := suspect.Request{Method: r.Method, Host: ruleHost, URI: r.URL.RequestURI(), Body: sum}
	return q.Key(), true
}

// bodyIdentity hashes the first maxReplayBytes of a body.
type bodyIdentity struct {
	hash hash.Hash
	size int
}

func (i *bodyIdentity) add(p []byte) {
	if i.hash == nil {
		i.hash = sha256.New()
	}
	n := min(len(p), maxReplayBytes-i.size)
	i.hash.Write(p[:n])
	i.size += n
}

func (i *bodyIdentity) sum() []byte {
	if i.hash == nil {
		i.hash = sha256.New()
	}
	return i.hash.Sum(nil)
}

// identity returns the hash of the part of the body that identifies it, and whether
// that part was read.
func (b *requestBody) identity() ([]byte, bool) {
	if b == nil || b.length == 0 || b.src == nil {
		var whole bodyIdentity
		if b != nil {
			whole.add(b.buffered)
		}
		return whole.sum(), true
	}
	sum := b.prefixSum.Load()
	if sum == nil {
		return nil, false
	}
	return *sum, true
}

// prefetch reads the part of a streamed body that identifies it, for at most
// prefetchTime. Attempts read it from the buffer.
func (b *requestBody) prefetch() {
	if b.src == nil || b.length == 0 {
		return
	}
	done, timer := make(chan struct{}), time.NewTimer(prefetchTime)
	defer timer.Stop()
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		defer close(done)
		p := make([]byte, 4<<10)
		for b.readMore(p) {
			select {
			case <-stopped:
				return
			default:
			}
		}
	}()
	select {
	case <-done:
	case <-timer.C:
	}
}

// readMore reads into the buffer once, and reports whether more identifies the body.
func (b *requestBody) readMore(p []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	rest := maxReplayBytes - int(b.bytesRead)
	if b.closed.Load() || b.reachedEOF.Load() || rest <= 0 {
		return false
	}
	n, err := b.readSource(p[:min(len(p), rest)])
	return n > 0 && err == nil
}

// targetRuns is what a node knows about the calls that one of its targets runs.
type targetRuns struct {
	address string
	running suspect.Running
	trials  suspect.TrialSlot
}

// run is a call that a local target runs.
type run struct {
	proxy *Proxy
	runs  *targetRuns
	call  *suspect.Call
	key   func() (suspect.Key, bool)
	trial bool
}

// runsOf returns the runs of a target, which another start of it at another address
// does not share.
func (p *Proxy) runsOf(t *membership.Target) *targetRuns {
	if v, ok := p.runs.Load(t.ID); ok {
		if r := v.(*targetRuns); r.address == t.Address {
			return r
		}
	}
	r := &targetRuns{address: t.Address}
	p.runs.Store(t.ID, r)
	return r
}

// admitSuspect decides whether a call may be sent to a local target, as far as targets
// have ended under its request. It returns the refusal, if there is one.
func (p *Proxy) admitSuspect(o *outboundCall, runs *targetRuns) (isTrial bool, refusal *result) {
	if p.cfg.Suspects.Len() == 0 {
		return false, nil
	}
	key, known := o.key()
	if !known {
		return false, nil
	}
	d := p.cfg.Suspects.Decide(key)
	if d.Verdict == suspect.Trial {
		until := o.deadline
		if !o.softDeadline.IsZero() {
			until = o.softDeadline
		}
		if !runs.trials.Begin(o.in.Context(), until) {
			return false, &result{kind: resultNotRun, reason: ReasonSuspectBusy, retryAfter: trialRetryAfter}
		}
		if d = p.cfg.Suspects.Decide(key); d.Verdict != suspect.Rejected {
			return true, nil
		}
		runs.trials.End()
	}
	if d.Verdict == suspect.Rejected {
		return false, &result{kind: resultNotRun, reason: ReasonSuspect, retryAfter: d.RetryAfter}
	}
	return false, nil
}

// mayStillSend reports whether a call that was admitted may be sent: no target has
// ended under its request meanwhile.
func (p *Proxy) mayStillSend(o *outboundCall, isTrial bool) bool {
	if p.cfg.Suspects.Len() == 0 {
		return true
	}
	key, known := o.key()
	return !known || p.cfg.Suspects.Decide(key).Verdict == suspect.Clear || isTrial
}

// completed records that the target has sent its whole answer.
func (r *run) completed() {
	if r == nil {
		return
	}
	if key, known := r.key(); known {
		r.runs.running.AddProven(key)
		if r.proxy.cfg.Suspects.RecordCompletion(key) {
			r.proxy.counters.registered("suspects.cleared").Inc(1)
			r.proxy.cfg.Log.Info().Str("request", key.String()).Msg("request has completed and is cleared")
		}
	}
	r.leave()
}

// leave records that the call no longer runs.
func (r *run) leave() {
	if r == nil {
		return
	}
	r.runs.running.Remove(r.call)
	r.endTrial()
}

// abandoned records that the call was given up; the target may still run it.
func (r *run) abandoned() {
	if r == nil {
		return
	}
	r.runs.running.GiveUp(r.call, abandonedTime)
	r.endTrial()
}

// broken records that the connection of the call broke. It returns the end of the
// target if the target has ended.
func (r *run) broken() suspect.EndID {
	if r == nil {
		return 0
	}
	defer r.leave()
	if !r.runs.running.CheckEnded(r.runs.listening, func() { r.proxy.recordEnd(r.runs) }) {
		return 0
	}
	return r.runs.running.EndOf(r.call)
}

func (r *run) endTrial() {
	if r.trial {
		r.trial = false
		r.runs.trials.End()
	}
}

// listening reports whether something accepts connections at the target's address, or
// whether that cannot be told.
func (r *targetRuns) listening() bool {
	c, listening := listencheck.Check(context.Background(), r.address)
	if c != nil {
		_ = c.Close() // it was opened for the check alone
	}
	return listening
}

// recordEnd records that a target has ended under the calls that it ran.
func (p *Proxy) recordEnd(runs *targetRuns) {
	running, end, first := runs.running.Close()
	if !first {
		return
	}
	p.runs.Range(func(id, v any) bool {
		if v == runs {
			p.runs.Delete(id) // what comes next at the address is another start
		}
		return true
	})
	p.counters.registered("targets.ended").Inc(1)
	p.cfg.Log.Warn().Str("address", runs.address).Int("requests", len(running)).Msg("target ended")
	for key, ends := range p.cfg.Suspects.RecordEnd(end, running) {
		if ends >= suspect.MaxEnds {
			p.counters.registered("suspects.guilty").Inc(1)
			p.cfg.Log.Warn().Str("request", key.String()).Int("ends", ends).Msg("request ends targets; it is rejected")
		}
	}
}

// setEndedHeader tells the node of the caller that the target ended.
func setEndedHeader(h http.Header, end suspect.EndID) {
	if end != 0 {
		h[headerEnded] = []string{strconv.FormatUint(uint64(end), 16)}
	}
}

// endedOf returns the end of the target that the header of another node names, or 0.
func endedOf(h http.Header) suspect.EndID {
	v := h[headerEnded]
	if len(v) == 0 {
		return 0
	}
	end, err := strconv.ParseUint(v[0], 16, 64)
	if err != nil {
		return 0
	}
	return suspect.EndID(end)
}

// suspicion returns what may be done with the request of the call.
func (c *call) suspicion() (suspect.Decision, suspect.Key) {
	if c.proxy.cfg.Suspects.Len() == 0 {
		return suspect.Decision{}, suspect.Key{}
	}
	key, known := suspectKey(c.r, c.rule.Host, c.body)
	if !known {
		return suspect.Decision{}, key
	}
	return c.proxy.cfg.Suspects.Decide(key), key
}

// pick returns the target of the next attempt, or nil with the reason and the time after
// which the caller may return.
func (c *call) pick() (*routing.Candidate, Reason, time.Duration) {
	d, key := c.suspicion()
	switch d.Verdict {
	case suspect.Rejected:
		return nil, ReasonSuspect, d.RetryAfter
	case suspect.Trial:
		return c.set.PickTrial(time.Now(), key[:], &c.tried, nil), ReasonSuspect, trialRetryAfter
	}
	return c.set.Pick(time.Now(), c.proxy.rng, &c.tried), ReasonNoTarget, 0
}

// recordTargetEnd records that a target has ended while it ran the call.
func (c *call) recordTargetEnd(end suspect.EndID) {
	if end == 0 {
		return
	}
	if key, known := suspectKey(c.r, c.rule.Host, c.body); known {
		c.proxy.cfg.Suspects.RecordEnd(end, []suspect.Observation{{Key: key}})
	}
}

// beginRun records that a call is about to be sent to a local target.
func (p *Proxy) beginRun(o *outboundCall, runs *targetRuns, isTrial bool) *run {
	return &run{proxy: p, runs: runs, call: runs.running.Begin(o.key), key: o.key, trial: isTrial}
}

// endFailed records the outcome of a call without an answer.
func (r *run) endFailed(res *result) {
	switch {
	case res.kind == resultNotRun:
		r.leave()
	case res.reason == ReasonBrokenLink:
		res.ended = r.broken()
	default:
		r.abandoned()
	}
}

// endForwarded records the outcome of a call whose answer was passed on, with the
// status of the answer and the error of doing so. A failure is no completion: without it
// the request could have ended the target. After a 504, at the deadline, it still can.
func (r *run) endForwarded(status int, err error) {
	switch {
	case err == nil && status < http.StatusInternalServerError:
		r.completed()
	case err == nil && status != http.StatusGatewayTimeout:
		r.leave()
	case errors.Is(err, errEarlyEnd):
		r.broken()
	default:
		r.abandoned()
	}
}
