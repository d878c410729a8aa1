package main

import (
	"bytes"
	_ "embed" // for bootText
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"

	"rosedale.dev/rosedale/platform"
)

const (
	probeInterval = 500 * time.Millisecond // of the routers' readiness probes
	maxMissed     = 2                      // after so many misses a balancer is out of rotation
)

// balancer is a rosedale-edge process with the routers' view of it.
type balancer struct {
	name     string
	zone     string
	addr     netip.Addr
	rig      *rig
	settings string // path
	output   *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ready  atomic.Bool  // in rotation
	ended  atomic.Int64 // times that it exceeded the memory of its machine
	peakMB atomic.Int64 // most memory used
}

// newBalancer returns the i-th balancer, which is not started.
func (r *rig) newBalancer(i int, zone string) *balancer {
	b := &balancer{name: fmt.Sprintf("front-%s-%d", zone, i%balancersPerZone+1), zone: zone, addr: r.address(balancerNet, i), rig: r}
	b.settings = filepath.Join(r.dir, b.name+".json")
	return b
}

// firstStart starts the process when the whole fleet starts for the first time.
func (b *balancer) firstStart() error {
	if err := b.writeSettings(true); err != nil {
		return err
	}
	var err error
	if b.output, err = os.Create(b.settings + ".log"); err != nil {
		return err
	}
	b.rig.every(probeInterval, b.probe())
	return b.startProcess()
}

// bootText is the settings file as the platform writes it, with gaps for what differs.
//
//go:embed boot.json
var bootText string

var bootTemplate = template.Must(template.New("boot").Parse(bootText))

// bootFields fill the gaps of bootTemplate.
type bootFields struct {
	Name, IP, Zone, Data, Ready, Control, Store string
	Seeds                                       []string
	Bootstrap                                   bool
	MemoryMB                                    int
}

// writeSettings writes the settings file. bootstrap is set only while the whole fleet starts for
// the first time.
func (b *balancer) writeSettings(bootstrap bool) error {
	r := b.rig
	f := bootFields{
		Name: b.name, IP: b.addr.String(), Zone: b.zone, Bootstrap: bootstrap, MemoryMB: r.memoryMB,
		Data: b.data().String(), Ready: b.at(readyPort), Control: b.at(controlPort), Store: r.front.addr.String(),
	}
	for s := range len(zones) {
		f.Seeds = append(f.Seeds, netip.AddrPortFrom(r.address(balancerNet, s*balancersPerZone), controlPort).String())
	}
	var text bytes.Buffer
	if err := bootTemplate.Execute(&text, f); err != nil {
		return err
	}
	return os.WriteFile(b.settings, text.Bytes(), 0o600)
}

func (b *balancer) data() netip.AddrPort { return netip.AddrPortFrom(b.addr, b.rig.port) }

// at returns an address of the balancer in text.
func (b *balancer) at(port uint16) string { return netip.AddrPortFrom(b.addr, port).String() }

func (b *balancer) startProcess() error {
	cmd := exec.Command(b.rig.edge)
	cmd.Env = append(os.Environ(), platform.BootVariable+"="+b.settings)
	cmd.Stdout, cmd.Stderr = b.output, b.output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit code does not matter
		close(exited)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cmd, b.exited = cmd, exited
	return nil
}

// signal sends a signal to the process.
func (b *balancer) signal(s os.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.cmd.Process.Signal(s) // it may have exited
}

// close ends the process.
func (b *balancer) close() {
	b.signal(syscall.SIGKILL)
	b.mu.Lock()
	exited := b.exited
	b.mu.Unlock()
	<-exited
	_ = b.output.Close()
}

// probe returns the routers' readiness probe.
func (b *balancer) probe() func() {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	missed := maxMissed
	return func() {
		resp, err := client.Get("http://" + b.at(readyPort) + "/readiness")
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			missed = 0
		} else {
			missed++
		}
		b.ready.Store(missed < maxMissed)
	}
}

// status is the part of a balancer's status that the cases use.
type status struct {
	Version int64 `json:"version"`
	Reading bool  `json:"reading"`
}

// status asks the balancer's admin endpoint.
func (b *balancer) status() (status, error) {
	var s status
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + b.at(adminPort) + "/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// reader returns the balancer that reads the store for the others.
func (r *rig) reader() (*balancer, error) {
	for _, b := range r.balancers {
		if s, err := b.status(); err == nil && s.Reading {
			return b, nil
		}
	}
	return nil, fmt.Errorf("no balancer reads the store")
}

// router returns the balancer to which the routers of a zone send a flow: by a steady hash over
// the balancers of the zone that are in rotation, or over all if fewer than half are.
func (r *rig) router(zone int, flow uint64) *balancer {
	var all, ready []*balancer
	for _, b := range r.balancers {
		if b.zone != zones[zone] {
			continue
		}
		all = append(all, b)
		if b.ready.Load() {
			ready = append(ready, b)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	var best *balancer
	var most uint64
	for _, b := range ready {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, b.name, flow) // never fails
		if x := h.Sum64(); best == nil || x > most {
			best, most = b, x
		}
	}
	return best
}
