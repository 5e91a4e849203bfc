package control

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// BenchmarkMeshStart measures the processor time of a host in a mesh whose hosts
// start together, each with a target, and then run for a while.
func BenchmarkMeshStart(b *testing.B) {
	for _, hosts := range []int{30, 100, 295} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				m := newMesh(b)
				m.put("op/config", "1")
				before := processorTime()
				for i := range hosts {
					id := mesh.HostID(fmt.Sprint("h", i))
					n := m.start(id, mesh.DataCentre(fmt.Sprint("dc", i%6)))
					time.AfterFunc(time.Second, func() {
						n.SetTargets([]membership.Target{{
							ID: mesh.TargetID("t-" + id), Service: "orderdesk", Version: "v1", Address: "10.1.0.8:8145",
							Slots: 9, Connections: 1800, State: membership.TargetReady, ReadySince: time.Now(),
						}})
					})
				}
				time.Sleep(8 * time.Second)
				started := processorTime()
				time.Sleep(8 * time.Second)
				idle := processorTime()
				for _, id := range m.order {
					if n := m.nodes[id].LiveHosts(); n != hosts {
						b.Errorf("%s counts %d live hosts of %d", id, n, hosts)
					}
				}
				b.ReportMetric(float64((started-before).Milliseconds())/float64(hosts), "start-ms/host")
				b.ReportMetric(float64((idle-started).Milliseconds())/float64(hosts), "idle-ms/host")
				m.stopAll()
			}
		})
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
