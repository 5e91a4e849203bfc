package exchange

import (
	"net"
	"net/http"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
)

// Guards against a limit that is taken from an unreadable header or from an answer that
// may belong to another call, and against one in a refusal that is overlooked.
func TestSignalsComeFromTheTargetsOwnAnswers(t *testing.T) {
	limit := func(perSecond float64) Signals {
		return Signals{Rate: admission.RateNotice{Kind: admission.RateLimited, PerSecond: perSecond}}
	}
	unreadable := Signals{Rate: admission.RateNotice{Kind: admission.RateUnreadable}}
	none := Signals{Rate: admission.RateNotice{Kind: admission.RateUnlimited}}
	cases := map[string]struct {
		raw  string
		want Signals
	}{
		"none":              {rawResponse(200, "c", "", ""), none},
		"decimal":           {rawResponse(200, "c", "Takes: 32.2\r\n", ""), limit(32.2)},
		"zero":              {rawResponse(200, "c", "Takes: 0\r\n", ""), limit(0)},
		"leaving":           {rawResponse(200, "c", "Going: 1\r\n", ""), Signals{Rate: none.Rate, Leaving: true}},
		"not leaving":       {rawResponse(200, "c", "Going: 0\r\n", ""), none},
		"leaving, refused":  {rawResponse(503, "c", "Not-Run: 1\r\nGoing: 1\r\n", ""), Signals{Rate: none.Rate, Leaving: true}},
		"in a failure":      {rawResponse(500, "c", "Takes: 3\r\n", ""), limit(3)},
		"in a refusal":      {rawResponse(503, "c", "Not-Run: 1\r\nTakes: 3\r\n", ""), limit(3)},
		"negative":          {rawResponse(200, "c", "Takes: -1\r\n", ""), unreadable},
		"not a number":      {rawResponse(200, "c", "Takes: NaN\r\n", ""), unreadable},
		"infinite":          {rawResponse(200, "c", "Takes: Inf\r\n", ""), unreadable},
		"empty":             {rawResponse(200, "c", "Takes: \r\n", ""), unreadable},
		"with a unit":       {rawResponse(200, "c", "Takes: 3/s\r\n", ""), unreadable},
		"twice":             {rawResponse(200, "c", "Takes: 3\r\nTakes: 4\r\n", ""), unreadable},
		"of another call":   {rawResponse(200, "other", "Takes: 3\r\n", ""), Signals{}},
		"without the proof": {"HTTP/1.1 200 X\r\nCall-Name: c\r\nTakes: 3\r\nContent-Length: 0\r\n\r\n", Signals{}},
		"of another target": {rawResponse(421, "c", "Takes: 3\r\n", ""), Signals{}},
		"with a cut body":   {"HTTP/1.1 200 X\r\nCall-Name: c\r\nProof: p\r\nTakes: 3\r\nContent-Length: 9\r\n\r\nx", Signals{}},
		"after a late copy": {rawResponse(200, "other", "Takes: 3\r\n", "") + rawResponse(200, "c", "Takes: 5\r\n", ""), limit(5)},
	}
	for name, tc := range cases {
		client, _ := startTarget(t, func(_ int, _ *http.Request, c net.Conn) bool {
			_, _ = c.Write([]byte(tc.raw))
			return false
		})
		call := getCall("c")
		call.Deadline = time.Now().Add(300 * time.Millisecond)
		if res := client.Do(t.Context(), call); res.Signals != tc.want {
			t.Errorf("%s: signals %+v, want %+v (%s)", name, res.Signals, tc.want, res.Reason)
		}
	}
}
