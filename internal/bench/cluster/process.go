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

// Process is one process of the mesh. It can be restarted after it has ended.
type Process struct {
	name      string
	path      string
	args      []string
	logPath   string
	onLogLine func(name string, at time.Time, line string)

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	err      error
	lastLine string // last line of the standard error
}

func (c *Cluster) newProcess(name, program string, args []string) *Process {
	return &Process{name: name, path: c.binPath(program), args: args, logPath: c.path(name + ".log"), onLogLine: c.recordActivation}
}

// stdoutPath returns the path of the file with the standard output.
func (p *Process) stdoutPath() string { return strings.TrimSuffix(p.logPath, ".log") + ".out" }

// Start starts the process.
func (p *Process) Start() error {
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.path, p.args...)
	// The process writes to the file directly, so that its output survives a kill.
	outFile, err := os.OpenFile(p.stdoutPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
		lastLine := ""
		for lines.Scan() {
			lastLine = lines.Text()
			p.onLogLine(p.name, time.Now(), lastLine)
			fmt.Fprintln(logFile, lastLine)
		}
		err := cmd.Wait()
		p.mu.Lock()
		p.err, p.lastLine = err, lastLine
		p.mu.Unlock()
	}()
	return nil
}

func (p *Process) doneChan() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	done := p.doneChan()
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

// Freeze suspends the process, as a long pause of its host would.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Unfreeze resumes a process after Freeze.
func (p *Process) Unfreeze() { p.signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	_ = p.Wait(5 * time.Second)
}

// Wait waits until the process ends. It returns an error when the process did
// not end within the limit or did not exit with code 0.
func (p *Process) Wait(limit time.Duration) error {
	done := p.doneChan()
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
		return fmt.Errorf("process %s: %w; last line of its standard error: %s", p.name, p.err, p.lastLine)
	}
	return nil
}
