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

// recorder records the settings that a reload applies.
type recorder struct {
	bounds  sidecar.Bounds
	buffers int64
	address string
}

func (r *recorder) SetBounds(b sidecar.Bounds) { r.bounds = b }
func (r *recorder) SetBufferBytes(n int64)     { r.buffers = n }
func (r *recorder) SetAddress(baseURL string)  { r.address = baseURL }
func address(text string) netip.AddrPort       { return netip.MustParseAddrPort(text) }
func writeFile(t *testing.T, path string, b []byte) {
	t.Helper()
	must(t, os.WriteFile(path, b, 0o600))
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against changed settings that are not applied until a restart, against
// invalid settings that replace valid ones, and against changes that cannot be
// applied and are not logged.
func TestReload(t *testing.T) {
	s := platform.Settings{
		Host: "h1", DataCentre: "north", IP: netip.MustParseAddr("127.0.0.1"), Service: "galley",
		TargetAddress: address("127.0.0.1:1"), CallerAddress: address("127.0.0.1:2"), CallAddress: address("127.0.0.1:3"),
		ReadyAddress: address("127.0.0.1:4"), AnnounceAddress: address("127.0.0.1:5"),
		StoreAddress: "127.0.0.1:6", MemoryBytes: 1 << 30,
		Bounds: platform.Bounds{Drain: 2 * time.Second, Grace: 6 * time.Second, HeartbeatInterval: time.Second, RetrySlack: 50},
	}
	path := filepath.Join(t.TempDir(), "settings")
	writeFile(t, path, platform.EncodeSettings(&s))
	inForce, err := platform.LoadSettings(path)
	must(t, err)
	var applied recorder
	var logs bytes.Buffer
	r := &reloader{path: path, inForce: inForce, node: &applied, store: &applied, log: telemetry.NewLogger(&logs, "info", "h1")}

	writeFile(t, path, []byte("Self.Node=h1\n"))
	r.reload()
	if applied.address != "" || applied.bounds.Drain != 0 || !strings.Contains(logs.String(), "settings are invalid") {
		t.Errorf("invalid settings: got %+v, logs:\n%s", applied, logs.String())
	}
	s.Bounds.Drain, s.Bounds.RetrySlack, s.StoreAddress = time.Second, 10, "127.0.0.1:7"
	s.CallAddress = address("127.0.0.1:9")
	writeFile(t, path, platform.EncodeSettings(&s))
	logs.Reset()
	r.reload()
	if applied.address != "http://127.0.0.1:7" || applied.bounds.Drain != time.Second || applied.bounds.RetrySlack != 10 || applied.bounds.Grace != 6*time.Second || applied.buffers != 1<<28 {
		t.Errorf("got %+v", applied)
	}
	for _, want := range []string{`settings="call address"`, "wait for the next start", "drain=1000", "settings read again"} {
		if !strings.Contains(logs.String(), want) {
			t.Errorf("%q is missing from:\n%s", want, logs.String())
		}
	}
}

// Guards against a changed file that is not read without a signal.
func TestReloadWithoutSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	writeFile(t, path, []byte("a=1\n"))
	var logs syncBuffer
	r := newReloader(path, &platform.Settings{}, nil, nil, telemetry.NewLogger(&logs, "info", "h1"))
	go r.run(nil)
	writeFile(t, path, []byte("a=2\n"))
	for range 100 {
		if strings.Contains(logs.String(), "settings are invalid") {
			return
		}
		time.Sleep(settingsCheckInterval / 20)
	}
	t.Errorf("the change was not read; logs:\n%s", logs.String())
}

// hangUpVariable is the environment variable that makes the test binary act as
// a stopping node. See TestHangUpWhileStopping.
const hangUpVariable = "NUTMEGHOIST_TEST_HANG_UP"

// Guards against SIGHUP ending a node that is stopping and has calls in flight.
func TestHangUpWhileStopping(t *testing.T) {
	if path := os.Getenv(hangUpVariable); path != "" {
		hangUpWhileStopping(path)
	}
	cmd := exec.Command(os.Args[0], "-test.run", "^TestHangUpWhileStopping$")
	cmd.Env = append(os.Environ(), hangUpVariable+"="+filepath.Join(t.TempDir(), "settings"))
	out, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "survived SIGHUP") {
		t.Fatalf("the process ended by %v:\n%s", err, out)
	}
}

// hangUpWhileStopping sends SIGTERM and then SIGHUP to its own process, and
// exits with exitOK when it survives them.
func hangUpWhileStopping(path string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go newReloader(path, &platform.Settings{}, nil, nil, telemetry.NewLogger(io.Discard, "info", "h1")).run(notifyHangUps())
	time.Sleep(50 * time.Millisecond)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			fmt.Println(err)
			os.Exit(exitFailed)
		}
		<-ctx.Done()
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Println("survived SIGHUP")
	os.Exit(exitOK)
}
