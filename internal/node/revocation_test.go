package node

import (
	"fmt"
	"net/http"
	"path/filepath"
	"testing"
	"time"
)

// Guards against a host whose key was withdrawn and that is in use again, by calls or
// by links, after the other hosts were started again.
func TestRevokedHostStaysOut(t *testing.T) {
	m := newTestMesh(t)
	crl := filepath.Join(m.dir, "crl.pem")
	check(t, m.ca.Revoke(crl))
	settingsA, settingsB := m.settings("host-a"), m.settings("host-b")
	settingsA.CRLFile = crl
	nodeA := m.start(settingsA)
	nodeB := m.start(settingsB) // does not know the list
	m.startTarget(nodeB)
	m.acceptConfig("route POST /orders to orderdesk tray-1 # Oyuna: orders\n")
	m.waitFor(activationBound, "call through host-a to the target of host-b", func() bool {
		status, _ := postOrder(nodeA, "before")
		return status == http.StatusOK
	})
	check(t, m.ca.Revoke(crl, settingsB.CertFile))
	isolated := func() bool { return nodeA.gossip.LinkCount() == 0 && nodeB.gossip.LinkCount() == 0 }
	m.waitFor(revocationInterval+time.Second, "links closed", isolated)
	if status, _ := postOrder(nodeA, "after"); status == http.StatusOK {
		t.Error("a call reached the host with the revoked key")
	}
	for restart := range 2 {
		check(t, nodeA.stop())
		nodeA = m.start(settingsA)
		for i, until := 0, time.Now().Add(4*time.Second); time.Now().Before(until); i++ {
			if n := nodeA.gossip.LinkCount(); n > 0 {
				t.Fatalf("restart %d: %d links to the host with the revoked key", restart, n)
			}
			if status, _ := postOrder(nodeA, fmt.Sprint("restart-", restart, "-", i)); status == http.StatusOK {
				t.Fatalf("restart %d: a call reached the host with the revoked key", restart)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
