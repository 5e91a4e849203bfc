package distribution

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// dialRecorder is a Transport that records dials. Only reachable hosts answer.
type dialRecorder struct {
	mu        sync.Mutex
	dials     map[mesh.HostID]int
	reachable map[mesh.HostID]bool
	refuses   bool // hosts that are not reachable refuse the connection at once
}

func (d *dialRecorder) Serve(ctx context.Context, _ Handler) error { <-ctx.Done(); return nil }

func (d *dialRecorder) Dial(ctx context.Context, to Endpoint) (Link, error) {
	d.mu.Lock()
	d.dials[to.Host]++
	ok, refuses := d.reachable[to.Host], d.refuses
	d.mu.Unlock()
	switch {
	case ok:
		return newStubLink(to.Host, true), nil
	case refuses:
		return nil, errors.New("connection refused")
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// count returns the number of dials, and of the hosts that were dialled.
func (d *dialRecorder) count() (dials, hosts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.dials {
		dials += n
	}
	return dials, len(d.dials)
}

// startDiscovery runs the engine of a host that knows no other one.
func startDiscovery(t *testing.T, transport *dialRecorder) (*Gossip, *membership.Table) {
	t.Helper()
	table := membership.NewTable(membership.Host{ID: "self", DataCentre: "north", Incarnation: 1}, membership.Options{})
	transport.dials = make(map[mesh.HostID]int)
	g, err := New(Config{Members: table, Transport: transport, ActiveVersion: func() (v mesh.ConfigVersion) { return }, Rand: rand.New(rand.NewPCG(1, 2))})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	synctest.Wait()
	return g, table
}

func candidateOf(id string, dc mesh.DataCentre, version uint64) Candidate {
	return Candidate{Host: membership.Host{ID: mesh.HostID(id), DataCentre: dc, PeerAddress: id + ":1", Incarnation: 1, Status: membership.StatusAlive}, Version: version}
}

// Guards against candidates that count as live hosts for good, and against hosts that may
// be cut off and do not count at all.
func TestCandidatesThatDoNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &dialRecorder{}
		g, table := startDiscovery(t, transport)
		var list []Candidate
		for i := range 40 {
			list = append(list, candidateOf(fmt.Sprint("n", i), "north", uint64(i)), candidateOf(fmt.Sprint("s", i), "south", uint64(i)))
		}
		g.Discover(list)
		if presumed, counted := len(g.Presumed()), g.UnconfirmedHosts(); presumed != 80 || counted != 80 {
			t.Errorf("at the start %d hosts are presumed alive and %d count, not 80", presumed, counted)
		}
		time.Sleep(12 * time.Second)
		if presumed, counted := len(g.Presumed()), g.UnconfirmedHosts(); presumed != 0 || counted != 80 {
			t.Errorf("a host that reaches no other one presumes %d hosts alive and counts %d", presumed, counted)
		}
		table.Merge([]membership.Host{{ID: "other", DataCentre: "north", Incarnation: 1, Status: membership.StatusAlive}})
		time.Sleep(time.Second)
		if counted := g.UnconfirmedHosts(); counted != 40 {
			t.Errorf("%d hosts count, not the 40 of the data centre that may be cut off", counted)
		}
		time.Sleep(unreachableTime)
		if counted := g.UnconfirmedHosts(); counted != 0 {
			t.Errorf("%d hosts count after %s", counted, unreachableTime)
		}
	})
}

// Guards against live hosts that are found only after those that have ended: the ones of
// the latest and of the oldest rows come first.
func TestLatestAndOldestCandidatesAreDialledFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &dialRecorder{reachable: map[mesh.HostID]bool{"n999": true, "n0": true}}
		g, _ := startDiscovery(t, transport)
		var list []Candidate
		for i := range 1000 {
			list = append(list, candidateOf(fmt.Sprint("n", i), "north", uint64(i+1)))
		}
		g.Discover(list)
		time.Sleep(3 * time.Second) // a dial takes a second here
		if !g.hasLink("n999") || !g.hasLink("n0") {
			dials, _ := transport.count()
			t.Errorf("the hosts are not linked after %d dials", dials)
		}
	})
}

// Guards against a candidate that is given up although it has only just started, or was
// cut off for a while.
func TestCandidatesAreDialledAgain(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			transport := &dialRecorder{refuses: refuses}
			g, _ := startDiscovery(t, transport)
			g.Discover([]Candidate{candidateOf("late", "north", 1)})
			time.Sleep(100 * time.Millisecond)
			wait := 2 * time.Second
			if !refuses {
				time.Sleep(10 * time.Minute)
				wait = 2 * time.Minute
			}
			transport.mu.Lock()
			transport.reachable = map[mesh.HostID]bool{"late": true}
			transport.mu.Unlock()
			time.Sleep(wait)
			if !g.hasLink("late") {
				dials, _ := transport.count()
				t.Errorf("refuses %v: no link after %v, %d dials", refuses, wait, dials)
			}
		})
	}
}

// Guards against hosts that are dialled, and linked, although a neighbour has sent their
// records.
func TestKnownCandidatesAreNotDialled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &dialRecorder{reachable: map[mesh.HostID]bool{}}
		g, table := startDiscovery(t, transport)
		var list []Candidate
		var records []membership.Host
		for i := range 200 {
			c := candidateOf(fmt.Sprint("n", i), "north", uint64(i+1))
			list, records = append(list, c), append(records, c.Host)
			transport.reachable[c.Host.ID] = true
		}
		g.Discover(list)
		time.Sleep(presumeTime / 2)
		table.Merge(records)
		time.Sleep(time.Minute)
		if _, hosts := transport.count(); hosts > 12 {
			t.Errorf("%d hosts were dialled", hosts)
		}
		if pending, unreachable := g.SearchState(); pending+unreachable+g.UnconfirmedHosts() != 0 {
			t.Errorf("%d hosts are to be dialled, %d did not answer, %d count as unconfirmed", pending, unreachable, g.UnconfirmedHosts())
		}
	})
}

// Guards against a host that is started again and is found late by the others, since many
// have ended before it.
func TestHostsThatFailedLastAreDialledFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, table := startDiscovery(t, &dialRecorder{})
		for i := range 300 {
			table.Merge([]membership.Host{{ID: mesh.HostID(fmt.Sprint("h", i)), DataCentre: "north", Incarnation: 1, Status: membership.StatusFailed}})
			time.Sleep(time.Second)
		}
		const draws = 2000
		last, before := 0, make(map[mesh.HostID]bool)
		for range draws {
			e, _ := g.rejoinEndpoint(table.Hosts())
			if e.Host == "h299" {
				last++
			}
			before[e.Host] = true
		}
		if last < draws/8 || len(before) < 100 {
			t.Errorf("the last one was drawn %d times of %d, and %d different ones", last, draws, len(before))
		}
	})
}
