package cluster

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one process of the mesh, which can be started again after its end.
type Process struct {
	name string
	path string
	args []string
	log  string
	hook func(name string, at time.Time, line string)

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	last string // last line of the standard error
}

func (c *Cluster) process(name, bin string, args []string) *Process {
	return &Process{name: name, path: c.bin(bin), args: args, log: c.path(name + ".log"), hook: c.take}
}

// out is the file with the standard output.
func (p *Process) out() string { return strings.TrimSuffix(p.log, ".log") + ".out" }

// Start starts the process.
func (p *Process) Start() error {
	logFile, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.path, p.args...)
	// The file is the process's own standard output, so that what it wrote
	// outlives a kill.
	outFile, err := os.OpenFile(p.out(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer outFile.Close()
	cmd.Stdout = outFile
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("process %s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.err = cmd, done, nil
	p.mu.Unlock()
	go func() {
		defer close(done)
		defer logFile.Close()
		lines := bufio.NewScanner(stderr)
		last := ""
		for lines.Scan() {
			last = lines.Text()
			p.hook(p.name, time.Now(), last)
			fmt.Fprintln(logFile, last)
		}
		err := cmd.Wait()
		p.mu.Lock()
		p.err, p.last = err, last
		p.mu.Unlock()
	}()
	return nil
}

func (p *Process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	done := p.ended()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

func (p *Process) signal(s os.Signal) {
	if !p.Running() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// Terminate asks the process to stop gracefully.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Freeze stops the process as a long pause does.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Continue ends Freeze.
func (p *Process) Unfreeze() { p.signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	_ = p.Wait(5 * time.Second)
}

// Wait waits for the end of the process and returns an error when it did not
// end, or not with exit code 0.
func (p *Process) Wait(limit time.Duration) error {
	done := p.ended()
	if done == nil {
		return nil
	}
	select {
	case <-done:
	case <-time.After(limit):
		return fmt.Errorf("process %s has not ended within %s", p.name, limit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("process %s: %w, its last line: %s", p.name, p.err, p.last)
	}
	return nil
}
