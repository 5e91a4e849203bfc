package peer_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
)

const (
	idlePeriod  = 10 * time.Second
	headChanges = 10
)

// BenchmarkMesh measures the cost of links. Run it with -benchtime 1x. All nodes
// share one process, so memory is reported per link end.
func BenchmarkMesh(b *testing.B) {
	for _, count := range []int{8, 16, 32} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				before := memoryInUse()
				nodes := newQUICMesh(b, count, 4)
				time.Sleep(15 * time.Second) // lets the nodes close the surplus links opened while joining
				linkEnds := 0
				for _, n := range nodes {
					linkEnds += n.gossip.LinkCount()
				}
				b.ReportMetric(float64(linkEnds)/float64(count), "links/node")
				b.ReportMetric(float64(memoryInUse()-before)/float64(linkEnds)/1024, "heap_KB/link_end")
				sent, packets := totalSent(nodes)
				time.Sleep(idlePeriod)
				s, p := totalSent(nodes)
				seconds := idlePeriod.Seconds() * float64(count)
				b.ReportMetric(float64(s-sent)/seconds, "idle_sent_B/s/node")
				b.ReportMetric(float64(p-packets)/seconds, "idle_packets/s/node")
				measureHeads(b, nodes)
				measureRecords(b, nodes)
			}
		})
	}
}

// rulesText returns about 50 KB of rules that compress like real ones. Each
// revision changes one line of its predecessor.
func rulesText(revision int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	var t bytes.Buffer
	for i := range 500 {
		fmt.Fprintf(&t, "route GET,POST /service-%d/%x to service%d v-%d class normal timeout %ds # op%d: note %x\n",
			i, rng.Uint32(), i%140, rng.IntN(90), 1+rng.IntN(9), i%7, rng.Uint64())
	}
	fmt.Fprintf(&t, "route GET /edited to service1 v-%d # op1: edit\n", revision)
	return t.Bytes()
}

func measureHeads(b *testing.B, nodes []*quicNode) {
	var total, worst time.Duration
	sent, _ := totalSent(nodes)
	start := time.Now()
	for i := 1; i <= headChanges; i++ {
		announce(b, nodes[i%len(nodes)], uint64(i), rulesText(i))
		d := eventually(b, 9*time.Second, "head everywhere", nodes, func(n *quicNode) bool { return n.active.Load() == uint64(i) })
		total += d
		worst = max(worst, d)
		time.Sleep(200 * time.Millisecond)
	}
	s, _ := totalSent(nodes)
	b.Logf("%d changes of %d bytes of rules in %v", headChanges, len(rulesText(1)), time.Since(start))
	b.ReportMetric(float64(s-sent)/float64(len(nodes))/headChanges, "sent_B/change/node")
	b.ReportMetric(float64(total.Microseconds())/headChanges/1000, "head_mean_ms")
	b.ReportMetric(float64(worst.Microseconds())/1000, "head_max_ms")
}

func measureRecords(b *testing.B, nodes []*quicNode) {
	sent, _ := totalSent(nodes)
	start := time.Now()
	const records = 100
	for i := range records {
		nodes[i%len(nodes)].table.UpdateSelf(func(h *membership.Host) {
			h.Targets = []membership.Target{{ID: "t1", Service: "galley", Version: "g-7", Address: "127.0.0.1:9000", Slots: 12, Connections: 130, State: membership.TargetReady, ReadySince: start}}
		})
		time.Sleep(20 * time.Millisecond)
	}
	s, _ := totalSent(nodes)
	b.ReportMetric(float64(s-sent)/float64(len(nodes))/records, "sent_B/record/node")
}

func totalSent(nodes []*quicNode) (bytes, packets uint64) {
	for _, n := range nodes {
		s := n.transport.Stats()
		bytes += s.BytesSent
		packets += s.PacketsSent
	}
	return bytes, packets
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
