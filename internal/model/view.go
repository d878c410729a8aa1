package model

import (
	"net/netip"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/rendezvous"
	"rosedale.dev/rosedale/internal/router"
)

// setView applies view n at balancer i. With each view one more of the joining
// balancers serves, one more of the leaving ones does not, and one more of the
// draining targets is no longer eligible.
func (w *world) setView(i, n int) {
	b := w.balancers[i]
	b.view = n
	v := &router.View{
		Addresses: map[netip.AddrPort]router.Address{serviceAddress: {ID: 1, Service: service, Class: w.bounds.Class, Deadline: deadline}},
		Services:  map[uint32]router.Service{},
		TargetIDs: map[router.TargetKey]uint32{},
		Targets:   make([]router.Target, 1),
	}
	indexes := w.addNodes(v, i, n)
	w.addTargets(v, i, n)
	byHome := make([][]router.Moved, len(indexes))
	for _, m := range b.r.SetView(b.now, v) {
		byHome[m.Home] = append(byHome[m.Home], m)
	}
	for node, ms := range byHome {
		if len(ms) > 0 {
			w.send(message{leg: handover, index: indexes[node], sender: -1, moved: ms})
		}
	}
}

// addNodes adds to v the balancers that balancer i knows in view n, and returns
// the index in w.balancers of each.
func (w *world) addNodes(v *router.View, i, n int) []int {
	var indexes []int
	for j, o := range w.balancers {
		if w.bounds.NoPeers && j != i || o.dead && w.balancers[i].excludesDead {
			continue
		}
		if j == i {
			v.Self = len(indexes)
		}
		indexes = append(indexes, j)
		v.Nodes = append(v.Nodes, router.Node{
			Name: nodeName(j), Data: netip.AddrPortFrom(nodeAddr(j), geneve.Port),
			Seed: rendezvous.Seed(nodeName(j)), Serving: w.bounds.serves(j, n),
		})
	}
	return indexes
}

// addTargets adds the service and its targets to balancer i's view n.
func (w *world) addTargets(v *router.View, i, n int) {
	svc := router.Service{Name: "catalogue"}
	for j, t := range w.targets {
		id := uint32(j + 1)
		k := router.TargetKey{Service: service, Addr: t.addr}
		v.TargetIDs[k] = id
		v.Targets = append(v.Targets, router.Target{TargetKey: k, Answered: w.balancers[i].answered[id]})
		bt := balance.Target{ID: id, Seed: rendezvous.Seed(t.addr.String()), Eligible: j >= min(n, w.bounds.Drains)}
		bt.Limit[balance.Connection], bt.Limit[balance.Slot] = 100, w.bounds.Slots
		svc.Targets = append(svc.Targets, bt)
	}
	v.Services[service] = svc
}
