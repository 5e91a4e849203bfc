package move

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// orderModel is the model of a property test that drives two nodes through
// random orders of events.
type orderModel struct {
	now      time.Time
	revision uint64
	rule     rules.Rule
	present  bool
	vetoes   map[int]source.Veto // by attempt; stored by the platform and the peers
	nodes    [2]*Controller
	versions [2]mesh.ConfigVersion // at the last check
	cut      [2]bool               // receives nothing
	vetoed   [2]int                // highest vetoed attempt that the node has received
	shares   [2]Share              // at the last check
	moves    [2]mesh.MoveID        // the moves of shares
}

func (m *orderModel) snapshot() *snapshot.Snapshot {
	s := testSnapshot(m.revision, m.now)
	if m.present {
		s.Rules = []rules.Rule{m.rule}
	}
	s.Vetoed = map[mesh.MoveID]source.Veto{}
	for a, v := range m.vetoes {
		s.Version.Epoch++
		if m.present && a >= m.rule.Attempt {
			s.Vetoed[m.rule.MoveID()] = v
		}
	}
	return s
}

func (m *orderModel) deliver(i int) {
	if m.cut[i] {
		return
	}
	m.nodes[i].Apply(m.snapshot())
	for a, v := range m.vetoes {
		m.nodes[i].ApplyVeto(v)
		m.vetoed[i] = max(m.vetoed[i], a)
	}
}

func (m *orderModel) start(i int) {
	m.nodes[i] = NewController(Config{
		Self: mesh.HostID(fmt.Sprint("n", i)), DataCentre: "a", Instance: uint64(m.now.UnixNano()),
		OnVeto: func(v source.Veto) { m.vetoes[v.Attempt] = v; m.vetoed[i] = max(m.vetoed[i], v.Attempt) },
	})
	m.versions[i], m.shares[i], m.vetoed[i] = mesh.ConfigVersion{}, 0, 0
}

func (m *orderModel) check(t *rapid.T) {
	for i, c := range m.nodes {
		if v := c.Version(); v.Compare(m.versions[i]) < 0 {
			t.Fatalf("node %d: version decreased from %s to %s", i, m.versions[i], v)
		}
		m.versions[i] = c.Version()
		for _, s := range c.Moves() {
			if s.Attempt <= m.vetoed[i] && s.Share > 0 {
				t.Fatalf("node %d: share %d of attempt %d after its veto", i, s.Share, s.Attempt)
			}
			if s.State == StateWithdrawn {
				if s.Move == m.moves[i] {
					m.shares[i] = 0 // a move that reappears starts again
				}
				continue
			}
			if s.Move == m.moves[i] && s.Share < m.shares[i] && s.State != StateTakenBack {
				t.Fatalf("node %d: share decreased from %d to %d in state %s", i, m.shares[i], s.Share, s.State)
			}
			m.moves[i], m.shares[i] = s.Move, s.Share
		}
	}
}

// Guards against an order of veto, advance, edit, partition and restart after
// which a vetoed version gets calls again, the configuration version decreases,
// or a share decreases without a veto.
func TestOrderings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &orderModel{now: start, revision: 1, rule: testRule(start.Add(time.Minute)), present: true, vetoes: map[int]source.Veto{}}
		for i := range m.nodes {
			m.start(i)
			m.deliver(i)
		}
		edit := func() {
			m.revision++
			for i := range m.nodes {
				m.deliver(i)
			}
		}
		node := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(100, 20_000).Draw(t, "ms")) * time.Millisecond)
				for _, c := range m.nodes {
					c.Tick(m.now)
				}
			},
			"clock back": func(t *rapid.T) { m.nodes[node.Draw(t, "node")].Tick(m.now.Add(-time.Minute)) },
			"fail": func(t *rapid.T) {
				i := node.Draw(t, "node")
				observe(m.nodes[i], "tray-1", "h1", OutcomeOK, 500)
				for k := range 30 {
					observe(m.nodes[i], "tray-2", []mesh.HostID{"h1", "h2", "h3"}[k%3], OutcomeFailed, 1)
				}
			},
			"install":         func(t *rapid.T) { m.deliver(node.Draw(t, "node")) },
			"old snapshot":    func(t *rapid.T) { m.nodes[node.Draw(t, "node")].Apply(testSnapshot(0, m.now)) },
			"cut":             func(t *rapid.T) { m.cut[node.Draw(t, "node")] = true },
			"heal":            func(t *rapid.T) { i := node.Draw(t, "node"); m.cut[i] = false; m.deliver(i) },
			"attempt":         func(*rapid.T) { m.rule.Attempt++; m.present = true; edit() },
			"later deadline":  func(*rapid.T) { m.rule.By = m.rule.By.Add(time.Minute); edit() },
			"sooner deadline": func(*rapid.T) { m.rule.By = m.now.Add(MinWindow); edit() },
			"remove":          func(*rapid.T) { m.present = !m.present; edit() },
			"restart": func(t *rapid.T) {
				i := node.Draw(t, "node")
				if m.cut[i] {
					// Skips this action only, not the test: rapid draws another one.
					t.Skip("a restarted node that is cut off has no version floor and serves no calls")
				}
				m.start(i)
				m.deliver(i)
			},
		})
	})
}

