package rig2

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Router hands the packets of requesters to the balancers of their zone that are in rotation, by
// a steady hash of their addresses and ports.
type Router struct {
	mu       sync.Mutex
	machines []*machine
	http     *http.Client
	stop     chan struct{}
}

// machine is a balancer as the routers see it.
type machine struct {
	zone        string
	data, ready netip.AddrPort
	misses      int
	in          bool // in rotation
}

// NewRouter starts the routers' probes.
func NewRouter() *Router {
	r := &Router{http: &http.Client{Timeout: 450 * time.Millisecond}, stop: make(chan struct{})}
	go r.probe()
	return r
}

// Close ends the probes.
func (r *Router) Close() { close(r.stop) }

// add adds a balancer, which is out of rotation until it says that it is ready.
func (r *Router) add(zone string, data, ready netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machines = append(r.machines, &machine{zone: zone, data: data, ready: ready, misses: 2})
}

// InRotation returns the number of balancers in rotation.
func (r *Router) InRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.machines {
		if m.in {
			n++
		}
	}
	return n
}

// probe asks each balancer twice a second. Two misses take it out of rotation.
func (r *Router) probe() {
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-t.C:
		}
		r.mu.Lock()
		all := append([]*machine(nil), r.machines...)
		r.mu.Unlock()
		for _, m := range all {
			go r.ask(m)
		}
	}
}

func (r *Router) ask(m *machine) {
	resp, err := r.http.Get("http://" + m.ready.String() + "/readiness")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		m.misses, m.in = 0, true
		return
	}
	if m.misses++; m.misses >= 2 {
		m.in = false
	}
}

// pick returns the balancer for a packet: one in rotation of the zone; all of the zone if fewer
// than half are in rotation; those of other zones if none is.
func (r *Router) pick(zone string, from, to netip.AddrPort) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, nearIn, farIn []*machine
	for _, m := range r.machines {
		switch {
		case m.zone == zone && m.in:
			nearIn = append(nearIn, m)
			near = append(near, m)
		case m.zone == zone:
			near = append(near, m)
		case m.in:
			farIn = append(farIn, m)
		}
	}
	candidates := nearIn
	switch {
	case len(nearIn) == 0:
		candidates = farIn
	case 2*len(nearIn) < len(near):
		candidates = near
	}
	var best *machine
	var most uint64
	for _, m := range candidates {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, m.data, from, to)
		if v := h.Sum64(); best == nil || v > most {
			best, most = m, v
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.data, true
}
