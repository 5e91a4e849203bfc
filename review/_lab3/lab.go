// Command lab holds the stand-ins and the checks of the cases of the third review. It
// starts the nodes of a small deployment as separate processes on loopback addresses.
package main

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/platform"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// The ports of a node, the same on all its hosts.
const (
	portApp     = 8145
	portInbound = 8146
	portCaller  = 8147
	portReady   = 8141
	portControl = 8144
	portStore   = 8142
)

// bounds are those of the site trenzasoga-mesh.
const (
	touch         = 3 * time.Second
	configApply   = 2 * time.Second
	beatInterval  = 1500 * time.Millisecond
	serverSlots   = 9
	maxServerConn = 110
	memoryMB      = 134  // MemoryMb
	maxFiles      = 4100 // MaxFds
)

// lab is one run of a case.
type lab struct {
	trouble bool
	began   time.Time
	net     string // first three octets of the addresses
	dir     string
	store   *platformtest.Store

	mu     sync.Mutex
	record *bufio.Writer
	nodes  []*node
	closed bool
}

func newLab(caseDir string) (*lab, error) {
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), dir: dir, record: bufio.NewWriter(f), store: platformtest.New()}
	if l.net, err = freeNet(); err != nil {
		return nil, err
	}
	l.log("run", "trouble", l.trouble, "addresses", l.net+".0/24")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.close()
		os.Exit(exitFailed)
	}()
	return l, nil
}

// freeNet returns a loopback network on which the ports of a node are free.
func freeNet() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 10+rand.IntN(240), rand.IntN(256))
		free := true
		for _, port := range []int{portApp, portInbound, portCaller, portReady, portControl, portStore, 9464} {
			c, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", n, port))
			if err != nil {
				free = false
				break
			}
			_ = c.Close()
		}
		if free {
			return n, nil
		}
	}
	return "", errors.New("no free addresses")
}

func (l *lab) ip(i int) string { return fmt.Sprintf("%s.%d", l.net, i) }

func (l *lab) addr(i, port int) string { return net.JoinHostPort(l.ip(i), strconv.Itoa(port)) }

// log writes a line to the record: the milliseconds since the start, the event, and pairs
// of names and values.
func (l *lab) log(event string, pairs ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	fmt.Fprintf(l.record, "%9.1f %s", float64(time.Since(l.began).Microseconds())/1000, event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(l.record, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(l.record)
}

// close ends all processes and flushes the record.
func (l *lab) close() {
	for _, n := range l.nodes {
		n.end()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.record.Flush()
	_ = os.RemoveAll(l.dir)
}

// serveStore serves the platform's store at an address.
func (l *lab) serveStore(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, platform.StoreHandler(l.store)) }()
	return nil
}

// put writes a row of the operator and returns the time of the store's answer.
func (l *lab) put(storeAddress, table, key string, value any) (time.Time, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return time.Time{}, err
	}
	body := fmt.Sprintf(`{"Precondition":[],"Puts":[{"Table":%q,"part":"","Key":%q,"Value":%q}],"Deletes":[]}`, table, key, base64.StdEncoding.EncodeToString(text))
	resp, err := http.Post("http://"+storeAddress+"/v1/rows-tx", "application/json", strings.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return time.Time{}, fmt.Errorf("store answered %d", resp.StatusCode)
	}
	l.log("operator", "wrote", table+"/"+key, "value", string(text))
	return time.Now(), nil
}

