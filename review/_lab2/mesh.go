// Command review-lab-2 plays the scripted cases of the second review: it starts the
// deployed program as separate processes beside small stand-ins of the platform's store,
// servers, clients and the operator, and checks one rule from what they see.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	store "nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/traffic"
	"nutmeghoist.example/nutmeghoist/platform"
)

// The bounds of the small site files.
const (
	drainTime    = 2 * time.Second
	graceTime    = 6 * time.Second
	beatInterval = 1500 * time.Millisecond
	touchTime    = 3 * time.Second
	configApply  = 2 * time.Second
	recoverTime  = 15 * time.Second
	memoryMB     = 134
	slots        = 9
	maxConns     = 110
)

// Ports of a machine.
const (
	portReady = 8141 + iota
	portStore
	portCluster
	portControl
	portServer
	portInbound
	portOutbound
)

// world is one small deployment.
type world struct {
	dir     string
	network [2]byte // second and third byte of the machines' addresses
	started time.Time
	store   *platformtest.Store
	proxy   func(http.Handler) http.Handler // in front of the store; may be nil
	storeAt string
	record  *record

	mu       sync.Mutex
	machines []*machine
}

func newWorld(dir string, r *record) (*world, error) {
	pid := os.Getpid()
	w := &world{dir: dir, network: [2]byte{byte(40 + pid/256%80), byte(pid % 256)}, started: time.Now(), store: platformtest.NewWithRates(-1, -1), record: r}
	return w, nil
}

// openStore starts the stand-in of the platform's store.
func (w *world) openStore() error {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.250:0", w.network[0], w.network[1]))
	if err != nil {
		return err
	}
	w.storeAt = l.Addr().String()
	h := platform.StoreHandler(w.store)
	if w.proxy != nil {
		h = w.proxy(h)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return nil
}

// put writes rows as the operator does, and returns when they were acknowledged.
func (w *world) put(key string, value []byte) (time.Time, error) {
	err := w.store.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: key, Value: value}}})
	return time.Now(), err
}

// machine is a machine with its node process and its server.
type machine struct {
	world   *world
	name    string
	zone    string
	service string
	ip      netip.Addr
	first   bool // the whole system starts for the first time

	server *server

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func (w *world) addMachine(index int, name, zone, service string) *machine {
	m := &machine{world: w, name: name, zone: zone, service: service, ip: netip.AddrFrom4([4]byte{127, w.network[0], w.network[1], byte(index)})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines = append(w.machines, m)
	return m
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

func (m *machine) writeSettings() (string, error) {
	path := filepath.Join(m.world.dir, m.name+".conf")
	s := &platform.Settings{
		Host: mesh.HostID(m.name), DataCentre: mesh.DataCentre(m.zone), IP: m.ip, Service: mesh.ServiceName(m.service),
		TargetAddress: m.at(portServer), CallerAddress: m.at(portOutbound), CallAddress: m.at(portInbound), ReadyAddress: m.at(portReady),
		AnnounceAddress: m.at(portControl), FirstStart: m.first, StoreAddress: m.world.storeAt, MemoryBytes: memoryMB << 20,
		Bounds: platform.Bounds{Drain: drainTime, Grace: graceTime, HeartbeatInterval: beatInterval, RetrySlack: 58},
	}
	return path, os.WriteFile(path, platform.EncodeSettings(s), 0o600)
}

// start starts the node's process with the command of the deploy file.
func (m *machine) start() error {
	path, err := m.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/nutmeghoist-sidecar")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	m.world.record.add("%s: process %d started", m.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		close(ended)
		m.world.record.add("%s: process %d ended: %s", m.name, cmd.Process.Pid, cmd.ProcessState)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the node's process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// ready asks the node as the platform does.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.at(portReady).String() + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

func (w *world) close() {
	w.mu.Lock()
	machines := w.machines
	w.mu.Unlock()
	for _, m := range machines {
		m.kill()
	}
}

func (w *world) awaitReady(limit time.Duration, machines ...*machine) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, m := range machines {
			all = all && m.ready()
		}
		if all {
			return true
		}
	}
	return false
}

// route describes a route of the operator's configuration.
type route struct {
	name, prefix, service string
	safe                  bool
	timeout, latency      time.Duration
	attempts              int
}

const hostHeader = "ficu95.example"

// configRow returns the value of op/config.
func configRow(version uint64, services []string, routes ...route) []byte {
	c := &traffic.Config{
		Version: version, Services: make(map[mesh.ServiceName]traffic.Service),
		Limits: traffic.Limits{HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for _, s := range services {
		c.Services[mesh.ServiceName(s)] = traffic.Service{HealthPath: "/health", MaxConnections: maxConns}
	}
	for i, r := range routes {
		c.Routes = append(c.Routes, traffic.Route{
			Name: r.name, Host: hostHeader, Prefix: r.prefix, Idempotent: r.safe, Timeout: r.timeout, LatencyTarget: r.latency, Priority: 1 + i%2,
			MaxAttempts: r.attempts, Split: []traffic.WeightedService{{Service: mesh.ServiceName(r.service), Weight: 1}},
		})
	}
	return platform.EncodeConfig(c)
}
