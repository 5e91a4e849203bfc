// Command _lab runs the review's scripted cases. It starts nutmeghoist-sidecar
// processes on loopback addresses beside stand-ins of the store, the servers and
// the clients, and checks one rule from what servers and clients see.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	wire "nutmeghoist.example/nutmeghoist/platform"
)

// The figures of the small site trenzasoga-mesh.
const (
	beatInterval = 1500 * time.Millisecond
	drainTime    = 2 * time.Second
	touch        = 3 * time.Second
	configApply  = 2 * time.Second
	slots        = 9
	restartDelay = 500 * time.Millisecond
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	portReady    = 18141
	portControl  = 18144
	portServer   = 18145
	portInbound  = 18146
	portOutbound = 18147
	portMetrics  = 19464
)

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

type lab struct {
	dir     string
	program string
	trouble bool
	started time.Time
	store   *platformtest.Store
	storeAt string
	prefix  string
	nodes   []*node

	mu      sync.Mutex
	record  *bufio.Writer
	runs    []run
	answers []answer
	bad     map[string][]time.Time // bad answers by version
}

// run is a request that a server began to work on.
type run struct {
	at         time.Time
	id, server string
}

// answer is what a client got for a request; status 0 means none.
type answer struct {
	sent, ended time.Time
	id          string
	node        int
	status      int
}

func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) at(t time.Time) float64 { return t.Sub(l.started).Seconds() }

// open starts the store stand-in and writes the first configuration.
func (l *lab) open(config string) error {
	l.store = platformtest.NewWithRates(400, 2000)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, wire.StoreHandler(l.store)) }()
	for range 50 {
		l.prefix = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
		probe, err := net.Listen("tcp", l.prefix+".1:"+fmt.Sprint(portInbound))
		if err == nil {
			_ = probe.Close()
			return l.writeConfig(config)
		}
	}
	return errSetup
}

func (l *lab) writeConfig(config string) error {
	l.note("operator writes %s", config)
	return l.store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: wire.ConfigKey, Value: []byte(config)}}})
}

