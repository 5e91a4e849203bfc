package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/owner"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	store "nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
	"nutmeghoist.example/nutmeghoist/platform"
)

const (
	stopGrace     = 6 * time.Second
	stopRefuses   = 2200 * time.Millisecond // from SIGTERM until a node refuses calls
	uploadTimeout = 4 * time.Second
	paperwork     = mesh.ServiceName("paperwork")
	clinicKey     = "clinic-key"
	wardKey       = "ward-key" // of a team that is over its limit
)

// process is a node that runs as a process beside a target.
type process struct {
	t     *testing.T
	index int
	cmd   *exec.Cmd
	log   string // path
	ended chan struct{}
}

// Ports of a host.
const (
	portReady = 18540 + iota
	portAnnounce
	portCall
	portCaller
	portMetrics
	portTarget
)

// hostAddress returns an address of a host. The third byte differs between test processes.
func hostAddress(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 61, byte(os.Getpid()%250 + 1), byte(i + 1)}), port)
}

// startProcesses starts nodes that serve uploads of teams, each with a target.
func startProcesses(t *testing.T, hosts int) []*process {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "nutmeghoist-sidecar")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	server := httptest.NewServer(platform.StoreHandler(platformtest.NewWithRates(-1, -1)))
	t.Cleanup(server.Close)
	config := &traffic.Config{
		Version: 1, Services: map[mesh.ServiceName]traffic.Service{paperwork: {HealthPath: "/health", MaxConnections: 480}},
		Limits: traffic.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []traffic.Route{{
			Name: "upload", Host: "mesh.example", Prefix: "/uploads/", LargeBodies: true, Timeout: uploadTimeout,
			LatencyTarget: 1200 * time.Millisecond, Priority: 1, MaxAttempts: 2, Split: []traffic.WeightedService{{Service: paperwork, Weight: 1}},
		}},
		Teams: []traffic.Team{{Name: "clinic"}, {Name: "ward", Rate: 0.01, Burst: 1}},
	}
	value := platform.EncodeConfigWithTeams(config, map[mesh.TeamName][]string{"clinic": {clinicKey}, "ward": {wardKey}})
	must(t, platform.NewStore(server.URL, metrics.NewRegistry()).Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: platform.ConfigKey, Value: value}}}))
	var processes []*process
	for i := range hosts {
		processes = append(processes, startProcess(t, i, dir, program, server.Listener.Addr()))
	}
	for _, p := range processes {
		for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if o := (upload{id: "start", bytes: 100, key: clinicKey}).place(p.index, nil); o.status == http.StatusOK {
				break
			} else if time.Now().After(until) {
				t.Fatalf("node %d serves no calls: %d, %v", p.index, o.status, o.err)
			}
		}
	}
	return processes
}

func startProcess(t *testing.T, i int, dir, program string, storeAddress net.Addr) *process {
	t.Helper()
	p := &process{t: t, index: i, log: filepath.Join(dir, fmt.Sprint("log-", i)), ended: make(chan struct{})}
	settings := filepath.Join(dir, fmt.Sprint("settings-", i))
	writeFile(t, settings, platform.EncodeSettings(&platform.Settings{
		Host: mesh.HostID(fmt.Sprint("host-", i)), DataCentre: "north", IP: hostAddress(i, 0).Addr(), Service: paperwork, FirstStart: true,
		TargetAddress: hostAddress(i, portTarget), CallerAddress: hostAddress(i, portCaller), CallAddress: hostAddress(i, portCall),
		ReadyAddress: hostAddress(i, portReady), AnnounceAddress: hostAddress(i, portAnnounce),
		StoreAddress: storeAddress.String(), MemoryBytes: 184 << 20,
		Bounds: platform.Bounds{Drain: 2 * time.Second, Grace: stopGrace, HeartbeatInterval: 300 * time.Millisecond, RetrySlack: 60},
	}))
	log, err := os.Create(p.log)
	must(t, err)
	defer log.Close()
	p.cmd = exec.Command(program, "--metrics-port", fmt.Sprint(portMetrics))
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings, "GOMAXPROCS=1")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	must(t, p.cmd.Start())
	go func() { _ = p.cmd.Wait(); close(p.ended) }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill(); <-p.ended }) // it may have ended
	startUploadTarget(t, i)
	return p
}

