package move

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// singleNode is one node that evaluates moves without peers.
type singleNode struct {
	c      *Controller
	now    time.Time
	vetoes []source.Veto
	faults []string
}

func newSingleNode(newHosts ...mesh.HostID) *singleNode {
	n := &singleNode{now: start}
	n.c = NewController(Config{
		Self: "h1", DataCentre: "a",
		OnVeto:  func(v source.Veto) { n.vetoes = append(n.vetoes, v) },
		OnFault: func(_ mesh.MoveID, text string) { n.faults = append(n.faults, text) },
	})
	s := testSnapshot(1, start, testRule(start.Add(time.Minute)))
	s.Targets[mesh.ServiceVersion{Service: "orderdesk", Version: "tray-2"}] = testTargets("tray-2", newHosts...)
	n.c.Apply(s)
	n.tick(0)
	return n
}

func (n *singleNode) tick(d time.Duration) {
	n.now = n.now.Add(d)
	n.c.Tick(n.now)
}

func (n *singleNode) call(v mesh.TargetVersion, h mesh.HostID, k OutcomeKind, latency time.Duration, cold bool) {
	n.c.Observe(Outcome{Service: "orderdesk", Version: v, Route: "GET /menus", Host: h, DataCentre: "a", Kind: k, Latency: latency, Cold: cold})
}

// round makes 100 calls to the old version for each call to the new version on
// each host.
func (n *singleNode) round(oldVersion, newVersion func(h mesh.HostID) (OutcomeKind, time.Duration, bool), hosts ...mesh.HostID) {
	for _, h := range hosts {
		for range 100 {
			k, l, _ := oldVersion(h)
			n.call("tray-1", h, k, l, false)
		}
		k, l, cold := newVersion(h)
		n.call("tray-2", h, k, l, cold)
	}
	n.tick(200 * time.Millisecond)
}

// Guards against a rollback for the wrong cause: common faults, faults of single
// hosts and cold starts must not roll a version back, its own faults must.
func TestEvaluation(t *testing.T) {
	type behaviour = func(h mesh.HostID) (OutcomeKind, time.Duration, bool)
	const usual = 5 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	always := func(k OutcomeKind, l time.Duration, cold bool) behaviour {
		return func(mesh.HostID) (OutcomeKind, time.Duration, bool) { return k, l, cold }
	}
	ok := always(OutcomeOK, usual, false)
	noAnswer30 := func(mesh.HostID) (OutcomeKind, time.Duration, bool) {
		if rng.IntN(10) < 3 {
			return OutcomeNoAnswer, 2 * time.Second, false
		}
		return OutcomeOK, usual, false
	}
	onlyH1 := func(h mesh.HostID) (OutcomeKind, time.Duration, bool) {
		if h == "h1" {
			return OutcomeFailed, usual, false
		}
		return OutcomeOK, usual, false
	}
	three, one := []mesh.HostID{"h1", "h2", "h3"}, []mesh.HostID{"h1"}
	for _, tt := range []struct {
		name                   string
		oldVersion, newVersion behaviour
		hosts                  []mesh.HostID
		want                   string // part of the evidence; "" means no veto
	}{
		{"good", ok, ok, three, ""},
		{"failures", ok, always(OutcomeFailed, usual, false), three, "failed"},
		{"early ends", ok, always(OutcomeEarlyEnd, usual, false), three, "failed"},
		{"common fault", noAnswer30, noAnswer30, three, ""},
		{"one host of three", ok, onlyH1, three, ""},
		{"only host", ok, onlyH1, one, "failed"},
		{"slow", ok, always(OutcomeOK, 4*usual, false), three, "slow"},
		{"both slow", always(OutcomeOK, 4*usual, false), always(OutcomeOK, 4*usual, false), three, ""},
		{"cold start", ok, always(OutcomeOK, 9*usual, true), three, ""},
		{"cold without answers", ok, always(OutcomeNoAnswer, time.Second, true), three, ""},
		{"crashes while cold", ok, always(OutcomeFailed, usual, true), three, "warming up"},
		{"sheds alone", ok, always(OutcomeShed, 0, false), three, "shed"},
		{"both shed", always(OutcomeShed, 0, false), always(OutcomeShed, 0, false), three, ""},
		{"cancelled", ok, always(OutcomeCancelled, 0, false), three, ""},
	} {
		n := newSingleNode(tt.hosts...)
		for range 40 {
			n.round(tt.oldVersion, tt.newVersion, tt.hosts...)
		}
		switch {
		case (tt.want != "") != (len(n.vetoes) == 1):
			t.Errorf("%s: vetoes %+v", tt.name, n.vetoes)
		case tt.want != "" && !strings.Contains(n.vetoes[0].Evidence, tt.want):
			t.Errorf("%s: evidence %q", tt.name, n.vetoes[0].Evidence)
		}
	}
}

