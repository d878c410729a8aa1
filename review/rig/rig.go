package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

// Sizes and intervals of the deployment, as a small site of the platform has them.
const (
	balancersPerZone = 2
	targetBeat       = 1200 * time.Millisecond // interval of a target's registrations
	applyBound       = 3 * time.Second         // in which a change has to be in force
	stabilityWindow  = 4 * time.Second         // stabilityWindowMs
	historyKept      = 20 * time.Second        // historyS
	memoryLimitMB    = 284                     // memoryMb
	workTime         = 30 * time.Millisecond   // of a request
	startTimeout     = 15 * time.Second
)

// Roles of addresses, which determine their third byte.
const (
	balancerNet = 1 + iota
	callerNet
	targetNet
)

// Ports at the balancers' addresses.
const (
	readyPort   = 8167
	controlPort = 8166
	adminPort   = 9464
)

var zones = []string{"vault-a", "scan-hall", "annex-b"}

// rig is a deployment on loopback addresses of its own.
type rig struct {
	edge     string // path of rosedale-edge
	trouble  bool   // whether the case disturbs the deployment
	dir      string
	second   byte   // second byte of all addresses
	memoryMB int    // of a machine
	port     uint16 // of the balancers' data sockets and of the callers
	start    time.Time

	store     *direct.Store
	front     *storeFront // through which the balancers reach the store
	balancers []*balancer
	targets   []*target
	callers   []*direct.Caller // one in each zone

	mu     sync.Mutex
	record *os.File
	stop   chan struct{}
	wg     sync.WaitGroup
}

func newRig(edge, record string, trouble bool) (*rig, error) {
	r := &rig{edge: edge, trouble: trouble, memoryMB: memoryLimitMB, start: time.Now(), stop: make(chan struct{})}
	var err error
	if r.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if r.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if err := r.chooseAddresses(); err != nil {
		return nil, err
	}
	if r.store, err = direct.NewStore(); err != nil {
		return nil, err
	}
	if r.front, err = newStoreFront(r.store.Addr); err != nil {
		return nil, err
	}
	r.every(sampleInterval, r.front.takeSample)
	for i := range zones {
		c, err := direct.NewCaller(r.address(callerNet, i), r.port)
		if err != nil {
			return nil, err
		}
		r.callers = append(r.callers, c)
	}
	return r, nil
}

// chooseAddresses looks for a loopback network whose ports are free.
func (r *rig) chooseAddresses() error {
	for range 50 {
		r.second, r.port = byte(30+rand.IntN(200)), uint16(20000+rand.IntN(10000))
		if r.isFree() {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (r *rig) isFree() bool {
	for i := range balancersPerZone * len(zones) {
		for _, p := range []uint16{readyPort, controlPort, adminPort} {
			ln, err := net.Listen("tcp4", netip.AddrPortFrom(r.address(balancerNet, i), p).String())
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// address returns the i-th address of a role.
func (r *rig) address(role, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, r.second, byte(role), byte(i + 1)})
}

// note writes a line with the time since the start to the record and to standard output.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(r.record, line)
}

// log writes a line to the record only.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// startFleet starts all balancers at once and waits until the routers use them.
func (r *rig) startFleet() error {
	for i := range balancersPerZone * len(zones) {
		b := r.newBalancer(i, zones[i/balancersPerZone])
		r.balancers = append(r.balancers, b)
		if err := b.firstStart(); err != nil {
			return err
		}
	}
	end := time.Now().Add(startTimeout)
	for _, b := range r.balancers {
		for !b.ready.Load() {
			if time.Now().After(end) {
				return fmt.Errorf("balancer %s is not ready", b.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for _, b := range r.balancers {
		if err := b.writeSettings(false); err != nil {
			return err
		}
	}
	return nil
}

// every calls do at an interval until the rig is closed.
func (r *rig) every(interval time.Duration, do func()) {
	r.wg.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-r.stop:
				return
			case <-t.C:
				do()
			}
		}
	})
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	close(r.stop)
	for _, b := range r.balancers {
		b.close()
	}
	r.wg.Wait()
	for _, t := range r.targets {
		t.stop()
	}
	_ = r.front.srv.Close()
	r.store.Close()
	for _, c := range r.callers {
		c.Close()
	}
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}
