package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/quota"
)

// The reasons of refusals that concern teams.
const (
	reasonNoKey      = "no_key"      // the call names no key, or more than one
	reasonUnknownKey = "unknown_key" // no team has the key
	reasonNoParent   = "no_parent"   // the call for which a target made this one does not run here
	reasonTeamLimit  = "team_limit"  // the team is over its limit
)

// identify sets the team of the call by the key that it carries. It returns the
// response to a call that needs a key and has no valid one, nil otherwise.
func (c *call) identify() *Response {
	if c.isNested() {
		return nil // targets have no keys
	}
	matcher, keys := c.snapshot.Matcher, c.req.Header.Values(c.entry.cfg.HeaderNames.APIKey)
	if len(keys) == 1 {
		c.team = matcher.Team(keys[0])
	}
	switch {
	case c.team != nil || !matcher.NeedsKey(c.route):
		return nil
	case len(keys) == 1:
		return c.localResponse(http.StatusUnauthorized, reasonUnknownKey, 0)
	case len(keys) == 0 && c.entry.cfg.ParentID != nil && c.entry.cfg.ParentID(c.id) != "":
		return c.localResponse(http.StatusServiceUnavailable, reasonNoParent, defaultRetryAfter)
	}
	return c.localResponse(http.StatusUnauthorized, reasonNoKey, 0)
}

// priority returns the priority of the call: that of its team, or else that of its route.
func (c *call) priority() int {
	if c.team != nil && c.team.Priority != nil {
		return *c.team.Priority
	}
	return c.route.Priority
}

func (c *call) teamName() mesh.TeamName {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// hedgeTokenWait is some round trips to the lender of a team's tokens.
const hedgeTokenWait = 20 * time.Millisecond

// limits returns the limits that hold for the call, or nil.
func (c *call) limits() TeamLimits {
	if c.team == nil || c.team.Rate <= 0 {
		return nil
	}
	return c.entry.cfg.TeamLimits
}

// Screen refuses a call by its head, where the configuration has teams: one without a
// valid key, or over its team's limit, is refused before its body is read. It returns nil
// for a call that Handle decides on.
func (e *Entry) Screen(ctx context.Context, req *Request) *Response {
	c := e.newCall(ctx, req)
	if c.snapshot == nil || !c.snapshot.Matcher.HasTeams() {
		return nil
	}
	response := c.prepare()
	if response == nil {
		var cancel context.CancelFunc
		c.ctx, cancel = context.WithDeadline(ctx, c.deadline)
		defer cancel()
		response = c.takeFromLimit()
	}
	if response != nil {
		e.count("calls.received")
		c.recordEnd(response)
	}
	return response
}

// takeFromLimit takes the call from the limit of its team, if it has one. It returns the
// response to a call over the limit, nil otherwise.
func (c *call) takeFromLimit() *Response {
	limits := c.limits()
	if limits == nil || c.req.limited {
		return nil
	}
	token, retryAfter, ok := limits.Take(c.ctx, c.team)
	if !ok && c.stopped() {
		return c.localResponse(http.StatusServiceUnavailable, reasonStopping, stopRetryAfter)
	}
	if !ok {
		return c.localResponse(http.StatusTooManyRequests, reasonTeamLimit, max(retryAfter, admission.MinRetryAfter))
	}
	c.req.limited, c.req.limitToken = true, token
	return nil
}

// ReturnToLimit gives a call that no target has run back to the limit of its team.
func (e *Entry) ReturnToLimit(req *Request) {
	if req.limited {
		e.cfg.TeamLimits.Return(req.limitToken)
		req.limited = false
	}
}

// runWithinLimit runs the call unless its team is over its limit.
func (c *call) runWithinLimit() *Response {
	if refusal := c.takeFromLimit(); refusal != nil {
		return refusal
	}
	return c.run()
}

// takeRepeat takes a token for a further attempt of a call that a target may have run:
// each run counts towards the limit.
func (c *call) takeRepeat() (quota.Token, bool) {
	limits := c.limits()
	if limits == nil || !c.route.Idempotent || !c.mayHaveRun && c.serverError == nil {
		return quota.Token{}, true
	}
	token, _, ok := limits.Take(c.ctx, c.team)
	return token, ok
}

// takeHedge takes a token for an attempt beside one that runs. It waits hedgeTokenWait
// at most, since the first attempt may be answered meanwhile.
func (c *call) takeHedge() (quota.Token, bool) {
	limits := c.limits()
	if limits == nil {
		return quota.Token{}, true
	}
	ctx, cancel := context.WithTimeout(c.ctx, hedgeTokenWait)
	defer cancel()
	token, _, ok := limits.Take(ctx, c.team)
	return token, ok
}

func (c *call) returnToken(token quota.Token) {
	if limits := c.limits(); limits != nil && token != (quota.Token{}) {
		limits.Return(token)
	}
}

// maxCountedTeams bounds the teams that have metrics of their own.
const maxCountedTeams = 128

// otherTeams is the name in metrics of the teams beyond maxCountedTeams.
const otherTeams = "other"

// teamCounters is the set of teams that have metrics of their own: the first ones that
// make a call. Its zero value is ready for use, and it is safe for concurrent use.
type teamCounters struct {
	mu    sync.Mutex
	names map[mesh.TeamName]bool
}

// label returns the name under which the calls of a team are counted.
func (t *teamCounters) label(name mesh.TeamName) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.names[name]:
	case len(t.names) >= maxCountedTeams:
		return otherTeams
	case t.names == nil:
		t.names = map[mesh.TeamName]bool{name: true}
	default:
		t.names[name] = true
	}
	return string(name)
}

// countTeam counts a call of a team by the outcome that its caller sees.
func (e *Entry) countTeam(name mesh.TeamName, status int) {
	family := "team_failed."
	switch {
	case status < http.StatusBadRequest:
		family = "team_served."
	case status == http.StatusTooManyRequests:
		family = "team_limited."
	case status == http.StatusServiceUnavailable:
		family = "team_refused."
	}
	e.count(family + e.teams.label(name))
}
