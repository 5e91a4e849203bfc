package snapshot

import (
	"fmt"
	"testing"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// BenchmarkBuild builds a snapshot at the design scale: 2,200 hosts with two
// targets each in 140 services, 1,000 rules of which a tenth are moves, and
// 1,000 vetoes, about as many as accumulate from failed moves over years.
func BenchmarkBuild(b *testing.B) {
	const hosts, services, ruleCount, vetoCount = 2200, 140, 1000, 1000
	name := func(i int) mesh.ServiceName { return mesh.ServiceName(fmt.Sprintf("service-%d", i%services)) }
	var rs []rules.Rule
	for i := range ruleCount {
		r := rules.Rule{Line: i + 1, Prefix: fmt.Sprintf("/p/%d", i), Service: name(i), Version: "v1"}
		if i%10 == 0 {
			r.Version, r.From, r.Attempt = "v2", "v1", 1
		}
		rs = append(rs, r)
	}
	var hs []membership.Host
	for i := range hosts {
		h := host(fmt.Sprintf("host-%d", i), membership.StatusAlive)
		for _, v := range []mesh.TargetVersion{"v1", "v2"} {
			h.Targets = append(h.Targets, membership.Target{ID: mesh.TargetID(v), Service: name(i), Version: v, Address: "127.0.0.1:1", State: membership.TargetReady})
		}
		hs = append(hs, h)
	}
	var vs []source.Veto
	for i := range vetoCount {
		vs = append(vs, source.Veto{Service: name(i), Version: mesh.TargetVersion(fmt.Sprint("old-", i)), Attempt: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Build(head, rules.File{Rules: rs}, hs, vs, 1, start); err != nil {
			b.Fatal(err)
		}
	}
}
