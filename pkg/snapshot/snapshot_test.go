package snapshot

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

var (
	head  = source.Head{Revision: 4, Hash: "h4"}
	start = time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
)

func moveRule(prefix string, attempt int) rules.Rule {
	return rules.Rule{Line: 1, Prefix: prefix, Service: "orderdesk", Version: "tray-2", From: "tray-1", By: start, Attempt: attempt}
}

func host(id string, status membership.Status, targets ...membership.Target) membership.Host {
	return membership.Host{ID: mesh.HostID(id), DataCentre: "dc-a", CallAddress: "127.0.0.1:1", Incarnation: 1, Status: status, Targets: targets}
}

func target(id string, version mesh.TargetVersion, state membership.TargetState) membership.Target {
	return membership.Target{ID: mesh.TargetID(id), Service: "orderdesk", Version: version, Address: "127.0.0.1:2", State: state}
}

// Guards against calls to targets that accept none, and against a missing entry
// for a service version without targets.
func TestBuildTargets(t *testing.T) {
	s, err := Build(head, rules.File{Rules: []rules.Rule{moveRule("/orders", 1)}}, []membership.Host{
		host("h3", membership.StatusSuspect, target("c", "tray-1", membership.TargetReady)),
		host("h1", membership.StatusAlive, target("a", "tray-1", membership.TargetReady),
			target("b", "tray-1", membership.TargetDraining), target("0", "tray-1", membership.TargetReady), target("x", "unnamed", membership.TargetReady)),
		host("h2", membership.StatusLeaving, target("d", "tray-1", membership.TargetReady)),
		host("h4", membership.StatusFailed, target("e", "tray-1", membership.TargetReady)),
		host("h5", membership.StatusAlive, target("f", "tray-1", membership.TargetStarting)),
	}, nil, 1, start)
	if err != nil {
		t.Fatal(err)
	}
	old := s.Targets[mesh.ServiceVersion{Service: "orderdesk", Version: "tray-1"}]
	if len(old) != 3 || old[0].ID != "0" || old[1].Host != "h1" || old[1].Suspect || old[2].Host != "h3" || !old[2].Suspect {
		t.Errorf("targets of tray-1: %+v", old)
	}
	if next, ok := s.Targets[mesh.ServiceVersion{Service: "orderdesk", Version: "tray-2"}]; !ok || len(next) != 0 {
		t.Errorf("targets of tray-2: %+v, entry %t; want an empty entry", next, ok)
	}
	if len(s.Targets) != 2 {
		t.Errorf("got %d entries, want 2", len(s.Targets))
	}
	shared := rules.Rule{Prefix: "/", Service: "orderdesk", Version: "tray-1", Shares: []rules.Share{
		{ServiceVersion: mesh.ServiceVersion{Service: "orderdesk", Version: "tray-1"}, Weight: 1},
		{ServiceVersion: mesh.ServiceVersion{Service: "galley", Version: "g-1"}, Weight: 1},
	}}
	if s, err = Build(head, rules.File{Rules: []rules.Rule{shared}}, nil, nil, 1, start); err != nil || len(s.Targets) != 2 {
		t.Errorf("a rule with 2 shares has %d entries, %v", len(s.Targets), err)
	}
}

// Guards against a version that serves again although a later attempt was vetoed,
// and against a veto that applies to a higher attempt than its own.
func TestBuildVetoes(t *testing.T) {
	rs := []rules.Rule{moveRule("/a", 1), moveRule("/b", 2), moveRule("/c", 3), {Line: 4, Prefix: "/d", Service: "orderdesk", Version: "tray-2"}}
	veto := func(attempt int, version mesh.TargetVersion) source.Veto {
		return source.Veto{Service: "orderdesk", Version: version, Attempt: attempt, At: start}
	}
	for _, c := range []struct {
		name   string
		vetoes []source.Veto
		epoch  uint64
	}{
		{"none", nil, 0},
		{"lowest attempt", []source.Veto{veto(1, "tray-2")}, 1},
		{"covers lower attempts", []source.Veto{veto(2, "tray-2"), veto(1, "tray-2")}, 2},
		{"all", []source.Veto{veto(3, "tray-2")}, 3},
		{"another version", []source.Veto{veto(3, "tray-1")}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := Build(head, rules.File{Rules: rs}, nil, c.vetoes, 0, start)
			if err != nil {
				t.Fatal(err)
			}
			if want := (mesh.ConfigVersion{Revision: 4, Epoch: c.epoch}); s.Version != want {
				t.Fatalf("got version %s, want %s", s.Version, want)
			}
		})
	}
}

