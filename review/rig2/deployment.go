package rig2

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Program is the program of the deploy file, from the repository's root.
const Program = "target/rosedale-edge"

// Ports, the same on all machines of a deployment.
const (
	readyPort   = 8167
	controlPort = 8166
	// DataPort is that of the balancers' datagrams, and that at which requesters receive packets.
	DataPort = 8172
)

// Bounds are the figures of a small installation's sheet.
type Bounds struct {
	DrainMS, ConfigMS int
	HeartbeatMS       int
}

// Deployment is a small installation with its routers, store and balancers.
type Deployment struct {
	Store  *Store
	Router *Router
	Record *Record

	net       byte         // second byte of all addresses
	held      net.Listener // keeps other plays from these addresses
	dir       string
	bounds    Bounds
	zones     []string
	balancers []*Balancer

	mu        sync.Mutex
	processes []*os.Process // all that were started
	ended     bool          // no more are started
}

// maxLength is how long a play may take. The processes are ended then, and the case could not run.
const maxLength = 110 * time.Second

// endEarly ends all processes if the play takes too long or is to be stopped.
func (d *Deployment) endEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-stop:
	case <-time.After(maxLength):
	}
	d.endProcesses()
	_ = os.RemoveAll(d.dir)
	os.Exit(2)
}

// endProcesses ends all processes that were started.
func (d *Deployment) endProcesses() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	for _, p := range d.processes {
		_ = p.Kill() // most have ended before
	}
}

// Balancer is one process of the system.
type Balancer struct {
	Name     string
	Data     netip.AddrPort // receives requesters' packets
	Door     *Door          // at which it calls the store
	file     string
	settings settings
	log      *os.File
	cmd      *exec.Cmd
	done     chan struct{}
}

// NewDeployment starts a store and routers. Logs of the balancers go to a temporary folder.
func NewDeployment(r *Record, b Bounds, zones ...string) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: r, dir: dir, bounds: b, zones: zones}
	if d.net, d.held, err = freeNet(); err != nil {
		return nil, err
	}
	d.Store = NewStore()
	d.Router = NewRouter()
	go d.endEarly()
	return d, nil
}

// freeNet returns a second byte whose addresses are free, and a socket that holds them.
func freeNet() (byte, net.Listener, error) {
	for i := range 150 {
		n := byte(40 + (os.Getpid()+i)%150)
		l, err := net.Listen("tcp4", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, 0, 1}), controlPort).String())
		if err == nil {
			return n, l, nil
		}
	}
	return 0, nil, fmt.Errorf("no free loopback addresses")
}

// Addr returns an address of the deployment.
func (d *Deployment) Addr(group, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.net, byte(group), byte(i)})
}

// Groups of addresses by zone.
const (
	balancerGroup  = 10
	endpointGroup  = 50
	requesterGroup = 90
)

// EndpointAddr and RequesterAddr return the address of the i-th endpoint and requester of a zone.
func (d *Deployment) EndpointAddr(zone, i int) netip.Addr { return d.Addr(endpointGroup+zone, i+1) }

// RequesterAddr returns the address of a requester.
func (d *Deployment) RequesterAddr(zone, i int) netip.AddrPort {
	return netip.AddrPortFrom(d.Addr(requesterGroup+zone, i+1), DataPort)
}

