package edge

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// deployment is a store, targets, balancers and a caller on loopback addresses.
type deployment struct {
	t         *testing.T
	store     *direct.Store
	targets   []*direct.Target
	balancers []*balancer
	caller    *direct.Caller
	net       int // the number of the address block
	dataPort  uint16
}

// targetPort is the port of all targets.
const targetPort = 8080

var (
	previews = netip.MustParseAddrPort("198.18.0.1:8443")
	scans    = netip.MustParseAddrPort("198.18.0.2:8443")
	newRoute = netip.MustParseAddrPort("198.18.0.3:8443")
)

// desiredState returns a desired state as the operator writes it.
func desiredState(version int, routes ...netip.AddrPort) map[string]any {
	services := map[netip.AddrPort]string{previews: "catalogue", scans: "scan-store", newRoute: "catalogue"}
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.String(), "host": r.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.Port()),
			"type": "safe", "timeoutMs": 2500, "goalMs": 150, "priority": 1, "service": services[r]})
	}
	return map[string]any{
		"version":  version,
		"routes":   list,
		"services": []map[string]any{{"name": "catalogue", "healthPath": "/health", "maxConns": 2000}, {"name": "scan-store", "healthPath": "/health", "maxConns": 2000}},
		"limits":   map[string]any{"idleTimeoutMs": 12000},
	}
}

// withGoal sets the goal of all routes of a desired state.
func withGoal(state map[string]any, goal time.Duration) map[string]any {
	for _, r := range state["routes"].([]map[string]any) {
		r["goalMs"] = goal.Milliseconds()
	}
	return state
}

// block numbers the address blocks of the tests. The process ID keeps concurrent runs of
// the tests apart; see address.
var block struct {
	sync.Mutex
	n int
}

// Roles of the addresses of a test.
const (
	balancerNet = iota
	callerNet
	targetNet
)

// address returns the i-th address of a role in a test's block.
func address(test, role, i int) netip.Addr {
	const nets, least = 200, 20
	return netip.AddrFrom4([4]byte{127, byte(least + os.Getpid()%nets), byte(test*4 + role), byte(i)})
}

// deploy starts n balancers and two targets of each service.
func deploy(t *testing.T, n int) *deployment {
	t.Helper()
	block.Lock()
	block.n++
	net := block.n
	block.Unlock()
	d := &deployment{t: t, net: net, dataPort: uint16(18000 + net)}
	var err error
	if d.store, err = direct.NewStore(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.store.Close)
	d.store.Put(platform.CatalogueKey, desiredState(1, previews, scans))
	for i := range 4 {
		d.addTarget(uint64(0xa000000001+i), []string{"catalogue", "scan-store"}[i/2])
	}
	if d.caller, err = direct.NewCaller(address(net, callerNet, 1), d.dataPort); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.caller.Close)
	for i := range n {
		d.start(address(net, balancerNet, i+1))
	}
	for _, b := range d.balancers {
		d.eventually(5*time.Second, "balancer is ready", b.isReady)
	}
	return d
}

func (d *deployment) addTarget(id uint64, service string) *direct.Target {
	d.t.Helper()
	return d.addTargetIn(id, service, "a")
}

func (d *deployment) addTargetIn(id uint64, service, dataCenter string) *direct.Target {
	d.t.Helper()
	addr := netip.AddrPortFrom(address(d.net, targetNet, len(d.targets)+1), targetPort)
	t, err := direct.NewTarget(d.store, id, addr.String(), service, dataCenter, d.dataPort)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(t.Stop)
	d.targets = append(d.targets, t)
	return t
}

// start runs a balancer of data centre a at an address.
func (d *deployment) start(ip netip.Addr) *balancer {
	d.t.Helper()
	return d.startIn(ip, "a")
}

func (d *deployment) startIn(ip netip.Addr, dataCenter string) *balancer {
	d.t.Helper()
	link, err := direct.NewRelay(d.store.Addr)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(link.Close)
	b := &balancer{link: link, out: &output{}, done: make(chan error, 1), control: make(chan *direct.Listener, 1)}
	b.boot = platform.Boot{
		VM: ip.String(), DataCenter: dataCenter,
		Data: netip.AddrPortFrom(ip, d.dataPort), Ready: netip.AddrPortFrom(ip, 17001), Control: netip.AddrPortFrom(ip, 17002),
		Store: link.Addr, Heartbeat: time.Second, Grace: 4 * time.Second, Drain: 3 * time.Second, Apply: 3 * time.Second,
		FlowMaxAge: time.Minute, MemoryMB: 100, LinkMbps: 1000,
	}
	for i := range 3 {
		b.boot.Seeds = append(b.boot.Seeds, netip.AddrPortFrom(address(d.net, balancerNet, i+1), b.boot.Control.Port()))
	}
	log, err := logging.New(b.out, "info", b.boot.VM, b.boot.DataCenter)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go func() {
		b.done <- Run(ctx, b.boot, 0, log, WithListen(b.listen), func(e *Edge) { b.edge = e })
		log.Close()
	}()
	d.t.Cleanup(func() { b.shutdown(d.t) })
	d.balancers = append(d.balancers, b)
	return b
}

// waitForPeers waits until all balancers get each other's heartbeats.
func (d *deployment) waitForPeers() {
	d.t.Helper()
	d.eventually(5*time.Second, "all balancers get each other's heartbeats", func() bool {
		for _, b := range d.balancers {
			if len(b.adminStatus(d.t).Peers) != len(d.balancers)-1 {
				return false
			}
		}
		return true
	})
}

func (d *deployment) eventually(within time.Duration, what string, ok func() bool) {
	d.t.Helper()
	for end := time.Now().Add(within); !ok(); {
		if time.Now().After(end) {
			d.t.Fatalf("not within %v: %s", within, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ask opens a flow through a balancer and returns the name of the target that
// answered.
func (d *deployment) ask(b *balancer, to netip.AddrPort) (string, error) {
	fl, err := d.caller.Open(to, b.boot.Data)
	if err != nil {
		return "", err
	}
	defer fl.Close()
	got, err := fl.Ask("hello", 2*time.Second)
	return strings.TrimPrefix(got, "hello by "), err
}

func (d *deployment) mustAsk(b *balancer, to netip.AddrPort) string {
	d.t.Helper()
	name, err := d.ask(b, to)
	if err != nil {
		d.t.Fatalf("request to %v: %v", to, err)
	}
	return name
}
