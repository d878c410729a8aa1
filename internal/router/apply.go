package router

import (
	"net/netip"
	"time"

	"rosedale.dev/rosedale/internal/balance"
)

// SetView puts v in force: pools get their targets, and flows whose home came
// to this balancer or went from it are counted anew. It returns the flows that
// their new homes have to be told of.
func (r *Router) SetView(now time.Duration, v *View) []Moved {
	v.index()
	old := r.install(now, v)
	if old != nil && sameHomes(old, v) {
		return nil
	}
	return r.recount(now, v)
}

// install updates the pools and publishes v. It returns the view before.
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

// located is an Address with the IP address and port that callers use.
type located struct {
	Address
	addr netip.AddrPort
}

// index prepares the lookups of addresses.
func (v *View) index() {
	v.byID = make(map[uint32]located, len(v.Addresses))
	v.byAddr = newAddressIndex(len(v.Addresses))
	for ap, a := range v.Addresses {
		v.byID[a.ID] = located{a, ap}
		v.byAddr.add(ap, &a)
	}
}

func (v *View) addressByID(id uint32) (located, bool) {
	a, ok := v.byID[id]
	return a, ok
}

// ReportAhead sets, by target identifier, how many connections more than this
// balancer its peers hold. Targets that are missing are even.
func (r *Router) ReportAhead(ahead map[uint32]int) {
	v := r.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := uint32(1); int(id) < len(v.Targets); id++ {
		if p := r.pools[v.Targets[id].Service]; p != nil {
			p.ReportAhead(id, ahead[id])
		}
	}
}

// ReportLoad sets the load that a target's endpoint reported.
func (r *Router) ReportLoad(now time.Duration, id uint32, load float64) {
	v := r.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[v.Targets[id].Service]; p != nil {
		p.ReportLoad(now, id, load)
	}
}

// TargetUsage is what the flows of this balancer hold at one target.
type TargetUsage struct {
	Target      uint32
	Connections int
	Slots       int
}

// Usage returns the non-zero holdings, by target identifier.
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
		h := TargetUsage{uint32(id), p.Used(uint32(id), balance.Connection), p.Used(uint32(id), balance.Slot)}
		if h.Connections+h.Slots > 0 {
			out = append(out, h)
		}
	}
	return out
}
