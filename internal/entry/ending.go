package entry

import (
	"errors"
	"io"
	"net"
	"slices"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

// closer is the side that closes a connection first.
type closer string

const (
	closedByCaller closer = "caller"
	closedByNode   closer = "node"
)

// closeCause is why a connection of a caller ends.
type closeCause string

const (
	causeAnswered   closeCause = "answered"     // the last response is written
	causeIdle       closeCause = "idle"         // no further call has arrived in time
	causeCallerLeft closeCause = "caller_left"  // the caller closed its side
	causeReset      closeCause = "reset"        // the connection broke
	causeWrite      closeCause = "write_failed" // the response could not be written
	causeAborted    closeCause = "aborted"      // the call has no response
	causeUnread     closeCause = "not_read"     // the rest of a request was not read
	causeStopOver   closeCause = "stop_time_up" // the server was closed
)

// connEnd is how a connection ended: the first cause counts.
type connEnd struct {
	by    closer
	cause closeCause
}

// callEnd is what is known about a call when its connection ends.
type callEnd struct {
	id       string
	begun    int64 // bytes of the connection that were read before the call
	read     int64 // bytes of the call that were read
	whole    bool  // the whole request was read
	passedOn bool  // a target may have run the call
	status   int   // 0 before there is a response
	written  bool  // the whole response was written
}

// readEnd returns how a connection ended at which a read has failed.
func readEnd(err error) connEnd {
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return connEnd{closedByCaller, causeCallerLeft}
	case errors.As(err, &netErr) && netErr.Timeout():
		return connEnd{closedByNode, causeIdle}
	case errors.Is(err, net.ErrClosed):
		return connEnd{closedByNode, causeStopOver}
	}
	return connEnd{closedByCaller, causeReset}
}

// recordEnd records how the connection ends, unless that is known already.
func (c *callerConn) recordEnd(end connEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == (connEnd{}) {
		c.end = end
	}
}

// recordReadEnd records how the connection ends at which a read has failed. Once the node
// has ended its side, the end is its own, unless the caller resets the connection.
func (c *callerConn) recordReadEnd(err error) {
	end := readEnd(err)
	c.mu.Lock()
	finished, rest := !c.finished.IsZero(), c.rest
	c.mu.Unlock()
	switch {
	case !finished || end.cause == causeReset || end.cause == causeStopOver:
	case end.cause == causeIdle && rest != restNone:
		end = connEnd{closedByNode, causeUnread}
	default:
		end = connEnd{closedByNode, causeAnswered}
	}
	c.recordEnd(end)
}

// consumed returns the bytes of the connection that belong to calls so far.
func (c *callerConn) consumed() int64 { return c.input.Total - int64(c.r.Buffered()) }

// recordRead records what has been read of a call.
func (c *callerConn) recordRead(pc *pipelinedCall, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pc.req != nil {
		pc.ended.id = pc.req.Header.Get(c.server.IDHeader)
	}
	pc.ended.read, pc.ended.whole = c.consumed()-pc.ended.begun, whole
}

// recordWritten records the response to a call. On a server that runs, nothing more is
// reported of a call whose response is written.
func (c *callerConn) recordWritten(pc *pipelinedCall, resp *Response, written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pc.ended.status, pc.ended.passedOn, pc.ended.written = resp.Status, resp.PassedOn, written
	if written && !c.server.draining.Load() {
		c.calls = slices.DeleteFunc(c.calls, func(other *callEnd) bool { return other == pc.ended })
	}
}

// reportCalls logs the calls of a connection that has ended: all those of a server that
// stops, otherwise those whose response the node did not write whole. It counts the
// calls without a whole response by cause.
func (c *callerConn) reportCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.calls {
		call := c.calls[i]
		if !call.written {
			c.server.countUnanswered(c.end)
		}
		if c.server.Log != nil && (c.server.draining.Load() || !call.written && c.end.by == closedByNode) {
			c.logCall(c.server.Log.Info(), call)
		}
	}
	c.calls = nil
}

func (c *callerConn) logCall(line *log.Entry, call *callEnd) {
	line.Str("id", call.id).Int64("read", call.read).Bool("whole", call.whole).Bool("passed_on", call.passedOn).Int("status", call.status).
		Bool("written", call.written).Str("closed_by", string(c.end.by)).Str("cause", string(c.end.cause)).Bool("stopping", c.server.draining.Load()).
		Msg("connection of a call ended")
}

func (s *Server) countUnanswered(end connEnd) {
	if s.Metrics != nil {
		metrics.GetOrRegisterCounter("unanswered."+string(end.cause), s.Metrics).Inc(1)
	}
}
