package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// Guards against a target's statement about its own run that reaches callers, where a
// target that relays it would make it for another call.
func TestRefusalMarksAreNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests} {
		for _, hops := range []string{"direct", "through a node"} {
			m := newMesh(t, rules.Rule{Prefix: "/"})
			entry, owner := m.node("a", "dc1"), m.node("b", "dc1")
			if hops == "direct" {
				owner = entry
			}
			m.target(owner, "t", 4, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerTargetNotRun, "true")
				w.Header().Set(headerOutcome, outcomeNotRun)
				w.WriteHeader(status)
			})
			resp, err := m.call(entry, "POST", "/orders", "x")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			got := fmt.Sprint(resp.StatusCode, resp.Header[headerTargetNotRun], resp.Header[headerOutcome])
			if want := fmt.Sprint(status, " [] []"); got != want {
				t.Errorf("%s: got %s, want %s", hops, got, want)
			}
		}
	}
}
