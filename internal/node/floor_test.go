package node

import (
	"bytes"
	"io"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/settings"
	"nutmeghoist.example/nutmeghoist/internal/telemetry"
	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/platform"
)

func newSingleNode(t *testing.T, platformURL string, logs io.Writer) *Node {
	t.Helper()
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	ca, err := tlskeys.NewCA("mesh", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := ca.Write(path("ca.pem"), path("ca-key.pem")); err != nil {
		t.Fatal(err)
	}
	if err := ca.IssueHostCertificate("h1", nil, time.Hour, path("h1.pem"), path("h1-key.pem")); err != nil {
		t.Fatal(err)
	}
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	n, err := New(&settings.Settings{
		Host: "h1", DataCentre: "north", Platform: platformURL, LogLevel: "error",
		CallAddress: anyPort, PeerAddress: anyPort, AdvertisePeer: anyPort, AdvertiseCall: anyPort,
		CAFile: path("ca.pem"), CertFile: path("h1.pem"), KeyFile: path("h1-key.pem"),
	}, telemetry.NewLogger(logs, "error", "h1"), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against a host without neighbours that never establishes its floor
// although the platform answers. This happened when the wait for a first
// neighbour used up the timeout of the read of the head.
func TestFloorWithoutNeighbours(t *testing.T) {
	store := platformtest.New()
	server := httptest.NewServer(platform.StoreHandler(store))
	defer server.Close()
	client := platform.NewStore(server.URL, metrics.NewRegistry())
	head, err := source.New(client, client.Objects()).Accept(t.Context(), source.Submission{
		Text: []byte("route GET /menus to orderdesk tray-1 # Oyuna:\n"), Author: "Oyuna", Token: "t1",
	})
	if err != nil {
		t.Fatal(err)
	}
	n := newSingleNode(t, server.URL, t.Output())
	if err := n.tryEstablishFloor(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got, _, ok := n.gossip.Head(); !ok || got.Revision != head.Revision {
		t.Fatalf("got head %+v, want revision %d", got, head.Revision)
	}
}

// Guards against a node that exits without logging that an address is in use.
func TestRunLogsAnAddressInUse(t *testing.T) {
	occupied := httptest.NewServer(nil)
	defer occupied.Close()
	var logs bytes.Buffer
	n := newSingleNode(t, "http://127.0.0.1:1", &logs)
	n.settings.OperatorAddress = netip.MustParseAddrPort(occupied.Listener.Addr().String())
	if err := n.Run(t.Context()); err == nil || !strings.Contains(logs.String(), "operator listener") {
		t.Fatalf("got %v, logs:\n%s", err, logs.String())
	}
}
