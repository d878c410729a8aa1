package edgedemo

import (
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

const (
	readyPort   = 17001 // at which a balancer answers readiness checks
	controlPort = 17002 // at which a balancer receives other balancers' packets
	// stopTimeout is the grace period of a planned stop.
	stopTimeout = 5 * time.Second
	// probeInterval is the interval between the fabric's readiness checks of a balancer,
	// and maxMissedProbes the number of failed checks in a row after which the fabric
	// uses another balancer.
	probeInterval   = 250 * time.Millisecond
	maxMissedProbes = 2
)

// balancer is a rosedale-edge process.
type balancer struct {
	addr         netip.Addr
	dataCenter   string
	settingsFile string   // path
	log          *os.File // output of the process
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has exited
	ready        atomic.Bool   // according to the fabric's checks
	stopProbe    chan struct{} // stops the fabric's checks
}

// startBalancer starts the i-th balancer's process and the fabric's checks of it.
func startBalancer(d *deployment, i int) (*balancer, error) {
	b := &balancer{addr: address(balancerNet, i), dataCenter: dataCenters[i%len(dataCenters)], stopProbe: make(chan struct{})}
	b.settingsFile = filepath.Join(d.dir, b.addr.String()+".json")
	settings := direct.Settings{
		VM: b.addr.String(), DataCenter: b.dataCenter, Bootstrap: true, GraceS: stopTimeout.Seconds(), Store: d.store.Addr,
		Data: b.data(), Ready: netip.AddrPortFrom(b.addr, readyPort), Control: netip.AddrPortFrom(b.addr, controlPort),
	}
	for s := range len(dataCenters) {
		settings.Seeds = append(settings.Seeds, netip.AddrPortFrom(address(balancerNet, s), controlPort))
	}
	if err := settings.Write(b.settingsFile); err != nil {
		return nil, errors.Wrap(err, "demo: settings")
	}
	var err error
	if b.log, err = os.Create(b.settingsFile + ".log"); err != nil {
		return nil, errors.Wrap(err, "demo: log")
	}
	go b.probe()
	return b, b.start()
}

func (b *balancer) data() netip.AddrPort { return netip.AddrPortFrom(b.addr, dataPort) }

// start starts rosedale-edge from the folder of this program.
func (b *balancer) start() error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "demo: own path")
	}
	cmd := exec.Command(filepath.Join(filepath.Dir(self), "rosedale-edge"))
	cmd.Env = append(os.Environ(), platform.BootVariable+"="+b.settingsFile)
	cmd.Stdout, cmd.Stderr = b.log, b.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "demo: balancer %s", b.addr)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // replace reads the exit code from ProcessState
		close(exited)
	}()
	b.cmd, b.exited = cmd, exited
	return nil
}

// replace stops the balancer with SIGTERM and starts it again. It returns an error if
// the balancer does not exit with code 0 within stopTimeout.
func (b *balancer) replace() error {
	if err := b.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrapf(err, "demo: stop of %s", b.addr)
	}
	select {
	case <-b.exited:
	case <-time.After(stopTimeout):
		return errors.Errorf("demo: balancer %s did not stop within %v", b.addr, stopTimeout)
	}
	if code := b.cmd.ProcessState.ExitCode(); code != 0 {
		return errors.Errorf("demo: balancer %s stopped with exit code %d", b.addr, code)
	}
	return b.start()
}

// crash kills the process and starts it again after the given time.
func (b *balancer) crash(downtime time.Duration) error {
	if err := b.cmd.Process.Kill(); err != nil {
		return errors.Wrapf(err, "demo: kill of %s", b.addr)
	}
	<-b.exited
	time.Sleep(downtime)
	return b.start()
}

// kill ends the process and the fabric's checks.
func (b *balancer) kill() {
	close(b.stopProbe)
	_ = b.cmd.Process.Kill() // it may have exited
	<-b.exited
	_ = b.log.Close()
}

// probe checks the balancer's readiness periodically, as the fabric does.
func (b *balancer) probe() {
	client := http.Client{Timeout: 2 * probeInterval}
	for missed := maxMissedProbes; ; {
		resp, err := client.Get("http://" + netip.AddrPortFrom(b.addr, readyPort).String() + platform.ReadyPath)
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			missed = 0
		} else {
			missed++
		}
		b.ready.Store(missed < maxMissedProbes)
		select {
		case <-b.stopProbe:
			return
		case <-time.After(probeInterval):
		}
	}
}