func drawEvidence(t *rapid.T) []Evidence {
	n := rapid.Uint64Range(0, 5)
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Evidence {
		return Evidence{
			Move: "m", Side: Side(rapid.IntRange(1, 3).Draw(t, "side")), DataCentre: "a", Instance: n.Draw(t, "instance"),
			SummaryOf: rapid.SampledFrom([]mesh.DataCentre{"", "a", "b"}).Draw(t, "summary of"),
			Targets: []TargetCounters{{
				Host:     rapid.SampledFrom([]mesh.HostID{"h1", "h2"}).Draw(t, "target"),
				Counters: Counters{Calls: n.Draw(t, "calls"), Failed: n.Draw(t, "failed"), Latency: rapid.SliceOfN(n, 0, 4).Draw(t, "latency")},
			}},
		}
	}), 0, 6).Draw(t, "evidence")
}

// Guards against evidence whose effect depends on the order, the grouping or the
// number of its deliveries, and against counts that the encoding loses.
func TestMergeEvidence(t *testing.T) {
	type message struct {
		from mesh.HostID
		list []Evidence
	}
	merged := func(t *rapid.T, messages []message) string {
		c := NewController(Config{Self: "h9", DataCentre: "a"})
		c.moves["m"] = &progress{id: "m", state: StateMoving, byCentre: map[mesh.DataCentre]*centreState{}}
		for _, m := range messages {
			b, err := EncodeEvidence(m.list)
			if err != nil {
				t.Fatal(err)
			}
			list, err := DecodeEvidence(b)
			if err != nil {
				t.Fatal(err)
			}
			c.MergeEvidence(m.from, list)
		}
		out := ""
		for _, s := range []*counterStore{c.peerCounters, c.centreSums} {
			rows := map[string]string{}
			for k, n := range s.moves["m"] {
				if *n.scalars()[0]+*n.scalars()[1]+uint64(len(n.Latency)) > 0 {
					rows[fmt.Sprint(k)] = fmt.Sprint(*n)
				}
			}
			out += fmt.Sprint(rows)
		}
		return out
	}
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) message {
			return message{rapid.SampledFrom([]mesh.HostID{"h1", "h2"}).Draw(t, "from"), drawEvidence(t)}
		}), 1, 5).Draw(t, "messages")
		want := merged(t, list)
		shuffled := rapid.Permutation(list).Draw(t, "shuffled")
		if got := merged(t, append(shuffled, list[:rapid.IntRange(0, len(list)).Draw(t, "again")]...)); got != want {
			t.Fatalf("result depends on order or repeats:\n%s\n%s", got, want)
		}
	})
}

// Guards against miscounting a restarted host, whose counters start from zero:
// its new calls must count at once, and its earlier ones must stay.
func TestHostRestartCounts(t *testing.T) {
	c := NewController(Config{Self: "h9", DataCentre: "a"})
	c.Apply(testSnapshot(1, start, testRule(start.Add(time.Minute))))
	id := c.Moves()[0].Move
	for instance, calls := range []uint64{100, 7, 7} {
		c.MergeEvidence("h1", []Evidence{{
			Move: id, Side: SideOld, DataCentre: "a", Instance: uint64(min(instance, 1)),
			Targets: []TargetCounters{{Counters: Counters{Calls: calls}}},
		}})
	}
	var n uint64
	c.peerCounters.forEach(id, "a", func(_ rowKey, row *Counters) { n += row.Calls })
	if n != 107 {
		t.Fatalf("%d calls, want 107", n)
	}
}

// Guards against a move that starts before its targets exist, or that keeps
// sending calls to a version that has no targets any more.
func TestTargetsAppearAndDisappear(t *testing.T) {
	c := NewController(Config{Self: "h1", DataCentre: "a"})
	key := mesh.ServiceVersion{Service: "orderdesk", Version: "tray-2"}
	statusAt := func(revision uint64, at time.Duration, targets []snapshot.Target) Status {
		s := testSnapshot(revision, start.Add(at), testRule(start.Add(time.Minute)))
		s.Targets[key] = targets
		c.Apply(s)
		c.Tick(start.Add(at))
		return c.Moves()[0]
	}
	draining := testTargets("tray-2", "h1")
	draining[0].State = membership.TargetDraining
	for i, tt := range []struct {
		at      time.Duration
		targets []snapshot.Target
		state   string
		share   Share
	}{
		{0, nil, "waiting", 0},
		{30 * time.Second, draining, "waiting", 0},
		{31 * time.Second, testTargets("tray-2", "h1"), "moving", 100}, // late: the early steps are not skipped
		{35 * time.Second, testTargets("tray-2", "h1"), "moving", 500},
		{36 * time.Second, nil, "held", 0},
		{40 * time.Second, testTargets("tray-2", "h1"), "moving", 500},
		{42 * time.Second, testTargets("tray-2", "h1"), "moving", 2500},
	} {
		if s := statusAt(uint64(i+1), tt.at, tt.targets); string(s.State) != tt.state || s.Share != tt.share {
			t.Errorf("case %d: %s with share %d, want %s with %d", i, s.State, s.Share, tt.state, tt.share)
		}
	}
}
