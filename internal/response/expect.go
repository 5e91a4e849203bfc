package response

import (
	"net/http"
	"sync/atomic"
)

// expectedHead is the check of the head of one final response and of the interim ones
// before it.
type expectedHead struct {
	check headCheck   // used by reads only
	ended atomic.Bool // what follows is the body
}

// ExpectResponse makes reads check the head of the next response. It is called before a
// request is sent. A read that would return the rest of a line that breaks the grammar
// returns ErrMalformed instead.
func (c *Conn) ExpectResponse() {
	if h := c.head.Load(); h == nil || h.ended.Load() {
		c.head.Store(&expectedHead{})
	}
}

func (h *expectedHead) feed(p []byte) error {
	for len(p) > 0 && !h.ended.Load() {
		n, ended, err := h.check.feed(p)
		if err != nil {
			return err
		}
		p = p[n:]
		if ended {
			isInterim := h.check.status < http.StatusOK
			h.check = headCheck{}
			h.ended.Store(!isInterim)
		}
	}
	return nil
}
