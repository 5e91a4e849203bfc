package cluster

import (
	"fmt"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Activation is a version that came into force on a host, read from its log.
type Activation struct {
	Host    string
	At      time.Time
	Version mesh.ConfigVersion
}

// recordActivation records the activation that a log line of a process reports,
// if any.
func (c *Cluster) recordActivation(name string, at time.Time, line string) {
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
	c.activations = append(c.activations, Activation{Host: name, At: at, Version: v})
}

// Activations returns the activations so far, in order.
func (c *Cluster) Activations() []Activation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Activation(nil), c.activations...)
}

// CountDowngrades counts how often a version came into force on a host after a
// newer one, also across restarts of the host's process.
func (c *Cluster) CountDowngrades() int {
	downgrades := 0
	newest := map[string]mesh.ConfigVersion{}
	for _, a := range c.Activations() {
		if a.Version.Compare(newest[a.Host]) < 0 {
			downgrades++
			continue
		}
		newest[a.Host] = a.Version
	}
	return downgrades
}
