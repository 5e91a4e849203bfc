package opapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Guards against a field of the status that is lost in JSON, and against errors
// that do not name the node.
func TestClientStatus(t *testing.T) {
	want := Status{
		Host: "h1", DataCentre: "dc1", Ready: true, Version: mesh.ConfigVersion{Revision: 3, Epoch: 1},
		Hosts: []membership.Host{{ID: "h1", Status: membership.StatusAlive}},
		Moves: []MoveStatus{{Move: "m", Route: "GET /a", Share: 0.25, State: "moving", By: time.Unix(9, 0).UTC()}},
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == StatusPath {
			_ = json.NewEncoder(w).Encode(want)
			return
		}
		http.NotFound(w, r)
	}))
	defer srv.Close()
	got, err := NewClient(srv.URL, srv.Client()).Status(t.Context())
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v", got, err)
	}
	srv.Config.Handler = http.NotFoundHandler()
	if _, err = NewClient(srv.URL, srv.Client()).Status(t.Context()); err == nil || !strings.Contains(err.Error(), srv.URL) {
		t.Fatalf("got error %v, want one that names the node", err)
	}
}

// Guards against a version that counts as served by hosts or targets that are
// leaving or have failed.
func TestStatusServes(t *testing.T) {
	for _, tc := range []struct {
		host   membership.Status
		target membership.TargetState
		want   bool
	}{
		{membership.StatusAlive, membership.TargetReady, true},
		{membership.StatusAlive, membership.TargetStarting, true},
		{membership.StatusSuspect, membership.TargetReady, true},
		{membership.StatusAlive, membership.TargetDraining, false},
		{membership.StatusLeaving, membership.TargetReady, false},
		{membership.StatusFailed, membership.TargetReady, false},
	} {
		s := Status{Hosts: []membership.Host{{Status: tc.host, Targets: []membership.Target{{Service: "s", Version: "v", State: tc.target}}}}}
		if got := s.Serves(mesh.ServiceVersion{Service: "s", Version: "v"}); got != tc.want {
			t.Errorf("host %d, target %d: got %v", tc.host, tc.target, got)
		}
		if s.Serves(mesh.ServiceVersion{Service: "s", Version: "w"}) {
			t.Error("another version counts as served")
		}
	}
}