// configText returns a configuration with one safe and one unsafe route for each service.
func configText(version int) string {
	route := func(name, prefix, kind, timeout, service string) string {
		return fmt.Sprintf(`{"Name":%q,"Host":"mesh.example","Prefix":%q,"Kind":%q,"Timeout":%q,"TargetLatency":"200ms","Priority":1,"Service":%q,"MaxAttempts":2}`,
			name, prefix, kind, timeout, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}`, name)
	}
	return fmt.Sprintf(`{"Version":"r%d","Routes":[%s,%s,%s],"Services":[%s,%s],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}`,
		version, route("medida", "/medida/", "safe", "1000ms", "pedidos"), route("pedido", "/pedido/", "unsafe", "1000ms", "pedidos"),
		route("fibra", "/fibra/", "safe", "1000ms", "bodega"), service("pedidos"), service("bodega"))
}

// node is one machine: its process and its server.
type node struct {
	lab     *lab
	index   int
	name    string
	zone    string
	service string

	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
}

func (n *node) address(port int) string {
	return fmt.Sprintf("%s.%d:%d", n.lab.prefix, n.index+1, port)
}

// addNodes adds the nine machines of the small site, with its names.
func (l *lab) addNodes() {
	for i, place := range []string{
		"otavalo-1 pedidos", "otavalo-2 pedidos", "cotacachi-1 pedidos", "cotacachi-2 pedidos", "ibarra-1 pedidos",
		"otavalo-3 bodega", "otavalo-4 bodega", "cotacachi-3 bodega", "ibarra-2 bodega",
	} {
		name, service, _ := strings.Cut(place, " ")
		zone, _, _ := strings.Cut(name, "-")
		l.nodes = append(l.nodes, &node{lab: l, index: i, name: "sidecar-" + name, zone: zone, service: service})
	}
}

func (n *node) settingsPath() string { return filepath.Join(n.lab.dir, n.name+".conf") }

func (n *node) writeSettings(bootstrap bool) error {
	ip := fmt.Sprintf("%s.%d", n.lab.prefix, n.index+1)
	text := strings.Join([]string{
		"Self.Node=" + n.name, "Self.Role=node", "Self.MachineClass=sidecar", "Self.Serves=sidecar", "Self.Ip=" + ip,
		"Self.Zone=" + n.zone, "Self.Region=sierra-norte", "Self.LossCounted=false", fmt.Sprintf("Self.Bootstrap=%v", bootstrap),
		"Self.Limits.MemoryMb=134", "Self.Limits.MaxFds=4100", "Self.AppAddr=" + n.address(portServer), "Self.Service=" + n.service,
		"Network.Listen.Inbound=" + n.address(portInbound), "Network.Listen.Outbound=" + n.address(portOutbound),
		"Network.Listen.Ready=" + n.address(portReady), "Network.Listen.Control=" + n.address(portControl),
		"Network.PortRange=17380,17395", "Network.SeedAddrs=", "Platform.BeatInterval=1500ms",
		"Platform.Platform.Address=" + n.lab.storeAt, "Platform.Platform.form=table", "Platform.Platform.WritesPerS=400", "Platform.Platform.ReadsPerS=2000",
		"Terms.Contracts=base,drain,config,cost,retry,recover,rollout,platform",
		"Terms.ContractParams.Touch=3000ms", "Terms.ContractParams.Ack=4000ms", "Terms.ContractParams.Drain=2000ms", "Terms.ContractParams.Grace=6s",
		"Terms.ContractParams.ConfigApply=2000ms", "Terms.ContractParams.RetryBudgetRatio=0.2", "Terms.ContractParams.BudgetWindow=10s",
		"Terms.ContractParams.BudgetSlack=58", "Terms.ContractParams.ExposeShare=0.1", "Terms.ContractParams.ExposeSlack=50",
		"Terms.ContractParams.Rollback=5000ms", "Terms.ContractParams.Recover=15s", "",
	}, "\n")
	return os.WriteFile(n.settingsPath(), []byte(text), 0o600)
}

// start starts the node's process with the command of the deploy file.
func (n *node) start(bootstrap bool) error {
	if err := n.writeSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.lab.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own descriptor
	cmd := exec.Command(n.lab.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire.SettingsVariable + "=" + n.settingsPath(), fmt.Sprintf("NUTMEGHOIST_METRICS_PORT=%d", portMetrics)}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd, n.started = cmd, time.Now()
	n.mu.Unlock()
	n.lab.note("process of %s starts", n.name)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s) // it may have ended
}

// kill sends SIGKILL and waits for the end of the process.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	_ = cmd.Wait() // it was killed
	n.lab.note("process of %s is killed", n.name)
}

func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + n.address(portReady) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // not used
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (l *lab) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(l.nodes, func(n *node) bool { return !n.ready() }) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%w: not all nodes are ready", errSetup)
		}
	}
}

// workTime is about what the site's sheet says of the services' requests.
var workTime = map[string]time.Duration{"pedidos": 60 * time.Millisecond, "bodega": 80 * time.Millisecond}

// server is a stand-in of an application server.
type server struct {
	node    *node
	id      string
	version string
	born    int64
	address string
	work    time.Duration

	mu       sync.Mutex
	sequence uint64
	state    string
	silent   bool // it sends no more status reports
	listener net.Listener
	conns    map[net.Conn]bool
	ended    bool
	failing  atomic.Int64 // how many of a hundred answers are failures
	// underLoad means that loadedPercent of a hundred answers are failures while the
	// server gets loadRate requests a second or more.
	underLoad atomic.Bool
	arrivals  []time.Time // in the last loadWindow; guarded by mu
	busy      atomic.Int64
}

func (n *node) startServer(id, version string, port int) (*server, error) {
	s := &server{node: n, id: id, version: version, born: time.Now().UnixMilli(), address: n.address(port), state: "ready", work: workTime[n.service], conns: make(map[net.Conn]bool)}
	var err error
	if s.listener, err = net.Listen("tcp", s.address); err != nil {
		return nil, err
	}
	n.lab.note("server %s starts", id)
	go s.accept()
	go s.report()
	return s, nil
}

func (s *server) body() (path, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return "/v1/instances/" + s.id + "/heartbeat", fmt.Sprintf(
		`{"Address":%q,"Info":{"Service":%q,"Version":%q,"Zone":%q,"Slots":%d},"Status":{"State":%q,"Sequence":%d,"ColdLeft":"0ms"},"born":%d}`,
		s.address, s.node.service, s.version, s.node.zone, slots, s.state, s.sequence, s.born)
}

// report sends a status report in each interval until the server falls silent.
func (s *server) report() {
	for {
		s.mu.Lock()
		quiet := s.silent || s.ended
		s.mu.Unlock()
		if quiet {
			return
		}
		wait := beatInterval
		if path, text := s.body(); s.post(path, text) != nil {
			wait = 300 * time.Millisecond
		}
		time.Sleep(wait)
	}
}

// post sends a message to the Control address of the server's machine.
func (s *server) post(path, text string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.node.address(portControl)+path, "application/json", strings.NewReader(text))
	if err != nil {
		return err
	}
	_ = resp.Body.Close() // not used
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.listener.Close() // it ends
	for c := range s.conns {
		_ = c.Close() // it ends
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close() // it ends
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || !s.handle(c, req) {
			return
		}
	}
}

func (s *server) handle(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Request-Id")
	if expect := req.Header.Get("Expect-Instance"); expect != "" && expect != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, id)
		return err == nil
	}
	if s.busy.Add(1) > slots {
		s.busy.Add(-1)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	defer s.busy.Add(-1)
	s.node.lab.recordRun(id, s.id)
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(s.work)))
	status := "200 OK"
	if int64(rand.IntN(100)) < s.failing.Load() || s.isLoaded() && rand.IntN(100) < loadedPercent {
		status = "500 Internal Server Error"
		s.node.lab.recordBad(s.version)
	}
	text := id + " by " + s.id
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", status, id, s.id, id, len(text), text)
	return err == nil
}

const (
	loadRate      = 70
	loadedPercent = 58
	loadWindow    = 500 * time.Millisecond
)

// isLoaded counts a request and reports whether the server fails under its load.
func (s *server) isLoaded() bool {
	if !s.underLoad.Load() {
		return false
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, now)
	for now.Sub(s.arrivals[0]) > loadWindow {
		s.arrivals = s.arrivals[1:]
	}
	return float64(len(s.arrivals)) >= loadRate*loadWindow.Seconds()
}

// recordBad records a bad answer of a version.
func (l *lab) recordBad(version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bad[version] = append(l.bad[version], time.Now())
}

func (l *lab) recordRun(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.runs = append(l.runs, run{now, id, server})
	fmt.Fprintf(l.record, "%8.3f server %s runs %s\n", l.at(now), server, id)
}

// client sends requests to one node on a kept connection, one after another.
type client struct {
	node   *node
	number int
	conn   net.Conn
	reader *bufio.Reader
	count  int
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close() // it is not used any more
		c.conn = nil
	}
}

// send sends one request and records its answer.
func (c *client) send(method, path string, deadline time.Duration) answer {
	l := c.node.lab
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.node.address(portOutbound), time.Second)
		if err != nil {
			return answer{}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.count++
	a := answer{sent: time.Now(), id: fmt.Sprintf("%02d%02d%06d%04x", c.node.index, c.number, c.count, rand.IntN(1<<16)), node: c.node.index}
	l.note("client sends %s %s%s to %s", method, path, a.id, c.node.name)
	body := ""
	if method == http.MethodPost {
		body = "order " + a.id
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond)) // an error shows at the read
	_, err := fmt.Fprintf(c.conn, "%s %s%s HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, a.id, a.id, deadline.Milliseconds(), len(body), body)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	a.ended = time.Now()
	if err != nil {
		c.close()
	} else {
		a.status = resp.StatusCode
		if resp.Close {
			c.close()
		}
	}
	l.mu.Lock()
	l.answers = append(l.answers, a)
	l.mu.Unlock()
	l.note("answer to %s: %d", a.id, a.status)
	return a
}

// load sends safe requests to all nodes until the context ends.
func (l *lab) load(ctx context.Context, paths []string, perNode int, pause time.Duration) {
	for _, n := range l.nodes {
		for i := range perNode {
			go func() {
				c := &client{node: n, number: i}
				defer c.close()
				for k := i; ctx.Err() == nil; k++ {
					c.send(http.MethodGet, paths[k%len(paths)], time.Second)
					time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(pause)))
				}
			}()
		}
	}
}

func (l *lab) close() {
	for _, n := range l.nodes {
		n.mu.Lock()
		cmd := n.cmd
		n.mu.Unlock()
		if cmd != nil && cmd.ProcessState == nil {
			_ = cmd.Process.Kill() // it may have ended
			_ = cmd.Wait()         // as above
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.record.Flush() // nothing can be done about an error here
}

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitSetup  = 2
)

// limit bounds the time of a case.
const limit = 110 * time.Second

func main() { os.Exit(mainCode()) }

func mainCode() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE PROGRAM RECORD")
		return exitSetup
	}
	cases := map[string]func(*lab) (broken bool, err error){"departed": departed, "exposed": exposed, "ordered": ordered, "unordered": unordered, "completed": completed}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitSetup
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	}
	defer out.Close()
	l := &lab{dir: dir, program: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: bufio.NewWriter(out), bad: make(map[string][]time.Time)}
	defer l.close()
	time.AfterFunc(limit, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		l.close()
		os.Exit(exitSetup)
	})
	broken, err := play(l)
	switch {
	case err != nil:
		l.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	case broken:
		l.note("the rule was broken")
		return exitBroken
	}
	l.note("the rule held")
	return exitHeld
}
