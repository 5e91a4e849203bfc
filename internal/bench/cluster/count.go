package cluster

import "nutmeghoist.example/nutmeghoist/pkg/membership"

// countReadyTargets counts the ready targets on live hosts.
func countReadyTargets(hosts []membership.Host) int {
	n := 0
	for _, h := range hosts {
		for _, t := range h.Targets {
			if h.Status == membership.StatusAlive && t.State == membership.TargetReady {
				n++
			}
		}
	}
	return n
}
