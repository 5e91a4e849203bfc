package distribution_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// reconnectStorm makes 80 hosts dial one that accepts 32 links a second.
func reconnectStorm(m *testMesh) {
	m.startNodes(3, 1)
	n := m.nodes["h000"]
	limited := 0
	for i := range 80 {
		id := mesh.HostID(fmt.Sprintf("x%02d", i))
		tr := m.net.Transport(id, address(id))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		l, err := tr.Dial(ctx, distribution.Endpoint{Host: "h000", Address: address("h000")})
		if errors.Is(err, distribution.ErrBusy) {
			limited++
		}
		if err == nil {
			defer l.Close(distribution.CloseUnneeded)
		}
		cancel()
	}
	if limited == 0 {
		m.t.Fatal("the limit was not reached")
	}
	// While the limit is exhausted, the neighbours lose their links and dial again.
	m.net.Silence("h000", "h001")
	m.net.Silence("h000", "h002")
	stop := time.Now().Add(8 * time.Second)
	for time.Now().Before(stop) {
		time.Sleep(30 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		tr := m.net.Transport("y", address("y"))
		if l, err := tr.Dial(ctx, distribution.Endpoint{Host: "h000", Address: address("h000")}); err == nil {
			l.Close(distribution.CloseUnneeded)
		}
		cancel()
	}
	if inc := n.table.Self().Incarnation; inc != m.firstIncarnation {
		m.t.Errorf("the host at its limit was suspected: incarnation %d, started with %d", inc, m.firstIncarnation)
	}
	m.waitFor(failBound, "links are restored", m.allSeenAlive)
}

// Guards against a join at the design scale that takes too long or too many
// bytes, and against records that stay missing.
func TestJoinAtScale(t *testing.T) {
	const hosts, maxBytes = 2192, 512 << 10 // bytes: under 3 minutes of the budget of 3 KB/s
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 7)
		first := m.startNode("h000", "dc00", address("h000"))
		var records []membership.Host
		for i := 1; i < hosts; i++ {
			records = append(records, membership.Host{
				ID: mesh.HostID(fmt.Sprintf("host-%04d", i)), DataCentre: mesh.DataCentre(fmt.Sprintf("far%02d", i%16)),
				PeerAddress: fmt.Sprintf("10.0.%d.%d:7946", i/256, i%256), CallAddress: fmt.Sprintf("10.0.%d.%d:7947", i/256, i%256),
				Incarnation: 1764800000000 + uint64(i), Sequence: 3, Status: membership.StatusAlive,
				Targets: []membership.Target{{
					ID: "t1", Service: mesh.ServiceName(fmt.Sprintf("service-%d", i%140)), Version: "v-12",
					Address: fmt.Sprintf("10.0.%d.%d:8080", i/256, i%256), Slots: 12, Connections: 130,
					State: membership.TargetReady, ReadySince: time.Now().Add(time.Duration(i) * time.Millisecond),
				}},
			})
		}
		first.table.Merge(records)
		before := m.net.Sent("h000")
		second := m.startNode("h001", "dc00", address("h001"))
		d := m.waitFor(activeBound, "all records", func() bool { return len(second.table.Hosts()) == hosts+1 })
		sent := m.net.Sent("h000") - before
		t.Logf("hosts=%d bytes=%d time=%v", hosts, sent, d)
		if sent > maxBytes {
			t.Errorf("a join takes %d bytes", sent)
		}
		m.stop()
	})
}
