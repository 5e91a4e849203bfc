package hop

import (
	"errors"
	"io"
	"net"
	"strconv"
)

// closer is the side that closes a connection, or ends a call, first.
type closer string

const (
	closedByPeer closer = "peer"
	closedByNode closer = "node"
)

// endCause is why a connection of another node ends, or a call on it.
type endCause string

const (
	causeAnswered  endCause = "answered"     // the response is written
	causeCancelled endCause = "cancelled"    // the peer cancelled the call
	causePeerLeft  endCause = "peer_left"    // the peer closed the connection
	causeReset     endCause = "reset"        // the connection broke
	causeWrite     endCause = "write_failed" // the peer did not read
	causeMalformed endCause = "malformed"    // a message of the peer, or of this node
	causeStopOver  endCause = "stop_time_up" // the server was closed
)

// connEnd is how a connection ended: the first cause counts.
type connEnd struct {
	by    closer
	cause endCause
}

// readEnd returns how a connection ended at which a read has failed.
func readEnd(err error) connEnd {
	switch {
	case errors.Is(err, errMalformedFrame):
		return connEnd{closedByNode, causeMalformed}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return connEnd{closedByPeer, causePeerLeft}
	case errors.Is(err, net.ErrClosed):
		return connEnd{closedByNode, causeStopOver}
	}
	return connEnd{closedByPeer, causeReset}
}

// writeEnd returns how a connection ended at which a write has failed.
func writeEnd(err error) connEnd {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return connEnd{closedByNode, causeWrite}
	}
	return readEnd(err)
}

func (c *serverConn) recordEnd(end connEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == (connEnd{}) {
		c.end = end
	}
}

func (c *serverConn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end != (connEnd{})
}

// logEnd logs the end of a call of another node: each one of a server that stops, otherwise
// those whose response this node did not write.
func (s *Server) logEnd(c *serverConn, r *Request, resp *Response, cancelled bool, err error) {
	c.mu.Lock()
	end := c.end
	c.mu.Unlock()
	switch {
	case cancelled:
		end = connEnd{closedByPeer, causeCancelled}
	case err == nil:
		end = connEnd{closedByNode, causeAnswered}
	}
	if s.Log == nil || !s.draining.Load() && (err == nil || end.by == closedByPeer) {
		return
	}
	s.Log.Info().Str("id", r.ID).Str("peer", c.RemoteAddr().String()).Str("route", r.Route).Int("read", len(r.Body)).Str("outcome", resp.Outcome.String()).
		Bool("passed_on", resp.SentToTarget).Int("status", resp.Status).Str("reason", resp.Reason).Bool("written", err == nil).
		Str("closed_by", string(end.by)).Str("cause", string(end.cause)).Bool("stopping", s.draining.Load()).Msg("call of another node ended")
}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	}
	return strconv.Itoa(int(o))
}
