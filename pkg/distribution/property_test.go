package distribution_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/racetest"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Guards against sequences of heads, vetoes, message losses, silent links,
// partitions and crashes after which some host lacks the newest head or a veto,
// or during which the head of a host regresses.
func TestConvergenceUnderRandomFaults(t *testing.T) {
	if racetest.Detector && !racetest.IsChild() {
		// The checks are distributed over child processes, each with its own seed.
		const processes = 10
		checks, seed := rapidFlag(t, "rapid.checks"), rapidFlag(t, "rapid.seed")
		for i := range uint64(processes) {
			racetest.RunInChild(t, fmt.Sprint("-rapid.checks=", (checks+processes-1)/processes), fmt.Sprint("-rapid.seed=", seed+i))
		}
		return
	}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		hosts, dcs := rapid.IntRange(2, 7).Draw(rt, "hosts"), rapid.IntRange(1, 3).Draw(rt, "dcs")
		actions := rapid.SliceOfN(rapid.IntRange(0, 7), 1, 12).Draw(rt, "actions")
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = runActions(t, seed, hosts, dcs, actions) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func rapidFlag(t *testing.T, name string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(flag.Lookup(name).Value.String(), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func runActions(t *testing.T, seed uint64, hosts, dcs int, actions []int) (failure string) {
	m := newMesh(t, seed)
	defer m.stop()
	m.startNodes(hosts, dcs)
	rng := rand.New(rand.NewPCG(seed, 3))
	randomHost := func() mesh.HostID { return m.ids[rng.IntN(len(m.ids))] }
	var revision uint64
	vetoes := make(map[string]bool)
	for i, a := range actions {
		id := randomHost()
		switch {
		case a == 0 && !m.isDown(id) && revision > 0:
			m.crash(id)
		case a == 1 && m.isDown(id):
			m.restart(id)
		case a == 2:
			boundary := randomHost()
			m.update(func() { m.partitioned = func(a, b mesh.HostID) bool { return (a <= boundary) != (b <= boundary) } })
		case a == 3:
			m.update(func() { m.partitioned, m.lossRate, m.maxDelay = nil, 0.15, 600*time.Millisecond })
		case a == 4:
			m.net.Silence(id, randomHost())
		case a == 5 && !m.isDown(id):
			v := fmt.Sprint("v", i)
			m.addVeto(id, mesh.TargetVersion(v))
			vetoes[v] = true
		case !m.isDown(id):
			revision++
			m.announce(id, revision)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
		if f := m.headRegression(); f != "" {
			return f
		}
	}
	return m.checkConvergence(revision, len(vetoes))
}

// checkConvergence ends all faults and checks that the newest head and all vetoes
// that any host holds reach all hosts. It does not expect changes that only
// crashed hosts held, since in production they are read from the platform again.
func (m *testMesh) checkConvergence(revision uint64, vetoes int) string {
	m.update(func() { m.partitioned, m.lossRate, m.maxDelay = nil, 0, time.Millisecond })
	for _, id := range m.ids {
		if m.isDown(id) {
			m.restart(id)
		}
	}
	time.Sleep(time.Second) // until messages in flight from crashed hosts have arrived, since their contents count as known
	var newest uint64
	known := make(map[source.VetoKey]bool)
	for _, n := range m.nodes {
		h, _, _ := n.gossip.Head()
		newest = max(newest, h.Revision)
		for _, v := range n.gossip.Vetoes() {
			known[v.Key()] = true
		}
	}
	if newest > revision || len(known) > vetoes {
		return fmt.Sprintf("revision %d and %d vetoes appeared, only %d and %d were announced", newest, len(known), revision, vetoes)
	}
	for range 120 {
		time.Sleep(500 * time.Millisecond)
		if m.allActive(newest)() && m.allVetoes(len(known))() && m.allSeenAlive() {
			return m.headRegression()
		}
	}
	var state []string
	for _, n := range m.nodes {
		h, _, _ := n.gossip.Head()
		state = append(state, fmt.Sprintf("%s: head %d, active %d, %d vetoes, digest %x, %d links", n.id, h.Revision,
			n.active.Load(), len(n.gossip.Vetoes()), n.table.Digest(), n.gossip.LinkCount()))
	}
	return fmt.Sprintf("a minute after the faults: want head %d, %d vetoes; alive %v; %s",
		newest, len(known), m.allSeenAlive(), strings.Join(state, "; "))
}

func (m *testMesh) headRegression() string {
	for _, n := range m.nodes {
		if n.headRegressed.Load() {
			return fmt.Sprintf("node %s was given a head that is not newer", n.id)
		}
	}
	return ""
}

// Guards against poll rates that exceed the platform's limit, and against hosts
// that go too long without a poll.
func TestPollPeriod(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, hosts := range []int{0, 1, 5, 137} {
		var sum, longest time.Duration
		const draws = 20000
		for range draws {
			d := distribution.PollPeriod(hosts, rng)
			sum += d
			longest = max(longest, d)
		}
		mean := max(time.Duration(hosts)*time.Second/2, 500*time.Millisecond)
		if got := sum / draws; got < mean*95/100 || got > mean*105/100 || longest > 5*mean {
			t.Errorf("%d hosts: mean %v, longest %v", hosts, got, longest)
		}
	}
}