// node is a node of the mesh with its process.
type node struct {
	lab     *lab
	index   int
	name    string
	zone    string
	service string
	store   string // address of the store as the node knows it
	first   bool   // Bootstrap

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (l *lab) addNode(index int, zone, service, store string) *node {
	n := &node{lab: l, index: index, name: fmt.Sprintf("sidecar-%s-%d", zone, index), zone: zone, service: service, store: store, first: true}
	l.nodes = append(l.nodes, n)
	return n
}

func (n *node) writeSettings() (string, error) {
	l, path := n.lab, filepath.Join(n.lab.dir, n.name+".conf")
	var b bytes.Buffer
	for _, line := range [][2]any{
		{"Self.Node", n.name},
		{"Self.Role", "node"},
		{"Self.MachineClass", "sidecar"},
		{"Self.Serves", "sidecar"},
		{"Self.Ip", l.ip(n.index)},
		{"Self.Zone", n.zone},
		{"Self.Region", "sierra-norte"},
		{"Self.LossCounted", false},
		{"Self.Bootstrap", n.first},
		{"Self.Limits.CpuShare", 0.32},
		{"Self.Limits.CpuCores", 1},
		{"Self.Limits.MemoryMb", memoryMB},
		{"Self.Limits.MaxFds", maxFiles},
		{"Self.Limits.LinkMbps", "1000.0"},
		{"Self.Limits.DiskMb", 0},
		{"Self.AppAddr", l.addr(n.index, portApp)},
		{"Self.Service", n.service},
		{"Network.Listen.Inbound", l.addr(n.index, portInbound)},
		{"Network.Listen.Outbound", l.addr(n.index, portCaller)},
		{"Network.Listen.Ready", l.addr(n.index, portReady)},
		{"Network.Listen.Control", l.addr(n.index, portControl)},
		{"Network.PortRange", "7380,7395"},
		{"Network.SeedAddrs", ""},
		{"Platform.Discovery", "static"},
		{"Platform.Entry", "static"},
		{"Platform.BeatInterval", "1500ms"},
		{"Platform.Platform.Address", n.store},
		{"Platform.Platform.form", "table"},
		{"Platform.Platform.WritesPerS", 400},
		{"Platform.Platform.ReadsPerS", 2000},
		{"Platform.Platform.Tx", "8ms"},
		{"Platform.Platform.PartWritesS", 150},
		{"Platform.Platform.RowBytes", 65536},
		{"Platform.Platform.Across", false},
		{"Platform.Platform.History", "20s"},
		{"Terms.Contracts", "base,drain,config,cost,retry,recover,rollout,platform"},
		{"Terms.FaultTolerance.Machines", 1},
		{"Terms.FaultTolerance.Zones", 1},
		{"Terms.FaultTolerance.Regions", 0},
		{"Terms.ContractParams.SeedLag", "3s"},
		{"Terms.ContractParams.AddrReuse", "2s"},
		{"Terms.ContractParams.Touch", "3000ms"},
		{"Terms.ContractParams.Ack", "4000ms"},
		{"Terms.ContractParams.CatchUp", "4s"},
		{"Terms.ContractParams.Drain", "2000ms"},
		{"Terms.ContractParams.Grace", "6s"},
		{"Terms.ContractParams.LossSlack", "200ms"},
		{"Terms.ContractParams.ConfigApply", "2000ms"},
		{"Terms.ContractParams.RevertSlack", "250ms"},
		{"Terms.ContractParams.Outer", "5000ms"},
		{"Terms.ContractParams.RetryBudgetRatio", 0.2},
		{"Terms.ContractParams.BudgetWindow", "10s"},
		{"Terms.ContractParams.BudgetSlack", 58},
		{"Terms.ContractParams.ExposeShare", 0.1},
		{"Terms.ContractParams.ExposeSlack", 50},
		{"Terms.ContractParams.Rollback", "5000ms"},
		{"Terms.ContractParams.Recover", "15s"},
	} {
		fmt.Fprintf(&b, "%v=%v\n", line[0], line[1])
	}
	return path, os.WriteFile(path, b.Bytes(), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	path, err := n.writeSettings()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.lab.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close() // the process has its own descriptor
	cmd := exec.Command("target/nutmeghoist-sidecar")
	cmd.Env = []string{platform.SettingsVariable + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	n.lab.log("node started", "node", n.name, "pid", cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.lab.log("node ended", "node", n.name, "error", err)
		close(done)
	}()
	return nil
}

// end kills the process.
func (n *node) end() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT) // it may have ended
	_ = cmd.Process.Kill()
	<-done
}

// ready asks the node as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.lab.addr(n.index, portReady) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (l *lab) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, n := range l.nodes {
			all = all && n.ready()
		}
		if all {
			return nil
		}
		if time.Now().After(until) {
			return errors.New("the nodes were not ready in time")
		}
	}
}

// answer is what a client gets.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// request sends a request on a new connection and waits for the answer until the deadline.
func (l *lab) request(node int, method, host, path string, deadline time.Duration, body []byte) (id string, a answer) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	l.log("sent", "node", node, "id", id, "method", method, "path", path, "bytes", len(body))
	c, err := net.DialTimeout("tcp", l.addr(node, portCaller), time.Second)
	if err != nil {
		return id, answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline)) // an error shows at the read
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		return id, answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return id, answer{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	return id, answer{resp.StatusCode, resp.Header, string(text), err}
}

// fail ends a case that could not run.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
