package cluster

import (
	"fmt"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Event is a version that came into force on a host, as the host's log says.
type Activation struct {
	Host    string
	At      time.Time
	Version mesh.ConfigVersion
}

// take reads the log lines of all processes.
func (c *Cluster) take(name string, at time.Time, line string) {
	if !strings.Contains(line, "configuration in force") {
		return
	}
	_, rest, found := strings.Cut(line, "version=")
	if !found {
		return
	}
	var v mesh.ConfigVersion
	if _, err := fmt.Sscanf(strings.Trim(strings.Fields(rest)[0], `"`), "%d.%d", &v.Revision, &v.Epoch); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, Activation{Host: name, At: at, Version: v})
}

// Events returns the versions that came into force so far, in order.
func (c *Cluster) Activations() []Activation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Activation(nil), c.events...)
}

// OlderServed counts how often a version came into force on a host that had had
// a newer one in force before, also in an earlier process.
func (c *Cluster) CountDowngrades() int {
	older := 0
	newest := map[string]mesh.ConfigVersion{}
	for _, e := range c.Activations() {
		if e.Version.Compare(newest[e.Host]) < 0 {
			older++
			continue
		}
		newest[e.Host] = e.Version
	}
	return older
}