// StartBalancers starts so many balancers in each zone and waits until all are in rotation.
func (d *Deployment) StartBalancers(perZone int) error {
	var seeds []string
	for z := range d.zones {
		seeds = append(seeds, netip.AddrPortFrom(d.Addr(balancerGroup+z, 1), controlPort).String())
	}
	for z, zone := range d.zones {
		for i := range perZone {
			b := &Balancer{Name: fmt.Sprintf("front-%s-%d", zone, i+1)}
			door, err := d.Store.NewDoor(d.Addr(0, 1))
			if err != nil {
				return err
			}
			b.Door = door
			if err := d.configure(b, z, i, seeds); err != nil {
				return err
			}
			d.balancers = append(d.balancers, b)
			if err := d.Start(b); err != nil {
				return err
			}
		}
	}
	end := time.Now().Add(15 * time.Second)
	for d.Router.InRotation() < len(d.balancers) {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d balancers are ready", d.Router.InRotation(), len(d.balancers))
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// configure writes the settings file of a balancer.
func (d *Deployment) configure(b *Balancer, z, i int, seeds []string) error {
	ip := d.Addr(balancerGroup+z, i+1)
	at := func(port uint16) string { return netip.AddrPortFrom(ip, port).String() }
	b.settings = settings{
		Name: b.Name, IP: ip.String(), Zone: d.zones[z], Zones: d.zones, Seeds: seeds,
		Data: at(DataPort), Ready: at(readyPort), Control: at(controlPort), Store: b.Door.Addr.String(),
		Bootstrap: true, HeartbeatMS: d.bounds.HeartbeatMS, DrainMS: d.bounds.DrainMS, ConfigMS: d.bounds.ConfigMS,
	}
	var err error
	b.file = filepath.Join(d.dir, b.Name+".json")
	if b.log, err = os.Create(filepath.Join(d.dir, b.Name+".log")); err != nil {
		return err
	}
	b.Data = netip.AddrPortFrom(ip, DataPort)
	d.Router.add(d.zones[z], b.Data, netip.MustParseAddrPort(at(readyPort)))
	return b.writeSettings()
}

// writeSettings writes the settings file.
func (b *Balancer) writeSettings() error {
	var text bytes.Buffer
	if err := bootTemplate.Execute(&text, b.settings); err != nil {
		return err
	}
	return os.WriteFile(b.file, text.Bytes(), 0o600)
}

// Start starts a balancer's process.
func (d *Deployment) Start(b *Balancer) error {
	cmd := exec.Command(Program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), names.BootVariable + "=" + b.file}
	cmd.Stdout, cmd.Stderr = b.log, b.log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return errors.New("the play has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.processes = append(d.processes, cmd.Process)
	b.cmd, b.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(b.done)
	d.Record.Add("%s started", b.Name)
	return nil
}

// Balancers returns all balancers.
func (d *Deployment) Balancers() []*Balancer { return d.balancers }

// Replace stops a balancer as planned work does, and starts it again at once. The settings then no
// longer say that the whole installation starts for the first time.
func (d *Deployment) Replace(b *Balancer) error {
	d.Record.Add("%s gets SIGTERM", b.Name)
	_ = b.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-b.done:
	case <-time.After(6 * time.Second):
		_ = b.cmd.Process.Kill()
		<-b.done
	}
	d.Record.Add("%s has ended", b.Name)
	b.settings.Bootstrap = false
	if err := b.writeSettings(); err != nil {
		return err
	}
	return d.Start(b)
}

// Signal sends a signal to a balancer.
func (d *Deployment) Signal(b *Balancer, s syscall.Signal) {
	d.Record.Add("%s gets %v", b.Name, s)
	_ = b.cmd.Process.Signal(s)
}

// Close ends all processes and the stand-ins.
func (d *Deployment) Close() {
	d.endProcesses()
	for _, b := range d.balancers {
		if b.cmd != nil {
			<-b.done
		}
	}
	d.Router.Close()
	d.Store.Close()
	_ = d.held.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs are in", d.dir)
	}
}

// Route is a route of the desired state.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Type     string
	Service  string
	TimeOut  time.Duration
	Goal     time.Duration
	Priority int
}

// Service is a service of the desired state.
type Service struct {
	Name     string
	ColdS    float64
	ColdPerS float64
}

// Configure writes a desired state, as the operator does.
func (d *Deployment) Configure(version int, services []Service, routes []Route) {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{"name": r.Name, "host": r.Address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.Address.Port()),
			"type": r.Type, "timeoutMs": r.TimeOut.Milliseconds(), "goalMs": r.Goal.Milliseconds(), "priority": r.Priority,
			"service": r.Service, "maxAttempts": 2})
	}
	for _, s := range services {
		x := map[string]any{"name": s.Name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false}
		if s.ColdS > 0 {
			x["coldS"], x["coldPerS"] = s.ColdS, s.ColdPerS
		}
		ss = append(ss, x)
	}
	d.Store.Put(names.Config, map[string]any{"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
}