// Guards against a check that stops at the first inconsistency.
func TestCheckReportsAllFindings(t *testing.T) {
	s, err := Build(head, rules.File{Rules: []rules.Rule{moveRule("/a", 1)}}, nil, []source.Veto{{Service: "orderdesk", Version: "tray-2", Attempt: 1}}, 0, start)
	if err != nil {
		t.Fatal(err)
	}
	s.Targets = nil
	s.Version = mesh.ConfigVersion{Revision: 5, Epoch: 2}
	s.Vetoed["gone"] = source.Veto{}
	s.Rules = append(s.Rules, rules.Rule{Line: 2, Prefix: "/b"})
	var l finding.List
	if err := s.Check(); !errors.As(err, &l) || len(l) != 5 {
		t.Fatalf("got %d findings, want 5: %v", len(l), err)
	}
}

// Guards against replacing the snapshot in force by an older one when several
// writers set versions and floors concurrently.
func TestHolderNeverServesOlderVersion(t *testing.T) {
	var (
		h       Holder
		wg      sync.WaitGroup
		readers = 4
	)
	for w := range 8 {
		wg.Go(func() {
			for i := range 500 {
				v := mesh.ConfigVersion{Revision: uint64(1 + (i*7+w*13)%50), Epoch: uint64(i % 3)}
				s := &Snapshot{Version: v, Generation: uint64((i * w) % 5)}
				if err := h.Swap(s); err == nil && i%10 == 0 {
					h.SetFloor(v)
				}
			}
		})
	}
	errs := make(chan error, readers)
	for range readers {
		wg.Go(func() {
			var last *Snapshot
			for range 20000 {
				s := h.Load()
				if last != nil && s != last && !isNewer(s, last) {
					errs <- fmt.Errorf("version %s generation %d after %s generation %d", s.Version, s.Generation, last.Version, last.Generation)
					return
				}
				last = s
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		t.Error(err)
	}
	var stale *StaleError
	if err := h.Swap(&Snapshot{Version: mesh.ConfigVersion{Revision: 1}}); !errors.As(err, &stale) {
		t.Errorf("got %v, want StaleError", err)
	}
}

// Guards against a floor that is lowered or not enforced. After a restart, a host
// must not serve a version older than one that it served before.
func TestHolderFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			h     Holder
			floor mesh.ConfigVersion
		)
		version := rapid.Custom(func(t *rapid.T) mesh.ConfigVersion {
			return mesh.ConfigVersion{Revision: rapid.Uint64Range(0, 4).Draw(t, "revision"), Epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch")}
		})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			v := version.Draw(t, "version")
			if rapid.Bool().Draw(t, "floor") {
				h.SetFloor(v)
				if v.Compare(floor) > 0 {
					floor = v
				}
				continue
			}
			s, before := &Snapshot{Version: v, Generation: rapid.Uint64Range(0, 2).Draw(t, "generation")}, h.Load()
			want := v.Compare(floor) >= 0 && (before == nil || v.Compare(before.Version) > 0 ||
				v == before.Version && s.Generation > before.Generation)
			if err := h.Swap(s); (err == nil) != want {
				t.Fatalf("swap to %s above floor %s from %+v: %v", v, floor, before, err)
			}
		}
	})
}
