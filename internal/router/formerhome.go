package router

import (
	"slices"

	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// rejectAccept drops a SYN-ACK of a target other than the recorded one. The
// target retransmits it until it is reset, which happens once the caller is
// known to be connected elsewhere. An earlier reset would carry the sequence
// number that the caller uses at that target, and could end a connection that
// another home has given to the caller there.
func (c *call) rejectAccept(e *flow.Entry, known bool, id uint32) {
	c.report(DropLateAccept, e)
	if known && c.confirmedElsewhere(e) {
		c.report(ResetLeft, e)
		c.out.sendToTarget(c.v, id, packet.ResetTo(&c.seg))
	}
}

// confirmedElsewhere reports whether the caller has acknowledged the recorded
// target's SYN-ACK for the flow that the current SYN-ACK belongs to.
func (c *call) confirmedElsewhere(e *flow.Entry) bool {
	switch e.State {
	case flow.Open, flow.Learned, flow.Closing:
		return e.Seq != 0 && matchesEntry(e, c.seg.Ack)
	}
	return false
}

// unexpectedAccept handles a SYN-ACK that does not fit the record. It returns
// false for a SYN-ACK that answerAtHome is to handle: one of the recorded target
// or of a target that this function records, one whose flow is to be adopted,
// and one to be rejected.
func (c *call) unexpectedAccept(e *flow.Entry, ok bool, id uint32) bool {
	switch {
	case !ok && c.askFormerHome(id, c.hop.Flags):
		return true
	case c.hop.Flags&geneve.FlagCrossed != 0 && (!ok || e.State == flow.Handed):
		c.rejectAccept(e, ok, id)
		return true
	case !ok:
		return false
	case e.State == flow.Handed:
		c.forwardHandedAccept(e, id)
		return true
	case c.acceptEndsProbe(e):
		c.endProbe(e, id)
		return true
	case e.Target == id:
		return false
	case c.acceptsUndispatched(e, id):
		e.Target = id
		e.State = flow.Opening
		c.acquire(e)
		return false
	}
	return c.forwardCrossedAccept(e, id)
}

// forwardHandedAccept passes a SYN-ACK for an opening that was handed over to
// the new home, which may not get it otherwise: while each of two balancers
// considers the other one the home, the SYN-ACK reaches openingHops here.
func (c *call) forwardHandedAccept(e *flow.Entry, id uint32) {
	if c.isHome() || c.hop.Flags&geneve.FlagFormer != 0 {
		c.report(DropLateAccept, e) // this is the home again, or the home passed it on
		return
	}
	c.r.Increment(HomeForwarded)
	hop := geneve.Hop{Kind: geneve.Answer, Count: max(c.hop.Count, openingHops) + 1, Target: c.v.Targets[id].Addr}
	c.out.sendToPeer(c.v, c.home, c.addr.Service, hop, c.seg.Raw)
}

// forwardCrossedAccept passes a SYN-ACK of a target other than the home's to
// the former home, which may have delivered it to the caller. It returns false
// if there is none to ask, if the caller is known to be connected elsewhere, or
// if the home itself passed the SYN-ACK to this balancer as a former home.
func (c *call) forwardCrossedAccept(e *flow.Entry, id uint32) bool {
	if o := c.r.openings[c.key]; o != nil {
		o.exclude(id)
	}
	if c.hop.Flags&geneve.FlagFormer != 0 || c.confirmedElsewhere(e) {
		return false
	}
	return c.askFormerHome(id, geneve.FlagCrossed)
}

// askFormerHome passes a SYN-ACK or reset of a flow that the home does not know,
// or with FlagCrossed a SYN-ACK of a target other than the home's, along the
// flow's rendezvous order to former homes. The first balancer that knows the
// flow decides. It returns false if there is none to ask.
//
// When the home changes during an opening, the former home may still wait for
// this SYN-ACK and would otherwise reset the target and retry at another one.
// It may also have done so already; delivering the late SYN-ACK would then
// give the caller a connection that the target is about to lose. In both cases
// a connection that was just accepted would be reset, and only the former home
// can tell them apart. If the former home died, the target's next SYN-ACK
// arrives after it was marked dead and goes to the next balancer in the order.
//
// The same applies if a retransmitted opening packet reached the new home
// before the handover and the two homes chose different targets: the former
// home may have given the caller a connection to its own.
//
// After several changes at once the former home need not be the next in the
// order, so up to MaxAsk balancers are asked.
func (c *call) askFormerHome(id uint32, flags uint8) bool {
	asked := 0
	if c.hop.Flags&geneve.FlagFormer != 0 {
		asked = int(c.hop.Count) - openingHops + 1
	}
	if asked >= c.r.settings.MaxAsk {
		return false
	}
	i := c.v.nextAfter(c.addr.homeKey(c.flowHash), c.home, max(asked-1, 0))
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
	c.out.sendToPeer(c.v, i, c.addr.Service, hop, c.seg.Raw)
	return true
}

// matchesRecord reports whether a SYN-ACK or a reset that came along the
// flow's rendezvous order belongs to the flow that is recorded here.
//
// If the caller used the same port before, this balancer may still have that
// flow and its target recorded. Without this check a SYN-ACK of an abandoned
// target could reach the caller before the one of its flow's target, and the
// caller's payload would match no record.
func (c *call) matchesRecord(e *flow.Entry, id uint32) bool {
	if c.seg.IsReset() {
		return e.Target == id
	}
	switch e.State {
	case flow.Queued, flow.Refused:
		return c.acceptsUndispatched(e, id)
	case flow.Opening:
		return c.seg.Ack == e.Seq+1
	case flow.Accepted:
		return c.seg.Seq == e.Seq
	case flow.Probing:
		return c.acceptEndsProbe(e)
	case flow.Open:
		return matchesEntry(e, c.seg.Ack)
	}
	return false
}

// acceptsUndispatched reports whether a target accepts an opening that waits
// in the queue here, or that was refused.
//
// A target may refuse one copy of an opening packet and accept another, or
// another home may have sent it there. Rejecting the SYN-ACK would reset a
// connection that the caller waits for. The target is therefore recorded if it
// has room and was not excluded.
//
// While views differ, two homes may have the opening in their queues, and the
// SYN-ACK may reach the one without room first. If the other one, which has
// room, rejected it too, its reset could be overtaken by a further copy of the
// opening packet with the same numbers, and end the connection that this copy
// has opened at the target.
//
// Only the caller knows whether it has accepted a refusal. If it has, it
// resets the connection.
func (c *call) acceptsUndispatched(e *flow.Entry, id uint32) bool {
	if !c.seg.IsAccept() || c.seg.Ack != e.Seq+1 || !c.r.pools[c.addr.Service].HasRoom(id, c.addr.Unit()) {
		return false
	}
	switch o := c.r.openings[c.key]; e.State {
	case flow.Queued:
		return o != nil && !slices.Contains(o.excluded, id)
	case flow.Refused:
		return true
	}
	return false
}
