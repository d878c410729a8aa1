package router

import (
	"github.com/cespare/xxhash/v2"

	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/rendezvous"
)

// spill passes a new flow to another group when no target of this one can take
// flows, and reports whether it did. Answers reach the caller through that
// group's balancers. The caller's packets still arrive here and are passed on
// by the home, which records only the data centre. mu is held.
func (c *call) spill() bool {
	if c.spilled || !c.v.canSpill(c.addr.Service) {
		return false // a spilled flow is passed on neither to a third group nor back
	}
	c.spillOpening()
	return true
}

// spillOpening passes the call's opening packet to one of the data centres of SpillTo, of which
// there is at least one.
func (c *call) spillOpening() {
	dcs := c.v.Services[c.addr.Service].SpillTo
	seeds := make([]uint64, len(dcs))
	for i, dc := range dcs {
		seeds[i] = rendezvous.Seed(dc)
	}
	e := flow.Entry{
		Key:        c.key,
		Seq:        c.seg.Seq,
		State:      flow.Spilled,
		LastAnswer: dataCenterHash(dcs[rendezvous.First(c.flowHash, seeds)]),
	}
	c.r.Increment(FlowSpilled)
	c.passSpilled(e)
}

// passSpilled sends a caller's packet to a balancer of the group that serves
// its flow.
func (c *call) passSpilled(e flow.Entry) {
	e.LastPacket = tick(c.now)
	if !c.r.store(e) {
		c.r.Increment(DropTableFull)
		return
	}
	for dc, nodes := range c.v.Remotes {
		if dataCenterHash(dc) != e.LastAnswer || len(nodes) == 0 {
			continue
		}
		n := &nodes[rendezvous.First(c.flowHash, nodeSeeds(nodes))]
		hop := geneve.Hop{Kind: geneve.Ask, Count: c.hop.Count + 1, Flags: geneve.FlagSpilled}
		c.out.Actions = append(c.out.Actions, Action{
			To: ToPeer, Peer: n.Data, VNI: c.addr.Service, Hop: hop, Packet: c.seg.Raw,
		})
		return
	}
	c.r.Increment(DropUnknownFlow)
}

func dataCenterHash(dc string) uint32 { return uint32(xxhash.Sum64String(dc)) }
