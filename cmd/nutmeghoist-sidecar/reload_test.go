package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/sidecar"
	"nutmeghoist.example/nutmeghoist/internal/telemetry"
	"nutmeghoist.example/nutmeghoist/platform"
)

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// live keeps what a reload brought into force.
type live struct {
	bounds  sidecar.Bounds
	address string
}

func (l *live) SetBounds(b sidecar.Bounds)      { l.bounds = b }
func (l *live) SetAddress(baseURL string)       { l.address = baseURL }
func address(text string) netip.AddrPort        { return netip.MustParseAddrPort(text) }
func write(t *testing.T, path string, b []byte) { t.Helper(); must(t, os.WriteFile(path, b, 0o600)) }

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against changed settings that are not in force until a restart,
// against invalid ones that replace valid ones, and against changes that cannot
// be taken up and go unheard.
func TestReload(t *testing.T) {
	s := platform.Settings{
		Host: "h1", DataCentre: "north", IP: netip.MustParseAddr("127.0.0.1"), Service: "galley",
		TargetAddress: address("127.0.0.1:1"), CallerAddress: address("127.0.0.1:2"), CallAddress: address("127.0.0.1:3"),
		ReadyAddress: address("127.0.0.1:4"), AnnounceAddress: address("127.0.0.1:5"),
		StoreAddress: "127.0.0.1:6", MemoryBytes: 1 << 30,
		Bounds: platform.Bounds{Drain: 2 * time.Second, Grace: 6 * time.Second, HeartbeatInterval: time.Second, RetrySlack: 50},
	}
	path := filepath.Join(t.TempDir(), "settings")
	write(t, path, platform.EncodeSettings(&s))
	inUse, err := platform.LoadSettings(path)
	must(t, err)
	var l live
	var logs bytes.Buffer
	r := &reloader{path: path, inUse: inUse, node: &l, store: &l, log: telemetry.NewLogger(&logs, "info", "h1")}

	write(t, path, []byte("Self.Node=h1\n"))
	r.reload()
	if l.address != "" || l.bounds.Drain != 0 || !strings.Contains(logs.String(), "settings are invalid") {
		t.Errorf("invalid settings: got %+v, logs:\n%s", l, logs.String())
	}
	s.Bounds.Drain, s.Bounds.RetrySlack, s.StoreAddress = time.Second, 10, "127.0.0.1:7"
	s.CallAddress = address("127.0.0.1:9")
	write(t, path, platform.EncodeSettings(&s))
	logs.Reset()
	r.reload()
	if l.address != "http://127.0.0.1:7" || l.bounds.Drain != time.Second || l.bounds.RetrySlack != 10 || l.bounds.Grace != 6*time.Second {
		t.Errorf("got %+v", l)
	}
	for _, want := range []string{`settings="call address"`, "wait for the next start", "drain=1000", "settings read again"} {
		if !strings.Contains(logs.String(), want) {
			t.Errorf("%q is missing from:\n%s", want, logs.String())
		}
	}
}

// Guards against a change without a signal that goes unnoticed.
func TestReloadWithoutSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write(t, path, []byte("a=1\n"))
	var logs syncBuffer
	r := newReloader(path, &platform.Settings{}, nil, nil, telemetry.NewLogger(&logs, "info", "h1"))
	go r.run(nil)
	write(t, path, []byte("a=2\n"))
	for range 100 {
		if strings.Contains(logs.String(), "settings are invalid") {
			return
		}
		time.Sleep(settingsPeriod / 20)
	}
	t.Errorf("the change was not read; logs:\n%s", logs.String())
}

// hangUpVariable makes the test binary a node that stops, see TestHangUpWhileStopping.
const hangUpVariable = "NUTMEGHOIST_TEST_HANG_UP"

// Guards against a hang-up signal that ends a node which is stopping and has
// calls in flight.
func TestHangUpWhileStopping(t *testing.T) {
	if path := os.Getenv(hangUpVariable); path != "" {
		hangUpWhileStopping(path)
	}
	cmd := exec.Command(os.Args[0], "-test.run", "^TestHangUpWhileStopping$")
	cmd.Env = append(os.Environ(), hangUpVariable+"="+filepath.Join(t.TempDir(), "settings"))
	out, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "calls are answered") {
		t.Fatalf("the process ended by %v:\n%s", err, out)
	}
}

// hangUpWhileStopping plays the signals of a stop and ends the process.
func hangUpWhileStopping(path string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go newReloader(path, &platform.Settings{}, nil, nil, telemetry.NewLogger(io.Discard, "info", "h1")).run(hangUps())
	time.Sleep(50 * time.Millisecond)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			fmt.Println(err)
			os.Exit(exitFailed)
		}
		<-ctx.Done()
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Println("calls are answered")
	os.Exit(exitOK)
}