// startUploadTarget starts a target, which never answers calls whose path ends in "never".
func startUploadTarget(t *testing.T, i int) {
	t.Helper()
	l, err := net.Listen("tcp", hostAddress(i, portTarget).String())
	must(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a cut call needs no answer
		switch {
		case strings.HasSuffix(r.URL.Path, "never"):
			<-r.Context().Done()
			return
		case strings.HasPrefix(r.URL.Path, "/uploads/"):
			time.Sleep(100 * time.Millisecond)
		}
		w.Header().Set(platform.Headers.RequestID, r.Header.Get(platform.Headers.RequestID))
		w.Header().Set(platform.Headers.Stamp, "s")
		_, _ = w.Write(make([]byte, 5000))
	})}
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = server.Close() })
	go func() {
		started := time.Now()
		for n := uint64(1); ctx.Err() == nil; n++ {
			path, body := platform.EncodeHeartbeat(owner.Heartbeat{
				ID: mesh.TargetID(fmt.Sprint("target-", i)), Address: l.Addr().String(), Service: paperwork, Version: "v1", Slots: 200,
				Sequence: n, Started: started.UnixMilli(),
			})
			if resp, err := http.Post("http://"+hostAddress(i, portAnnounce).String()+path, "application/json", bytes.NewReader(body)); err == nil {
				_ = resp.Body.Close()
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// upload is a call whose caller sends its body in pieces and reads once all is sent.
type upload struct {
	id      string
	at      time.Duration // from SIGTERM to the first byte
	dialAt  time.Duration // from SIGTERM to the start of the connection; 0 means at
	bytes   int
	takes   time.Duration // from the first byte to the last one
	chunked bool
	key     string
	path    string
}

// callerConn is a connection of a caller, which may carry several calls.
type callerConn struct {
	net.Conn
	r *bufio.Reader
}

func dialNode(i int) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", hostAddress(i, portCaller).String(), time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{c, bufio.NewReader(c)}, nil
}

// uploadOutcome is what a caller observes.
type uploadOutcome struct {
	upload
	status  int  // 0 without a whole response
	refused bool // the connection was not accepted
	reused  bool
	closes  bool // the response closes the connection
	err     error
	took    time.Duration
}

const pieces = 20

// place places the call, on a new connection when c is nil.
func (u upload) place(node int, c *callerConn) (o uploadOutcome) {
	o.upload, o.reused = u, c != nil
	began := time.Now()
	defer func() { o.took = time.Since(began) }()
	if c == nil {
		if c, o.err = dialNode(node); o.err != nil {
			o.refused = true
			return o
		}
		defer c.Close()
	}
	if o.err = u.send(c); o.err != nil {
		return o
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // a failure shows at the read
	resp, err := http.ReadResponse(c.r, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		o.err = fmt.Errorf("response: %w", err)
		return o
	}
	o.status, o.closes = resp.StatusCode, resp.Close
	return o
}

func (u upload) send(c io.Writer) error {
	framing := fmt.Sprintf("Content-Length: %d", u.bytes/pieces*pieces)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	names := platform.Headers
	if _, err := fmt.Fprintf(c, "POST /uploads/%s HTTP/1.1\r\nHost: mesh.example\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n%s\r\n\r\n",
		u.path, names.RequestID, u.id, names.DeadlineMs, uploadTimeout.Milliseconds(), names.APIKey, u.key, framing); err != nil {
		return err
	}
	piece := bytes.Repeat([]byte("x"), u.bytes/pieces)
	if u.chunked {
		piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
	}
	for range pieces {
		time.Sleep(u.takes / pieces)
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	if u.chunked {
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return err
		}
	}
	return nil
}

// stopWhile sends SIGTERM to the first node while the uploads are placed there and callers
// reuse connections until the process has ended, and returns the outcomes.
func stopWhile(processes []*process, uploads []upload, reusing int) []uploadOutcome {
	p := processes[0]
	var mu sync.Mutex
	var outcomes []uploadOutcome
	record := func(o uploadOutcome) {
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, o)
	}
	lead := time.Second
	term := time.Now().Add(lead)
	var wg sync.WaitGroup
	for _, u := range uploads {
		wg.Go(func() {
			var c *callerConn
			if u.dialAt != 0 {
				time.Sleep(time.Until(term.Add(u.dialAt)))
				if c, _ = dialNode(p.index); c != nil {
					defer c.Close()
				}
			}
			time.Sleep(time.Until(term.Add(u.at)))
			u.at = time.Since(term) // later than planned on a busy machine
			record(u.place(p.index, c))
		})
	}
	for i := range reusing {
		wg.Go(func() { p.reuseConnection(i, term, record) })
	}
	time.Sleep(time.Until(term))
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // a process that has ended shows in the outcomes
	wg.Wait()
	<-p.ended
	return outcomes
}

// reuseConnection places calls one after another until the process takes no more connections.
func (p *process) reuseConnection(i int, term time.Time, record func(uploadOutcome)) {
	var c *callerConn
	for k := 0; ; k++ {
		if c == nil {
			var err error
			if c, err = dialNode(p.index); err != nil {
				return
			}
		}
		u := upload{
			id: fmt.Sprintf("reused-%d-%d", i, k), at: time.Since(term), bytes: 3000 * (1 + (i+k)%40), takes: time.Duration((i+k)%4) * 20 * time.Millisecond,
			chunked: k%2 == 0, key: []string{clinicKey, "wrong", wardKey}[k%3],
		}
		o := u.place(p.index, c)
		record(o)
		if o.status == 0 || o.closes {
			_ = c.Close() // its last response is read
			c = nil
		}
		time.Sleep(time.Duration(7+5*i) * time.Millisecond)
	}
}

// logLines returns the lines of the node's log that name the call.
func (p *process) logLines(id string) []string {
	text, err := os.ReadFile(p.log)
	must(p.t, err)
	var lines []string
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, fmt.Sprintf("id=%q", id)) {
			lines = append(lines, line)
		}
	}
	return lines
}

