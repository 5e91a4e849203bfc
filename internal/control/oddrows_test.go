package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// oddRows are rows that another writer could leave among those of the hosts.
func oddRows() map[string]string {
	host := `{"id":"%s","data_centre":"north","peer_address":"%[1]s:1","call_address":"%[1]s:1","incarnation":%s,"status":1%s}`
	phantom := `,"targets":[{"id":"x","service":"orderdesk","version":"v1","slots":9,"state":2,"ready_since":"1970-01-01T00:00:00Z"}]`
	progress := `{"service":"orderdesk","to":"v9","revision":%s,"epoch":%s,"step":1,"permille":0,"state":"%s","elapsed_ms":%s,"holder":"x"}`
	rows := map[string]string{
		"hosts/empty":              "",
		"hosts/null":               "null",
		"hosts/deep":               strings.Repeat("[", 60000),
		"hosts/deep-field":         `{"id":"deep-field","x":` + strings.Repeat(`{"x":`, 12000),
		"hosts/large":              fmt.Sprintf(host, "large", "1e400", ""),
		"hosts/h1":                 fmt.Sprintf(host, "h1", "4611686018427387903", ""),
		"hosts/port":               strings.ReplaceAll(fmt.Sprintf(host, "port", "1", ""), ":1\"", ":99999\""),
		"hosts/negative":           strings.ReplaceAll(fmt.Sprintf(host, "negative", "1", ""), ":1\"", ":-1\""),
		"hosts/no-port":            strings.ReplaceAll(fmt.Sprintf(host, "no-port", "1", ""), ":1\"", "\""),
		"hosts/phantom":            fmt.Sprintf(host, "phantom", "1", phantom),
		"hosts/decider":            fmt.Sprintf(host, "decider", "1", `,"rollouts":[`+fmt.Sprintf(progress, "18446744073709551615", "1", "completed", "1")+`]`),
		"hosts/era":                fmt.Sprintf(host, "era", "1", `,"store_era":65535`),
		"hosts/left/h2/x":          `{"target":"h2v1","started":9e99}`,
		"hosts/left/h2/":           "[]",
		"hosts/request/zz":         `{"key":[1],"ended_at_ms":1e99}`,
		"hosts/decision/":          "{}",
		"hosts/decision/galley":    fmt.Sprintf(strings.ReplaceAll(progress, "orderdesk", "galley"), "1", "1", "no state", "1"),
		"hosts/decision/orderdesk": fmt.Sprintf(progress, "281474976710655", "1", "completed", "1"),
		"rollouts/orderdesk":       fmt.Sprintf(progress, "281474976710655", "18446744073709551615", "running", "9223372036854775807"),
		"op/rollout/galley":        "v9 -5",
		"op/other":                 strings.Repeat("{", 1000),
	}
	return rows
}

// Guards against one odd row among those of the hosts that ends processes, keeps hosts
// from finding each other or from following the store, makes a host invisible, brings a
// target or a decision that is none, or keeps a rollout from ending. All hosts read the
// rows when they start.
func TestOddRowsAreHarmless(t *testing.T) {
	meshTest(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.stopAll()
		m.put("op/config", "1")
		for key, value := range oddRows() {
			m.put(key, value)
		}
		m.startAll()
		m.setVersions("v1")
		time.Sleep(8 * time.Second)
		m.restart(m.order...)
		time.Sleep(8 * time.Second)
		m.setVersions("v1", "v2")
		m.put("op/config", "2")
		time.Sleep(2 * time.Second)
		m.wantVersion(2)
		for _, id := range m.order {
			n := m.nodes[id]
			seen := 0
			for _, other := range m.order {
				if h, ok := n.members.Get(other); ok && h.Status == membership.StatusAlive {
					seen++
				}
			}
			if seen != len(m.order) {
				t.Errorf("%s sees %d hosts of %d", id, seen, len(m.order))
			}
			if panics := n.cfg.Metrics.Get("panics"); panics != nil {
				t.Errorf("%s: panics %v", id, panics)
			}
		}
		if got := m.watch(time.Second); got["v1"] == 0 || got["v9"]+got["v2"]+got[""] > 0 {
			t.Errorf("calls by version: %v", got)
		}
		hosts := make(map[mesh.HostID]bool)
		for _, id := range m.order {
			hosts[id] = true
		}
		for _, target := range targetsByService(m.nodes["h0"].members.Hosts())["orderdesk"] {
			if !hosts[target.Host] {
				t.Errorf("target %s of %s may get calls", target.ID, target.Host)
			}
		}
		m.rollOut("v2", false)
		m.setVersions("v2")
		time.Sleep(time.Second)
		if got := m.watch(time.Second); got["v2"] == 0 || len(got) > 1 {
			t.Errorf("calls by version after the rollout: %v", got)
		}
	})
}
