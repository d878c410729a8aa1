package router

import (
	"slices"

	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// rejectAccept drops a SYN-ACK of a target that is not the flow's. The target is reset
// once the caller is known to be elsewhere: it repeats its SYN-ACK until then. A reset
// sent earlier may reach the target after another home has given it to the caller, as it
// carries the number that the caller uses there.
func (c *call) rejectAccept(e *flow.Entry, known bool, id uint32) {
	c.decide(DropLateAccept, e)
	if known && c.callerElsewhere(e) {
		c.decide(ResetLeft, e)
		c.out.target(c.v, id, packet.ResetTo(&c.seg))
	}
}

// callerElsewhere reports whether the caller has confirmed the flow of the SYN-ACK in hand
// at the recorded target.
func (c *call) callerElsewhere(e *flow.Entry) bool {
	switch e.State {
	case flow.Open, flow.Learned, flow.Closing:
		return e.Seq != 0 && sameIncarnation(e, c.seg.Ack)
	}
	return false
}

// acceptOfAnother handles a SYN-ACK that is not the recorded target's. It returns
// false for one that is to be delivered, and for one that no home waits for.
func (c *call) acceptOfAnother(e *flow.Entry, ok bool, id uint32) bool {
	switch {
	case !ok && c.askFormerHome(id, c.hop.Flags):
		return true
	case c.hop.Flags&geneve.FlagCrossed != 0 && (!ok || e.State == flow.Handed):
		c.rejectAccept(e, ok, id)
		return true
	case !ok:
		return false
	case e.State == flow.Handed:
		c.acceptOfHanded(e, id)
		return true
	case c.acceptOfProbed(e):
		c.endProbe(e, id)
		return true
	case e.Target == id:
		return false
	case c.acceptedWithoutTarget(e, id):
		e.Target = id
		e.State = flow.Opening
		c.r.hold(e, c.addr.Service, c.addr.Unit())
		return false
	}
	return c.crossedAccept(e, id)
}

// acceptOfHanded passes a SYN-ACK of an opening that was handed over to its new home, which
// may never get it otherwise: two balancers that take each other for the home end it here.
func (c *call) acceptOfHanded(e *flow.Entry, id uint32) {
	if c.isHome() || c.hop.Flags&geneve.FlagFormer != 0 {
		c.decide(DropLateAccept, e) // its home has it already
		return
	}
	c.r.Increment(HomeForwarded)
	hop := geneve.Hop{Kind: geneve.Answer, Count: max(c.hop.Count, openingHops) + 1, Target: c.v.Targets[id].Addr}
	c.out.peer(c.v, c.home, c.addr.Service, hop, c.seg.Raw)
}

// crossedAccept passes a SYN-ACK of another target than the home's to the
// former home, which may have given it to the caller.
func (c *call) crossedAccept(e *flow.Entry, id uint32) bool {
	if o := c.r.openings[c.key]; o != nil {
		o.exclude(id)
	}
	if c.hop.Flags&geneve.FlagFormer != 0 || c.callerElsewhere(e) {
		return false
	}
	return c.askFormerHome(id, geneve.FlagCrossed)
}

// askFormerHome passes a SYN-ACK that the home does not know, or with
// FlagCrossed one of another target than the home's, along the flow's order to
// the balancers that were home before. The first that knows it decides.
//
// Failure: the home changed while an opening was under way. The former home
// waits for this SYN-ACK, and would reset the target and try another one; or
// it has done so already, and delivering the late SYN-ACK would give the caller
// a connection that the target is about to lose. Either shows as a reset of a
// connection that was just accepted. Only the former home can tell the two
// cases apart. If it died, the target's next SYN-ACK comes after its death is
// known, and goes to the balancer that is next then.
//
// The same holds where a repeated opening packet came to the new home before
// the handover, and the two homes chose different targets: the former one may
// have given the caller a connection to its own.
//
// With several changes at once the former home is not the next in the order.
func (c *call) askFormerHome(id uint32, flags uint8) bool {
	asked := 0
	if c.hop.Flags&geneve.FlagFormer != 0 {
		asked = int(c.hop.Count) - openingHops + 1
	}
	if asked >= c.r.set.MaxAsk {
		return false
	}
	i := c.v.nextAfter(c.addr.homeKey(c.flow), c.home, max(asked-1, 0))
	if i < 0 {
		return false
	}
	hop := geneve.Hop{
		Kind:   geneve.Answer,
		Count:  openingHops + uint8(asked),
		Flags:  geneve.FlagFormer | flags,
		Target: c.v.Targets[id].Addr,
	}
	c.r.Increment(AskForwarded)
	c.out.peer(c.v, i, c.addr.Service, hop, c.seg.Raw)
	return true
}

// accepts reports whether a SYN-ACK or a reset that came along a flow's order belongs to
// the flow that is recorded here.
//
// Failure: a caller used the same port before, and this balancer still has that
// flow and its target. It shows as a SYN-ACK of a target that was left behind,
// which reaches the caller before the one of its flow's target; the caller's
// payload then fits no record.
func (c *call) accepts(e *flow.Entry, id uint32) bool {
	if c.seg.IsReset() {
		return e.Target == id
	}
	switch e.State {
	case flow.Queued, flow.Refused:
		return c.acceptedWithoutTarget(e, id)
	case flow.Opening:
		return c.seg.Ack == e.Seq+1
	case flow.Accepted:
		return c.seg.Seq == e.Seq
	case flow.Probing:
		return c.acceptOfProbed(e)
	case flow.Open:
		return sameIncarnation(e, c.seg.Ack)
	}
	return false
}

// acceptedWithoutTarget reports whether a target accepts an opening that waits here for
// room, or was refused.
//
// Failure: a target refuses one copy of an opening packet and accepts another, or
// another home sent it there. It shows as a connection that is reset although
// its caller waits for one. The target has room, and nothing else was tried since.
//
// Failure: two homes have the opening in their queues while views differ. The target's
// acceptance reaches the one without room for it first, then the other one, which has room
// and rejected it all the same. It shows as a connection that is reset once a further copy
// of the opening packet, with the same numbers, has opened it at that target, as the
// rejection's reset is overtaken by it.
//
// Only the caller knows whether it took a refusal: it resets the connection if it did.
func (c *call) acceptedWithoutTarget(e *flow.Entry, id uint32) bool {
	if !c.seg.IsAccept() || c.seg.Ack != e.Seq+1 || !c.r.pools[c.addr.Service].HasRoom(id, c.addr.Unit()) {
		return false
	}
	switch o := c.r.openings[c.key]; e.State {
	case flow.Queued:
		return o != nil && !slices.Contains(o.lost, id)
	case flow.Refused:
		return true
	}
	return false
}
