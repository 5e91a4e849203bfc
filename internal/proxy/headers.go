package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers of the call path, in canonical form.
const (
	headerTimeout      = "Nutmeghoist-Timeout-Ms"   // time left for the call
	headerDepth        = "Nutmeghoist-Depth"        // calls above this one
	headerRetryBudget  = "Nutmeghoist-Retry-Budget" // retries left for the call and the calls below it
	headerClass        = "Nutmeghoist-Class"
	headerCallKey      = "Nutmeghoist-Call"   // call key, whose hash selects the destination
	headerSoftDeadline = "Nutmeghoist-Aim-Ms" // time left until the soft deadline

	headerOutcome      = "Nutmeghoist-Outcome"
	headerReason       = "Nutmeghoist-Reason"
	headerRetryAfterMs = "Nutmeghoist-Retry-After-Ms" // Retry-After in milliseconds

	// Only between nodes.
	headerTarget   = "Nutmeghoist-Target"         // target ID
	headerVersion  = "Nutmeghoist-Target-Version" // service@version that the caller's node expects
	headerEnded    = "Nutmeghoist-Target-Ended"   // the end of the target while it ran the call
	headerRuleHost = "Nutmeghoist-Rule-Host"      // host of the rule, unless it is any
	headerLoad     = "Nutmeghoist-Load"           // the target's load at its host and the call's queue time

	headerTargetNotRun = "Target-Not-Run" // set by a target that refused a call without running it, for its own node only
)

const headerPrefix = "Nutmeghoist-"

// hopByHop lists the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// copyHeaders copies the end-to-end headers. It skips the headers of the call
// path, which each node sets itself, and what a target says to its node.
func copyHeaders(dst, src http.Header) {
	connection := src["Connection"]
	for k, v := range src {
		if hopByHop[k] || k == headerTargetNotRun || strings.HasPrefix(k, headerPrefix) || (len(connection) > 0 && listsHeader(connection, k)) {
			continue
		}
		dst[k] = v
	}
}

// listsHeader reports whether a Connection header lists the header k.
func listsHeader(connection []string, k string) bool {
	for _, line := range connection {
		for name := range strings.SplitSeq(line, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)) == k {
				return true
			}
		}
	}
	return false
}

// intHeader returns the value of a header that holds a non-negative integer. An
// absent header is valid.
func intHeader(h http.Header, name string) (n int, present, valid bool) {
	v := h[name]
	if len(v) == 0 {
		return 0, false, true
	}
	n, err := strconv.Atoi(v[0])
	return n, true, err == nil && n >= 0
}

// setTimeoutHeader sets the remaining time. It reports false when less than a
// millisecond remains.
func setTimeoutHeader(h http.Header, remaining time.Duration) bool {
	ms := remaining.Milliseconds()
	if ms < 1 {
		return false
	}
	h[headerTimeout] = []string{strconv.FormatInt(ms, 10)}
	return true
}
