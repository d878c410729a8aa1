package soak

import (
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

// node is a balancer's process.
type node struct {
	addr    netip.Addr
	boot    string        // path of the settings file, to which .log is appended for the log
	relay   *direct.Relay // between the balancer and the store
	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	started time.Time
	out     *os.File
	ready   atomic.Bool // by pollReadiness
	// silenceable is set if the process silences its open connections at silenceSignal.
	silenceable bool
	down        bool // killed or paused by a fault
}

func (w *world) addNode(i int, isSilenceable bool) {
	relay, err := direct.NewRelay(w.store.Addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(relay.Close)
	n := &node{addr: w.ip(0, i), relay: relay, silenceable: isSilenceable, boot: filepath.Join(w.dir, "boot-"+w.ip(0, i).String()+".json")}
	settings := direct.Settings{
		VM: n.addr.String(), DataCenter: dataCenter(i), GraceS: 4, Store: relay.Addr,
		Data: netip.AddrPortFrom(n.addr, dataPort), Ready: netip.AddrPortFrom(n.addr, 17001), Control: netip.AddrPortFrom(n.addr, 17002),
	}
	for _, o := range w.nodes[:min(len(w.nodes), 3)] {
		settings.Seeds = append(settings.Seeds, netip.AddrPortFrom(o.addr, 17002))
	}
	if err := settings.Write(n.boot); err != nil {
		w.t.Fatal(err)
	}
	if n.out, err = os.Create(n.boot + ".log"); err != nil {
		w.t.Fatal(err)
	}
	w.nodes = append(w.nodes, n)
	w.start(n)
	go w.pollReadiness(n)
}

// program returns the path of the program to start. If SOAK_OLD names an older build,
// every other start uses it, as during the upgrade of a fleet.
func (w *world) program(n *node) string {
	if n.silenceable {
		return os.Args[0]
	}
	old := os.Getenv("SOAK_OLD")
	if old != "" && w.starts.Add(1)%2 == 0 {
		return old
	}
	return "../../bin/rosedale-edge"
}

// start starts a balancer's process. Only processes started here are ever ended.
func (w *world) start(n *node) {
	n.cmd = exec.Command(w.program(n))
	n.cmd.Env = append(os.Environ(), "ROSEDALE_BOOT="+n.boot)
	if n.silenceable {
		n.cmd.Env = append(n.cmd.Env, silenceable+"=1")
	}
	n.cmd.Stdout, n.cmd.Stderr = n.out, n.out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		w.t.Error(err)
		return
	}
	n.down = false
	n.started = time.Now()
	cmd, ended := n.cmd, make(chan struct{})
	n.ended = ended
	go func() {
		_ = cmd.Wait() // checkRecovered and endBalancer read the ProcessState
		close(ended)
	}()
	w.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-ended
	})
}

// data returns the address at which a balancer receives callers' packets.
func (n *node) data() netip.AddrPort { return netip.AddrPortFrom(n.addr, dataPort) }

// running reports whether a balancer's process has not ended.
func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// pollReadiness polls a balancer's readiness as the platform's routers do: it is ready
// after a success and not ready after two failures in a row. One failure changes nothing.
func (w *world) pollReadiness(n *node) {
	client := http.Client{Timeout: 400 * time.Millisecond}
	for misses := 0; !w.stopping.Load(); time.Sleep(200 * time.Millisecond) {
		resp, err := client.Get("http://" + netip.AddrPortFrom(n.addr, 17001).String() + "/readiness")
		if err == nil {
			_ = resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			misses++
		} else {
			misses = 0
		}
		switch {
		case misses == 0:
			n.ready.Store(true)
		case misses >= 2:
			n.ready.Store(false)
		}
	}
}
