// Package edgedemo demonstrates several rosedale-edge processes with stand-ins for the
// platform's store, targets and callers on loopback. While the callers send requests,
// balancers are replaced and killed, a target becomes unreachable, a route is added and a
// data centre is evacuated.
package edgedemo

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/standin/direct"
)

// Size of the deployment.
const (
	balancersPerDataCenter = 2                // balancers in each data centre
	targetsPerService      = 2                // targets of each service in each data centre
	dataPort               = 18600            // at which balancers receive callers' packets, and callers receive answers
	startTimeout           = 10 * time.Second // for all balancers to become ready
)

var dataCenters = []string{"vault-a", "scan-hall", "annex-b"}

// Service addresses that callers connect to.
var (
	previews = netip.MustParseAddrPort("198.18.0.1:443") // idempotent: a request may run more than once
	notes    = netip.MustParseAddrPort("198.18.0.2:443") // a request must run at most once
	added    = netip.MustParseAddrPort("198.18.0.3:443") // added by the demo's catalogue edit
)

// serviceOf maps a service address to its service's name.
var serviceOf = map[netip.AddrPort]string{previews: "catalogue", notes: "scan-store", added: "catalogue"}

// deployment holds the store, targets and balancers of a demo.
type deployment struct {
	store     *direct.Store
	targets   []*target
	balancers []*balancer
	dir       string
	version   int
}

// target is a stand-in target with its data centre.
type target struct {
	*direct.Target
	dataCenter string
}

// Roles of addresses, which determine their third byte.
const (
	balancerNet = iota
	callerNet
	targetNet
)

// address returns the i-th address of a role. The second byte depends on the process,
// so that demos that run at the same time use different addresses.
func address(role, i int) netip.Addr {
	const count, lowest = 200, 30 // of the second bytes: 30 to 229
	return netip.AddrFrom4([4]byte{127, byte(lowest + os.Getpid()%count), byte(200 + role), byte(i + 1)})
}

func newDeployment(dir string) (*deployment, error) {
	d := &deployment{dir: dir}
	var err error
	if d.store, err = direct.NewStore(); err != nil {
		return nil, errors.Wrap(err, "demo: store")
	}
	d.writeCatalogue(previews, notes)
	for _, c := range dataCenters {
		if err := d.addTargets(c); err != nil {
			return nil, err
		}
	}
	for i := range balancersPerDataCenter * len(dataCenters) {
		b, err := startBalancer(d, i)
		if err != nil {
			return nil, err
		}
		d.balancers = append(d.balancers, b)
	}
	return d, d.waitReady()
}

func (d *deployment) addTargets(dataCenter string) error {
	for _, service := range []string{"catalogue", "scan-store"} {
		for range targetsPerService {
			n := len(d.targets)
			at := netip.AddrPortFrom(address(targetNet, n), 8080)
			t, err := direct.NewTarget(d.store, uint64(0xc000000001+n), at.String(), service, dataCenter, dataPort)
			if err != nil {
				return errors.Wrapf(err, "demo: target %d", n)
			}
			t.SetWork(20 * time.Millisecond)
			d.targets = append(d.targets, &target{t, dataCenter})
		}
	}
	return nil
}

// writeCatalogue writes a version of the catalogue with routes for some addresses.
func (d *deployment) writeCatalogue(addresses ...netip.AddrPort) {
	d.version++
	var routes []direct.Route
	for _, a := range addresses {
		routes = append(routes, direct.Route{Address: a, Service: serviceOf[a], AtMostOnce: a == notes})
	}
	d.store.PutCatalogue(d.version, routes...)
}

// answeredOpenings returns how many openings the targets of a data centre have answered.
func (d *deployment) answeredOpenings(dataCenter string) int64 {
	var n int64
	for _, t := range d.targets {
		if t.dataCenter == dataCenter {
			n += t.Opened.Load()
		}
	}
	return n
}

func (d *deployment) waitReady() error {
	end := time.Now().Add(startTimeout)
	for _, b := range d.balancers {
		for !b.ready.Load() {
			if time.Now().After(end) {
				return errors.Errorf("demo: balancer %s is not ready within %v", b.addr, startTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close stops the balancers, targets and store.
func (d *deployment) close() {
	for _, b := range d.balancers {
		b.kill()
	}
	for _, t := range d.targets {
		t.Stop()
	}
	d.store.Close()
}
