package exchange

import (
	"math"
	"net/http"
	"strconv"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
)

// Signals is what a target says of itself in an answer.
type Signals struct {
	Rate    admission.RateNotice
	Leaving bool
}

// signalsOf reads the signals in the head of an answer.
func (c *Client) signalsOf(h http.Header) Signals {
	return Signals{Rate: parseRateNotice(h.Values(c.names.RateLimit)), Leaving: h.Get(c.names.Leaving) == "1"}
}

func parseRateNotice(values []string) admission.RateNotice {
	if len(values) == 0 {
		return admission.RateNotice{Kind: admission.RateUnlimited}
	}
	perSecond, err := strconv.ParseFloat(values[0], 64)
	if err != nil || len(values) > 1 || perSecond < 0 || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return admission.RateNotice{Kind: admission.RateUnreadable}
	}
	return admission.RateNotice{Kind: admission.RateLimited, PerSecond: perSecond}
}
