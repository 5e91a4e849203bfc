package snapshot_test

import (
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/snapshot"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// A custom proxy serves the snapshot that the Holder returns. The Holder refuses
// older versions.
func ExampleHolder() {
	rs, findings := rules.Parse("mesh.rules", []byte("route GET /menus to orderdesk tray-1 # Oyuna: tray menus\n"))
	if err := findings.Err(); err != nil {
		fmt.Println(err)
		return
	}
	hosts := []membership.Host{{
		ID: "h1", DataCentre: "north", CallAddress: "127.0.0.11:8443", Status: membership.StatusAlive,
		Targets: []membership.Target{{
			ID: "a", Service: "orderdesk", Version: "tray-1", Address: "127.0.0.11:9000",
			Slots: 12, Connections: 130, State: membership.TargetReady,
		}},
	}}
	var holder snapshot.Holder
	for _, revision := range []uint64{2, 1} {
		head := source.Head{Revision: revision, Hash: "a hash", AcceptedAt: time.Unix(0, 0)}
		s, err := snapshot.Build(head, rs, hosts, nil, 1, time.Unix(0, 0))
		if err != nil {
			fmt.Println(err)
			return
		}
		if err := holder.Swap(s); err != nil {
			fmt.Println("refused:", err)
		}
	}
	s := holder.Load()
	targets := s.Targets[mesh.ServiceVersion{Service: "orderdesk", Version: "tray-1"}]
	fmt.Println("in force:", s.Version, "with", len(targets), "target on", targets[0].Host)
	// Output:
	// refused: version 1.0 generation 1 is not newer than version 2.0 generation 1 in force
	// in force: 2.0 with 1 target on h1
}
