// Package testbed starts a whole deployment of real processes on loopback for
// the demo, the measurements and the integration tests: stand-ins for the
// platform, the fabric, targets and callers, a fault-injecting proxy between
// the balancers, and the balancers themselves.
package testbed

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a started program.
type Process struct {
	Name    string
	Started time.Time
	log     string // file with its output
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	err     error         // how it ended, valid once done is closed
}

// start starts a program, whose output is appended to a log file in the bed's folder.
func (b *Bed) start(name, program string, args ...string) (*Process, error) {
	log := filepath.Join(b.Dir, name+".log")
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "testbed: log file")
	}
	defer func() { _ = f.Close() }()
	p := &Process{Name: name, log: log, Started: time.Now(), cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "testbed: start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// PID returns the process's identifier.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits for the end of the process.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// stackDumpTimeout is the time that a process has to write the stacks of its goroutines.
const stackDumpTimeout = 2 * time.Second

// Wait waits for the end of the process and returns its error. A process that runs
// longer than the limit is ended by SIGQUIT, and the error contains its stacks.
func (p *Process) Wait(limit time.Duration) error {
	if !p.Running() {
		return p.err // even if the limit has passed
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
	}
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGQUIT)
	select {
	case <-p.done:
	case <-time.After(stackDumpTimeout):
	}
	return errors.Errorf("testbed: %s still runs after %v; its stacks:\n%s", p.Name, limit, p.outputTail())
}

// outputTail returns the end of the process's output.
func (p *Process) outputTail() string {
	const maxBytes = 16 << 10 // the stacks of some twenty goroutines
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxBytes):])
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