// Guards against a node that advances while the evidence is suspicious, and
// against a hold that lasts too long and makes a good version late.
func TestHoldAndRelease(t *testing.T) {
	n := newSingleNode("h1", "h2", "h3")
	ok := func(mesh.HostID) (OutcomeKind, time.Duration, bool) { return OutcomeOK, 5 * time.Millisecond, false }
	n.round(ok, ok, "h1", "h2", "h3")
	for range 7 {
		n.call("tray-2", "h3", OutcomeOK, 5*time.Millisecond, false)
	}
	for _, h := range []mesh.HostID{"h1", "h2", "h3", "h1", "h2", "h3"} {
		n.call("tray-2", h, OutcomeFailed, 0, false)
	}
	n.tick(15 * time.Second)
	if s := n.c.Moves()[0]; s.State != StateHeld || s.Share != 100 {
		t.Fatalf("got %s with share %d, want held at 100", s.State, s.Share)
	}
	for range 100 {
		n.round(ok, ok, "h1", "h2", "h3")
	}
	for n.now.Before(start.Add(58 * time.Second)) {
		n.tick(200 * time.Millisecond)
	}
	if s := n.c.Moves()[0]; s.State != StateFull || len(n.vetoes) > 0 {
		t.Fatalf("got %s, vetoes %v, want full in time", s.State, n.vetoes)
	}
}

// Guards against a rollback after the watch period, when the old version may
// have no targets any more.
func TestFaultAfterWatchIsOnlyReported(t *testing.T) {
	n := newSingleNode("h1", "h2")
	for n.now.Before(start.Add(time.Minute + WatchPeriod + time.Second)) {
		n.tick(time.Second)
	}
	for i := range 100 {
		n.call("tray-2", []mesh.HostID{"h1", "h2"}[i%2], OutcomeFailed, 0, false)
	}
	if s := n.c.Moves()[0]; s.State != StateDone || s.Share != FullShare || len(n.vetoes) > 0 || len(n.faults) != 1 || s.Fault == "" {
		t.Fatalf("status %+v, vetoes %v, faults %v", s, n.vetoes, n.faults)
	}
}

// Guards against a statistic that exceeds its threshold more often than alpha.
// Each run has bursts of failures that affect both versions, at several shares.
func TestDetectorFalseAlarms(t *testing.T) {
	const (
		runs  = 3000
		alpha = 0.01
	)
	rng := rand.New(rand.NewPCG(7, 7))
	alarms := 0
	for run := range runs {
		share := []float64{0.01, 0.05, 0.25, 0.5}[run%4]
		var d detector
		for step := range 200 {
			p := 0.005
			if step%50 < 10 {
				p = 0.3
			}
			b := batch{hosts: map[mesh.HostID][2]float64{}, share: share, toleratedRate: failureLimit}
			for range 20 {
				bad := 0.0
				if rng.Float64() < p {
					bad = 1
				}
				if rng.Float64() >= share {
					b.otherBad += bad
					continue
				}
				b.calls++
				b.bad += bad
			}
			d.update(&b, 1.0/200)
			if d.logStatistic(1) >= math.Log(1/alpha) {
				alarms++
				break
			}
		}
	}
	// The bound runs*alpha plus four standard deviations of the count.
	if limit := runs*alpha + 4*math.Sqrt(runs*alpha); float64(alarms) > limit {
		t.Errorf("%d alarms in %d runs, want at most %.0f", alarms, runs, limit)
	}
}

// Guards against early messages that exceed the budget of control traffic when
// every call fails.
func TestEvidenceRateIsBounded(t *testing.T) {
	pacer := evidencePacer{tokens: maxEarlyTokens}
	sent := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		pacer.failures++
		if pacer.allow(now, evidencePeriod) {
			sent++
		}
	}
	// One a second, the initial tokens and one token for every 5 s.
	if limit := 60 + maxEarlyTokens + 12 + 1; sent > limit {
		t.Errorf("%d messages in a minute, want at most %d", sent, limit)
	}
}

// Guards against a rollback because of a faulty host that is the only one in its
// data centre: while the version has no faults elsewhere, only the host is
// suspect.
func TestOnlyHostOfDataCentre(t *testing.T) {
	for _, other := range []OutcomeKind{OutcomeOK, OutcomeFailed} {
		vetoes := 0
		self := func() []mesh.HostID { return []mesh.HostID{"h1"} }
		c := NewController(Config{Self: "h1", DataCentre: "a", Hosts: self, MeshHosts: self, OnVeto: func(source.Veto) { vetoes++ }})
		s := testSnapshot(1, start, testRule(start.Add(time.Minute)))
		targets := testTargets("tray-2", "h1", "b1")
		targets[1].DataCentre = "b"
		s.Targets[mesh.ServiceVersion{Service: "orderdesk", Version: "tray-2"}] = targets
		c.Apply(s)
		call := func(v mesh.TargetVersion, h mesh.HostID, dc mesh.DataCentre, k OutcomeKind) {
			c.Observe(Outcome{Service: "orderdesk", Version: v, Route: "GET /menus", Host: h, DataCentre: dc, Kind: k, Latency: time.Millisecond})
		}
		for i := range 50 {
			c.Tick(start.Add(time.Duration(i) * 200 * time.Millisecond))
			c.OutgoingEvidence()
			for range 100 {
				call("tray-1", "h1", "a", OutcomeOK)
				call("tray-1", "b1", "b", OutcomeOK)
			}
			call("tray-2", "h1", "a", OutcomeFailed)
			call("tray-2", "b1", "b", other)
		}
		if want := other == OutcomeFailed; (vetoes > 0) != want {
			t.Errorf("other host %v: %d vetoes, want one: %v", other, vetoes, want)
		}
	}
}
