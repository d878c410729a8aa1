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
	log     string // file with what it writes
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
}

// start runs a program with its output in a file of the bed's folder.
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

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// stackTime is how long a process has to write what its goroutines do.
const stackTime = 2 * time.Second

// Wait waits for the end of the process. One that runs longer is made to write its
// stacks, and the error says where.
func (p *Process) Wait(limit time.Duration) error {
	if !p.Running() {
		return p.err // also if the limit has passed meanwhile
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
	case <-time.After(stackTime):
	}
	return errors.Errorf("testbed: %s still runs after %v; its stacks:\n%s", p.Name, limit, p.logged())
}

// logged returns the end of what the process wrote.
func (p *Process) logged() string {
	const most = 16 << 10 // bytes, some twenty goroutines
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-most):])
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
