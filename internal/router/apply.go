package router

import (
	"net/netip"
	"time"

	"rosedale.dev/rosedale/internal/balance"
)

// SetView replaces the view. Pools get their targets. Flows whose home is now
// another balancer are released, and those whose home is now this one are
// counted with the next packet that shows activity. It returns the flows to
// hand over to their new homes.
func (r *Router) SetView(now time.Duration, v *View) []Moved {
	v.index()
	old := r.install(now, v)
	if old != nil && sameHomes(old, v) {
		return nil
	}
	return r.recount(now, old, v)
}

// install updates the pools and publishes v. It returns the previous view.
func (r *Router) install(now time.Duration, v *View) *View {
	r.mu.Lock()
	defer r.mu.Unlock()
	serving := 0
	for i := range v.Nodes {
		if v.Nodes[i].Serving {
			serving++
		}
	}
	for n, s := range v.Services {
		p := r.pools[n]
		if p == nil {
			p = &pool{Pool: balance.NewPool()}
			r.pools[n] = p
		}
		p.Slack, p.Policy = s.Slack, s.Policy
		p.Update(now, serving, s.Targets)
	}
	return r.view.Swap(v)
}

func sameHomes(a, b *View) bool {
	if len(a.Nodes) != len(b.Nodes) {
		return false
	}
	for i := range a.Nodes {
		x, y := a.Nodes[i], b.Nodes[i]
		if x.Seed != y.Seed || x.Serving != y.Serving {
			return false
		}
	}
	return true
}

// serviceAddress is an Address with the IP address and port that callers use.
type serviceAddress struct {
	Address
	addr netip.AddrPort
}

// index builds the lookup tables of addresses.
func (v *View) index() {
	v.byID = make(map[uint32]serviceAddress, len(v.Addresses))
	v.byAddr = newAddressIndex(len(v.Addresses))
	for ap, a := range v.Addresses {
		v.byID[a.ID] = serviceAddress{a, ap}
		v.byAddr.add(ap, &a)
	}
}

func (v *View) addressByID(id uint32) (serviceAddress, bool) {
	a, ok := v.byID[id]
	return a, ok
}

// SetPeerExcess sets, by target identifier, how many more connections than this
// balancer its peers have, summed over all peers. Targets missing from the map
// count as equal.
func (r *Router) SetPeerExcess(excess map[uint32]int) {
	v := r.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := uint32(1); int(id) < len(v.Targets); id++ {
		if p := r.pools[v.Targets[id].Service]; p != nil {
			p.SetPeerExcess(id, excess[id])
		}
	}
}

// ReportLoad records the load, where 1 is full, that a target's endpoint
// reported.
func (r *Router) ReportLoad(now time.Duration, id uint32, load float64) {
	v := r.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[v.Targets[id].Service]; p != nil {
		p.ReportLoad(now, id, load)
	}
}

// TargetUsage is the number of connections and slots that the flows of this
// balancer use at one target.
type TargetUsage struct {
	Target      uint32
	Connections int
	Slots       int
}

// Usage returns the usage of every target that is in use, by target
// identifier.
func (r *Router) Usage() []TargetUsage {
	v := r.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []TargetUsage
	for id := 1; id < len(v.Targets); id++ {
		p := r.pools[v.Targets[id].Service]
		if p == nil {
			continue
		}
		u := TargetUsage{uint32(id), p.Used(uint32(id), balance.Connection), p.Used(uint32(id), balance.Slot)}
		if u.Connections+u.Slots > 0 {
			out = append(out, u)
		}
	}
	return out
}