// TestUploadsToAStoppingNodeAreAnswered guards against a node that closes connections after SIGTERM while callers still send what it has refused.
func TestUploadsToAStoppingNodeAreAnswered(t *testing.T) {
	processes := startProcesses(t, 2)
	for range 3 { // uses up the limit of the team
		upload{id: "ward", bytes: 100, key: wardKey}.place(0, nil)
	}
	var uploads []upload
	add := func(u upload) {
		u.id, u.bytes = fmt.Sprint("upload-", len(uploads)), 60_000+len(uploads)*37_000%300_000
		uploads = append(uploads, u)
	}
	for _, ms := range []time.Duration{-400, 0, 20, 400, 1000, 1500, 1900, 2150, 2200, 2220, 2240, 2260, 2280, 3000} {
		at := ms * time.Millisecond
		for _, key := range []string{clinicKey, wardKey, "wrong"} {
			for k, takes := range []time.Duration{0, 400 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
				add(upload{at: at, takes: takes, key: key, chunked: k%2 == 0})
				add(upload{at: at, takes: takes, key: key, chunked: k%2 == 1, dialAt: min(at, stopRefuses) - 150*time.Millisecond})
			}
		}
		if at < stopRefuses {
			add(upload{at: at, key: clinicKey, path: "never"})
		}
	}
	statuses := make(map[int]int)
	for _, o := range stopWhile(processes, uploads, 8) {
		statuses[o.status]++
		switch lines := processes[0].logLines(o.id); {
		case o.status != 0:
		case o.at < stopRefuses-200*time.Millisecond || !o.refused && len(lines) > 0: // later ones may be refused or cross the close of an idle connection
			t.Errorf("%s at %s over %s on connection of %s got no answer: %v\n%s", o.id, o.at, o.takes, o.dialAt, o.err, strings.Join(lines, ""))
		}
	}
	t.Logf("answers: %v", statuses)
	for _, status := range []int{http.StatusOK, http.StatusUnauthorized, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout} {
		if statuses[status] == 0 {
			t.Errorf("no call got %d: %v", status, statuses)
		}
	}
}
