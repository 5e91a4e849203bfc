package distribution_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// Guards against any order of heads, vetoes, losses, silent links, cuts and
// crashes after which some host lacks the newest head or a veto, or after
// which a head fell.
func TestAnyOrderConverges(t *testing.T) {
	if raceDetector && os.Getenv(childVar) == "" {
		// The checks are spread over processes, each with its own seed.
		const processes = 10
		checks, seed := rapidFlag(t, "rapid.checks"), rapidFlag(t, "rapid.seed")
		for i := range uint64(processes) {
			ownProcess(t, fmt.Sprint("-rapid.checks=", (checks+processes-1)/processes), fmt.Sprint("-rapid.seed=", seed+i))
		}
		return
	}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		hosts, dcs := rapid.IntRange(2, 7).Draw(rt, "hosts"), rapid.IntRange(1, 3).Draw(rt, "dcs")
		actions := rapid.SliceOfN(rapid.IntRange(0, 7), 1, 12).Draw(rt, "actions")
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = runActions(t, seed, hosts, dcs, actions) })
		if fault != "" {
			rt.Fatal(fault)
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

func runActions(t *testing.T, seed uint64, hosts, dcs int, actions []int) (fault string) {
	m := newMesh(t, seed)
	defer m.stop()
	m.build(hosts, dcs)
	rng := rand.New(rand.NewPCG(seed, 3))
	any := func() mesh.HostID { return m.ids[rng.IntN(len(m.ids))] }
	var revision uint64
	vetoes := make(map[string]bool)
	for i, a := range actions {
		id := any()
		switch {
		case a == 0 && !m.isDown(id) && revision > 0:
			m.kill(id)
		case a == 1 && m.isDown(id):
			m.restart(id)
		case a == 2:
			cut := any()
			m.set(func() { m.split = func(a, b mesh.HostID) bool { return (a <= cut) != (b <= cut) } })
		case a == 3:
			m.set(func() { m.split, m.loss, m.maxDelay = nil, 0.15, 600*time.Millisecond })
		case a == 4:
			m.net.Silence(id, any())
		case a == 5 && !m.isDown(id):
			v := fmt.Sprint("v", i)
			m.veto(id, mesh.TargetVersion(v))
			vetoes[v] = true
		case !m.isDown(id):
			revision++
			m.announce(id, revision)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
		if f := m.headsFall(); f != "" {
			return f
		}
	}
	return m.settle(revision, len(vetoes))
}

// settle ends all faults and checks that what any host knows reaches all. News
// that only crashed hosts had is read from the platform again.
func (m *meshOf) settle(revision uint64, vetoes int) string {
	m.set(func() { m.split, m.loss, m.maxDelay = nil, 0, time.Millisecond })
	for _, id := range m.ids {
		if m.isDown(id) {
			m.restart(id)
		}
	}
	time.Sleep(time.Second) // messages of crashed hosts that are under way arrive and count as known
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
		if m.allActive(newest)() && m.allVetoes(len(known))() && m.allAlive() {
			return m.headsFall()
		}
	}
	var state []string
	for _, n := range m.nodes {
		h, _, _ := n.gossip.Head()
		state = append(state, fmt.Sprintf("%s: head %d, active %d, %d vetoes, digest %x, %d links", n.id, h.Revision,
			n.active.Load(), len(n.gossip.Vetoes()), n.table.Digest(), n.gossip.LinkCount()))
	}
	return fmt.Sprintf("a minute after the faults: want head %d, %d vetoes; alive %v; %s",
		newest, len(known), m.allAlive(), strings.Join(state, "; "))
}

func (m *meshOf) headsFall() string {
	for _, n := range m.nodes {
		if n.fell.Load() {
			return fmt.Sprintf("node %s was given a head that is not newer", n.id)
		}
	}
	return ""
}

// Guards against polls that exceed the platform's budget or leave a host
// without news for long.
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
