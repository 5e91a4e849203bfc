package sidecar_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"nutmeghoist.example/nutmeghoist/platform"
)

// refusalOf returns the status that a test target answers a path with, such as
// /orders/status/503/marked, and the line by which it says that the call has not run.
func refusalOf(path string) (status int, mark string) {
	_, rest, ok := strings.Cut(path, "/status/")
	if !ok {
		return 0, ""
	}
	var kind string
	if _, err := fmt.Sscanf(rest, "%d/%s", &status, &kind); err != nil {
		return 0, ""
	}
	if kind == "marked" {
		mark = platform.Headers.NotRun + ": 1\r\n"
	}
	return status, mark
}

// Guards against a target's own status that reaches the caller of an order as the promise
// that the order has not run, at the node of the target and at others.
func TestOnlyProvenRefusalsOfOrdersPromise(t *testing.T) {
	const nodes = 2
	m := newTestMesh(t, 7, nodes)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for range 3 * nodes { // so that targets of both nodes are called
			for _, n := range m.nodes {
				checkRefusal(t, n, fmt.Sprintf("/orders/status/%d/unmarked", status), callResult{status: http.StatusBadGateway})
				lookup := callResult{status: status, stamp: "s", retryAfter: "1"}
				if status == http.StatusMisdirectedRequest { // another target can have the address
					lookup = callResult{status: http.StatusBadGateway}
				}
				checkRefusal(t, n, fmt.Sprintf("/lookups/status/%d/unmarked", status), lookup)
			}
		}
	}
	for _, n := range m.nodes {
		for _, route := range []string{"orders", "lookups"} {
			got := n.call("POST", "/"+route+"/status/503/marked", "x", false)
			if got.status != http.StatusServiceUnavailable || got.stamp != "" || got.retryAfter == "" {
				t.Errorf("%s that the targets refused: got %+v", route, got)
			}
		}
	}
}

func checkRefusal(t *testing.T, n *testNode, path string, want callResult) {
	t.Helper()
	got := n.call("POST", path, "x", false)
	if got.took = 0; got != want {
		t.Errorf("%s at node %d: got %+v, want %+v", path, n.index, got, want)
	}
}
