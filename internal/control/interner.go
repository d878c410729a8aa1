package control

import (
	"net/netip"
	"sync/atomic"

	"rosedale.dev/rosedale/internal/router"
	"rosedale.dev/rosedale/internal/wire"
)

// interner assigns identifiers to addresses and targets. An identifier is never reused
// while the process runs, so that the identifiers in flows stay valid through every
// change of the catalogue.
type interner struct {
	addresses map[addressKey]uint32
	targetIDs map[router.TargetKey]uint32
	targets   []router.Target
	byHash    map[uint32]uint32 // target identifiers by target hash
}

// addressKey identifies an address of a service. The same address gets another
// identifier under another service's number.
type addressKey struct {
	service uint32
	addr    netip.AddrPort
}

func newInterner() *interner {
	return &interner{
		addresses: map[addressKey]uint32{},
		targetIDs: map[router.TargetKey]uint32{},
		targets:   make([]router.Target, 1), // 0 means no target
		byHash:    map[uint32]uint32{},
	}
}

func (n *interner) address(service uint32, a netip.AddrPort) uint32 {
	k := addressKey{service, a}
	if id, ok := n.addresses[k]; ok {
		return id
	}
	id := uint32(len(n.addresses) + 1)
	n.addresses[k] = id
	return id
}

func (n *interner) target(service uint32, a netip.Addr, dc string) uint32 {
	k := router.TargetKey{Service: service, Addr: a}
	if id, ok := n.targetIDs[k]; ok {
		n.targets[id].DataCenter = dc
		return id
	}
	id := uint32(len(n.targets))
	n.targets = append(n.targets, router.Target{TargetKey: k, DataCenter: dc, Answered: new(atomic.Int64)})
	n.targetIDs[k] = id
	n.byHash[wire.TargetHash(service, a)] = id
	return id
}
