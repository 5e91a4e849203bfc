package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/bench/relay"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/platform"
)

// node is one process of the mesh with the targets beside it.
type node struct {
	w        *world
	index    int
	host     mesh.HostID
	dc       mesh.DataCentre
	service  mesh.ServiceName
	storeWay *relay.Relay

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	starts  int
	ordered time.Time // when this run last ordered the process to end
	killed  bool      // this run sent SIGKILL to the process
	stopped bool      // the run is over
	targets []*target
}

func (n *node) writeSettings(b platform.Bounds) error {
	i := n.index
	settings := &platform.Settings{
		Host: n.host, DataCentre: n.dc, IP: n.w.address(i, 0).Addr(), Service: n.service, TargetAddress: n.w.address(i, 1),
		CallerAddress: n.w.address(i, portCaller), CallAddress: n.w.address(i, portCall),
		ReadyAddress: n.w.address(i, portReady), AnnounceAddress: n.w.address(i, portAnnounce),
		StoreAddress: n.w.shadow(i, portStore).String(), MemoryBytes: 128 << 20, Bounds: b,
	}
	return os.WriteFile(n.w.path(string(n.host)+".conf"), platform.EncodeSettings(settings), 0o600)
}

// start starts the process.
func (n *node) start() error {
	log, err := n.w.openLog(string(n.host) + ".log")
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own descriptor
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.w.o.Program,
		"--metrics-port", fmt.Sprint(portMetrics), "--advertise-address", n.w.shadow(n.index, portCall).String())
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+n.w.path(string(n.host)+".conf"), "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("process of %s: %w", n.host, err)
	}
	done := make(chan struct{})
	n.cmd, n.done, n.killed = cmd, done, false
	n.starts++
	go func() {
		err := cmd.Wait()
		close(done)
		n.ended(err)
	}()
	return nil
}

// terminated reports whether SIGTERM ended a process that had not begun to handle
// it, because it had just started.
func terminated(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// restartDelay is how long a process that ended stays down.
const restartDelay = 300 * time.Millisecond

// ended starts the next process. One that ended without an order is a finding.
func (n *node) ended(err error) {
	n.mu.Lock()
	stopped, ordered, killed := n.stopped, n.ordered, n.killed
	n.mu.Unlock()
	if stopped {
		return
	}
	if time.Since(ordered) > bounds.Grace+time.Second || err != nil && !killed && !terminated(err) {
		n.w.journal.broken("the process of %s ended by itself: %v", n.host, err)
	}
	time.Sleep(restartDelay)
	n.mu.Lock()
	stopped = n.stopped
	n.mu.Unlock()
	if stopped {
		return
	}
	if err := n.start(); err != nil {
		n.w.journal.broken("%v", err)
	}
}

// signal sends a signal to the process that runs now.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s) // the process may have ended
	}
}

// await waits for the end of the process.
func (n *node) await(limit time.Duration) bool {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once.
func (n *node) kill() {
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.await(5 * time.Second)
}

// startTarget starts a target of a version beside the node.
func (n *node) startTarget(ctx context.Context, version mesh.TargetVersion) *target {
	n.mu.Lock()
	id := mesh.TargetID(fmt.Sprintf("%s-%s-%d", n.host, version, len(n.targets)))
	n.mu.Unlock()
	t := newTarget(n, id, version)
	n.mu.Lock()
	n.targets = append(n.targets, t)
	n.mu.Unlock()
	t.start(ctx)
	return t
}

// running returns the targets that serve, of a version; "" means of any.
func (n *node) running(version mesh.TargetVersion) []*target {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*target
	for _, t := range n.targets {
		if t.serves() && (version == "" || t.version == version) {
			out = append(out, t)
		}
	}
	return out
}

func (n *node) endTargets() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.targets {
		t.crash()
	}
}
