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

// node is one node of the mesh with its process and its targets.
type node struct {
	cluster    *cluster
	index      int
	host       mesh.HostID
	dataCentre mesh.DataCentre
	service    mesh.ServiceName
	storeRelay *relay.Relay

	mu            sync.Mutex
	cmd           *exec.Cmd
	done          chan struct{} // closed when the process has ended
	starts        int           // number of processes started
	startedAt     time.Time     // when the last one was started
	exitRequested time.Time     // when a signal was last sent to end the process
	killed        bool          // SIGKILL was sent to the process
	stopped       bool          // the run is over
	targets       []*target
}

func (n *node) writeSettings(b platform.Bounds) error {
	i := n.index
	if n.cluster.options.Evacuations {
		b.Evacuation = evacuationTime
	}
	settings := &platform.Settings{
		Host: n.host, DataCentre: n.dataCentre, IP: n.cluster.address(i, 0).Addr(), Service: n.service, TargetAddress: n.cluster.address(i, 1),
		CallerAddress: n.cluster.address(i, portCaller), CallAddress: n.cluster.address(i, portCall),
		ReadyAddress: n.cluster.address(i, portReady), AnnounceAddress: n.cluster.address(i, portAnnounce),
		StoreAddress: n.cluster.relayAddress(i, portStore).String(), MemoryBytes: maxNodeMemory, Bounds: b,
	}
	// A process that starts meanwhile reads the old settings or the new ones.
	name := n.cluster.path(string(n.host) + ".conf")
	if err := os.WriteFile(name+".new", platform.EncodeSettings(settings), 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// start starts the process.
func (n *node) start() error {
	log, err := n.cluster.openLog(string(n.host) + ".log")
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own descriptor
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.cluster.options.Program,
		"--metrics-port", fmt.Sprint(portMetrics), "--advertise-address", n.cluster.relayAddress(n.index, portCall).String())
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+n.cluster.path(string(n.host)+".conf"), "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("process of %s: %w", n.host, err)
	}
	done := make(chan struct{})
	n.cmd, n.done, n.killed = cmd, done, false
	n.starts++
	n.startedAt = time.Now()
	go func() {
		err := cmd.Wait()
		close(done)
		n.handleExit(err)
	}()
	return nil
}

// endedBySIGTERM reports whether the default action of SIGTERM ended a process,
// because it had only just started and did not handle the signal yet.
func endedBySIGTERM(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// restartDelay is the time between the exit of a process and its restart.
const restartDelay = 300 * time.Millisecond

// handleExit records an exit that was not requested and restarts the process.
func (n *node) handleExit(err error) {
	n.mu.Lock()
	stopped, exitRequested, killed := n.stopped, n.exitRequested, n.killed
	n.mu.Unlock()
	if stopped {
		return
	}
	if time.Since(exitRequested) > bounds.Grace+time.Second || err != nil && !killed && !endedBySIGTERM(err) {
		n.cluster.journal.addViolation("the process of %s exited unexpectedly: %v", n.host, err)
	}
	time.Sleep(restartDelay)
	n.mu.Lock()
	stopped = n.stopped
	n.mu.Unlock()
	if stopped {
		return
	}
	if err := n.start(); err != nil {
		n.cluster.journal.addViolation("%v", err)
	}
}

// signal sends a signal to the current process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s) // the process may have ended
	}
}

// waitExit reports whether the process exits within the limit.
func (n *node) waitExit(limit time.Duration) bool {
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

// kill ends the process without a restart.
func (n *node) kill() {
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.waitExit(5 * time.Second)
}

// startTarget starts a target of the given version on the node's host.
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

// servingTargets returns the serving targets of a version, "" for all versions.
func (n *node) servingTargets(version mesh.TargetVersion) []*target {
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

func (n *node) stopTargets() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.targets {
		t.crash()
	}
}
