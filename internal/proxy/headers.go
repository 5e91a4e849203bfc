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
	headerTimeout     = "Nutmeghoist-Timeout-Ms"   // time left for the call
	headerDepth       = "Nutmeghoist-Depth"        // calls above this one
	headerRetryBudget = "Nutmeghoist-Retry-Budget" // retries left for the call and the calls below it
	headerClass       = "Nutmeghoist-Class"
	headerCall        = "Nutmeghoist-Call"   // key for shares
	headerAim         = "Nutmeghoist-Aim-Ms" // time left until the answer loses worth

	headerOutcome      = "Nutmeghoist-Outcome"
	headerReason       = "Nutmeghoist-Reason"
	headerRetryAfterMs = "Nutmeghoist-Retry-After-Ms" // Retry-After with a finer unit

	// Only between nodes.
	headerTarget  = "Nutmeghoist-Target"         // target ID
	headerVersion = "Nutmeghoist-Target-Version" // service@version that the caller's node expects
	headerLoad    = "Nutmeghoist-Load"           // the target's load at its owner

	headerTargetNotRun = "Target-Not-Run" // a target's documented refusal
)

const headerPrefix = "Nutmeghoist-"

// hopByHop lists the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// copyHeaders copies the end-to-end headers. The system's own headers are set
// by each node and not taken over.
func copyHeaders(dst, src http.Header) {
	named := src["Connection"]
	for k, v := range src {
		if hopByHop[k] || strings.HasPrefix(k, headerPrefix) || (len(named) > 0 && nominated(named, k)) {
			continue
		}
		dst[k] = v
	}
}

// nominated reports whether a Connection header lists the header k.
func nominated(connection []string, k string) bool {
	for _, line := range connection {
		for name := range strings.SplitSeq(line, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)) == k {
				return true
			}
		}
	}
	return false
}

// intHeader returns the value of a header with a non-negative number.
func intHeader(h http.Header, name string) (n int, present, valid bool) {
	v := h[name]
	if len(v) == 0 {
		return 0, false, true
	}
	n, err := strconv.Atoi(v[0])
	return n, true, err == nil && n >= 0
}

// setTimeout writes the time left; it reports false when less than a
// millisecond is left.
func setTimeout(h http.Header, left time.Duration) bool {
	ms := left.Milliseconds()
	if ms < 1 {
		return false
	}
	h[headerTimeout] = []string{strconv.FormatInt(ms, 10)}
	return true
}
