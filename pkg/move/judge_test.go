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

// judgeBench is one node that judges alone.
type judgeBench struct {
	c      *Controller
	now    time.Time
	vetoes []source.Veto
	faults []string
}

func newJudgeBench(fresh ...mesh.HostID) *judgeBench {
	b := &judgeBench{now: start}
	b.c = NewController(Config{
		Self: "h1", DataCentre: "a",
		OnVeto:  func(v source.Veto) { b.vetoes = append(b.vetoes, v) },
		OnFault: func(_ mesh.MoveID, text string) { b.faults = append(b.faults, text) },
	})
	s := testSnapshot(1, start, testRule(start.Add(time.Minute)))
	s.Targets[mesh.ServiceVersion{Service: "orderdesk", Version: "tray-2"}] = testTargets("tray-2", fresh...)
	b.c.Apply(s)
	b.tick(0)
	return b
}

func (b *judgeBench) tick(d time.Duration) {
	b.now = b.now.Add(d)
	b.c.Tick(b.now)
}

func (b *judgeBench) call(v mesh.TargetVersion, h mesh.HostID, k OutcomeKind, latency time.Duration, cold bool) {
	b.c.Observe(Outcome{Service: "orderdesk", Version: v, Route: "GET /menus", Host: h, DataCentre: "a", Kind: k, Latency: latency, Cold: cold})
}

// round runs 100 old calls for each call to the new version on each host.
func (b *judgeBench) round(old, fresh func(h mesh.HostID) (OutcomeKind, time.Duration, bool), hosts ...mesh.HostID) {
	for _, h := range hosts {
		for range 100 {
			k, l, _ := old(h)
			b.call("tray-1", h, k, l, false)
		}
		k, l, cold := fresh(h)
		b.call("tray-2", h, k, l, cold)
	}
	b.tick(200 * time.Millisecond)
}

// Guards against a verdict that blames the wrong cause: common faults, single
// hosts and cold starts must not take a version back, its own faults must.
func TestJudgement(t *testing.T) {
	type behaviour = func(h mesh.HostID) (OutcomeKind, time.Duration, bool)
	const usual = 5 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	always := func(k OutcomeKind, l time.Duration, cold bool) behaviour {
		return func(mesh.HostID) (OutcomeKind, time.Duration, bool) { return k, l, cold }
	}
	ok := always(OutcomeOK, usual, false)
	often := func(mesh.HostID) (OutcomeKind, time.Duration, bool) {
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
		name       string
		old, fresh behaviour
		hosts      []mesh.HostID
		want       string // part of the evidence; "" means no veto
	}{
		{"good", ok, ok, three, ""},
		{"failures", ok, always(OutcomeFailed, usual, false), three, "failed"},
		{"early ends", ok, always(OutcomeEarlyEnd, usual, false), three, "failed"},
		{"common fault", often, often, three, ""},
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
		b := newJudgeBench(tt.hosts...)
		for range 40 {
			b.round(tt.old, tt.fresh, tt.hosts...)
		}
		switch {
		case (tt.want != "") != (len(b.vetoes) == 1):
			t.Errorf("%s: vetoes %+v", tt.name, b.vetoes)
		case tt.want != "" && !strings.Contains(b.vetoes[0].Evidence, tt.want):
			t.Errorf("%s: evidence %q", tt.name, b.vetoes[0].Evidence)
		}
	}
}

// Guards against a node that advances while the evidence is suspicious, and
// against a hold that outlives its reason and makes a good version late.
func TestHoldAndRelease(t *testing.T) {
	b := newJudgeBench("h1", "h2", "h3")
	ok := func(mesh.HostID) (OutcomeKind, time.Duration, bool) { return OutcomeOK, 5 * time.Millisecond, false }
	b.round(ok, ok, "h1", "h2", "h3")
	for range 7 {
		b.call("tray-2", "h3", OutcomeOK, 5*time.Millisecond, false)
	}
	for _, h := range []mesh.HostID{"h1", "h2", "h3", "h1", "h2", "h3"} {
		b.call("tray-2", h, OutcomeFailed, 0, false)
	}
	b.tick(15 * time.Second)
	if s := b.c.Moves()[0]; s.State != StateHeld || s.Share != 100 {
		t.Fatalf("got %s with share %d, want held at 100", s.State, s.Share)
	}
	for range 100 {
		b.round(ok, ok, "h1", "h2", "h3")
	}
	for b.now.Before(start.Add(58 * time.Second)) {
		b.tick(200 * time.Millisecond)
	}
	if s := b.c.Moves()[0]; s.State != StateFull || len(b.vetoes) > 0 {
		t.Fatalf("got %s, vetoes %v, want full in time", s.State, b.vetoes)
	}
}

// Guards against a rollback after the watch period, when the old targets may be gone.
func TestFaultAfterWatchIsOnlyReported(t *testing.T) {
	b := newJudgeBench("h1", "h2")
	for b.now.Before(start.Add(time.Minute + WatchPeriod + time.Second)) {
		b.tick(time.Second)
	}
	for i := range 100 {
		b.call("tray-2", []mesh.HostID{"h1", "h2"}[i%2], OutcomeFailed, 0, false)
	}
	if s := b.c.Moves()[0]; s.State != StateDone || s.Share != FullShare || len(b.vetoes) > 0 || len(b.faults) != 1 || s.Fault == "" {
		t.Fatalf("status %+v, vetoes %v, faults %v", s, b.vetoes, b.faults)
	}
}

// Guards against a statistic that exceeds its bound more often than stated. Each
// run has bursts of failures that hit both versions, at several shares.
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
			b := batch{hosts: map[mesh.HostID][2]float64{}, share: share, limit: failureLimit}
			for range 20 {
				bad := 0.0
				if rng.Float64() < p {
					bad = 1
				}
				if rng.Float64() >= share {
					b.otherBad += bad
					continue
				}
				b.n++
				b.bad += bad
			}
			d.update(&b, 1.0/200)
			if d.value(1) >= math.Log(1/alpha) {
				alarms++
				break
			}
		}
	}
	// The stated bound plus four standard deviations of the count.
	if limit := runs*alpha + 4*math.Sqrt(runs*alpha); float64(alarms) > limit {
		t.Errorf("%d alarms in %d runs, want at most %.0f", alarms, runs, limit)
	}
}

// Guards against early messages that exceed the control budget when every call fails.
func TestEvidencePaceIsBounded(t *testing.T) {
	p := pace{tokens: earlyTokens}
	sent := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		p.failures++
		if p.due(now, evidencePeriod) {
			sent++
		}
	}
	// One a second, the initial tokens and one token for every 5 s.
	if limit := 60 + earlyTokens + 12 + 1; sent > limit {
		t.Errorf("%d messages in a minute, want at most %d", sent, limit)
	}
}

// Guards against a dying host that is the only one in its data centre: while the
// version is well elsewhere, the host is the suspect.
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
