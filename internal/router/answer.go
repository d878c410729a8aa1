package router

import (
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
)

// answerSlow handles a target's packet that the fast path does not: SYN-ACKs,
// FINs, resets, and answers of flows that this balancer does not know.
func (c *call) answerSlow(id uint32) {
	if c.hasHop && c.hop.Kind == geneve.Correct {
		c.applyCorrection(id)
		return
	}
	if c.isHome() || c.hop.Count >= openingHops {
		c.r.mu.Lock()
		defer c.r.mu.Unlock()
		c.answerAtHome(id)
		return
	}
	c.learn(id)
	c.endPassing(id)
	c.r.Increment(HomeForwarded)
	hop := geneve.Hop{Kind: geneve.Answer, Count: c.hop.Count + 1, Flags: c.hop.Flags & geneve.FlagRecorded, Target: c.v.Targets[id].Addr}
	if c.seg.IsReset() && c.recordedAt(id) {
		hop.Flags |= geneve.FlagRecorded
	}
	c.out.sendToPeer(c.v, c.home, c.addr.Service, hop, c.seg.Raw)
}

// recordedAt reports whether this balancer has the flow recorded at target id.
func (c *call) recordedAt(id uint32) bool {
	e, ok := c.load()
	return ok && e.Target == id && (isLive(e.State) || e.State == flow.Closing)
}

// learn records the target of an answer that is forwarded to the home. The
// home corrects the record if it has another target.
func (c *call) learn(id uint32) {
	if c.hasHop || c.seg.IsAccept() || c.seg.IsReset() {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	now := tick(c.now)
	e, ok := c.load()
	if e.Flags&flow.Counted != 0 || c.r.openings[c.key] != nil || e.State == flow.Accepted {
		return // this balancer decided on the flow; its record stays
	}
	if c.storeHint(&e, ok, id) {
		return
	}
	if !ok || e.State == flow.Hinted {
		c.r.Increment(FlowLearned)
		e = flow.Entry{Key: c.key, Target: id, State: flow.Learned}
	}
	if e.Target != id {
		// Either a later flow of the same ports or a late packet of an earlier
		// one. The home gets this answer next and corrects the latter.
		e = flow.Entry{Key: c.key, Target: id, State: flow.Learned}
	}
	e.LastPacket, e.LastAnswer = now, now
	if c.seg.HasAck() {
		e.Seq = c.seg.Ack
	}
	if c.seg.IsFin() {
		e.State = flow.Closing
	}
	c.r.store(e)
}

// storeHint reports whether the answer does not prove that its target has the
// flow. Unless the flow has a record other than a hint, it then stores a hint.
//
// When a target's SYN-ACK is lost, it answers the retransmitted opening packet
// with a bare acknowledgement, and the opening may then go to another target.
// A balancer that learned the first target from that acknowledgement would
// send the caller's payload there. A bare acknowledgement is therefore a proof
// only if an earlier one had another number, which shows that the flow
// progresses.
func (c *call) storeHint(e *flow.Entry, known bool, id uint32) bool {
	if !c.isBareAck() {
		return false
	}
	hinted := known && e.State == flow.Hinted
	if known && !hinted {
		return e.Target != id
	}
	if hinted && e.Target == id && e.Seq != c.seg.Ack {
		return false
	}
	c.r.store(flow.Entry{Key: c.key, Target: id, State: flow.Hinted, Seq: c.seg.Ack, LastPacket: tick(c.now)})
	return true
}

// isBareAck reports whether an answer carries neither payload nor FIN.
func (c *call) isBareAck() bool { return c.seg.PayloadLen == 0 && !c.seg.IsFin() }

// applyCorrection replaces the target of a learned flow, or the candidate of a
// probe, by the target that the home has recorded. It does not change flows
// that this balancer decided on.
func (c *call) applyCorrection(id uint32) {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	e, ok := c.load()
	if !ok || e.Flags&flow.Counted != 0 || e.State != flow.Learned && e.State != flow.Probing {
		return
	}
	c.report(FlowCorrected, &e)
	if e.State == flow.Probing {
		c.endProbe(&e, id)
		return
	}
	e.Target = id
	c.r.store(e)
}

// answerAtHome handles a target's packet at the flow's home, or at the balancer
// that acts as home because the packet has made openingHops hops. mu is held.
func (c *call) answerAtHome(id uint32) {
	e, ok := c.load()
	ok = ok && e.State != flow.Spilled && e.State != flow.Hinted
	if ok && c.hop.Flags&geneve.FlagFormer != 0 && e.State != flow.Handed && !c.matchesRecord(&e, id) {
		ok = false
		c.hop.Flags |= geneve.FlagCrossed // so that no balancer adopts the flow
	}
	if c.seg.IsAccept() && c.unexpectedAccept(&e, ok, id) {
		return
	}
	switch {
	case !ok || e.State == flow.Handed || c.acceptedElsewhere(&e, id) || c.answeredByOther(&e, id):
		c.adoptAnswer(id)
	case e.Target != id:
		c.dropCrossed(&e, id)
	default:
		c.answerFromTarget(&e)
	}
}

// answerFromTarget handles an answer from the flow's recorded target.
func (c *call) answerFromTarget(e *flow.Entry) {
	now := tick(c.now)
	e.LastPacket, e.LastAnswer = now, now
	if e.Answers < 255 {
		e.Answers++
	}
	switch {
	case c.seg.IsReset():
		c.resetFromTarget(e)
	case c.seg.IsAccept():
		c.deliverAccept(e)
	case e.State == flow.Probing && !c.answersProbe(e):
		c.report(DropCrossedAnswer, e)
	case c.connectedByOther(e):
		c.continueOpening(e)
	case e.State == flow.Opening:
		// The target has an older flow with the same ports and sends a
		// challenge ACK (RFC 5961). The caller answers with a reset, which
		// ends that flow.
		c.out.sendToCaller(c.seg.Raw)
	default:
		c.deliverAnswer(e)
	}
}

func (c *call) deliverAnswer(e *flow.Entry) {
	if e.State == flow.Accepted && c.isBareAck() {
		// This may answer a retransmitted opening packet, so it does not show
		// that the caller has acknowledged the SYN-ACK.
		c.r.store(*e)
		c.out.sendToCaller(c.seg.Raw)
		return
	}
	switch e.State {
	case flow.Accepted, flow.Learned, flow.Probing:
		e.State = flow.Open
		delete(c.r.probes, e.Key)
	}
	if c.seg.HasAck() {
		e.Seq = c.seg.Ack
	}
	c.out.sendToCaller(c.seg.Raw)
	if c.seg.IsFin() {
		c.endFlow(e)
		return
	}
	if e.State == flow.Open && c.provesActive() {
		c.acquire(e)
	}
	c.r.store(*e)
}

func (c *call) deliverAccept(e *flow.Entry) {
	if e.State == flow.Opening {
		e.State = flow.Accepted
		e.Seq = c.seg.Seq
		c.r.Increment(FlowOpened)
		c.r.pools[c.addr.Service].Accepted(e.Target)
		if o := c.r.openings[e.Key]; o != nil {
			c.r.removeOpening(e.Key, o)
		}
	}
	c.r.store(*e)
	c.out.sendToCaller(c.seg.Raw)
}

// resetFromTarget handles a reset from the flow's recorded target.
func (c *call) resetFromTarget(e *flow.Entry) {
	switch e.State {
	case flow.Opening:
		c.openingRefused(e)
	case flow.Probing:
		c.probeRejected(e)
	default:
		if c.refusesOpening() {
			c.report(DropLateRefusal, e)
			return
		}
		c.report(ResetByTarget, e)
		c.out.sendToCaller(c.seg.Raw)
		c.endFlow(e)
	}
}

// refusesOpening reports whether a reset answers an opening packet; it then
// has sequence number 0 (RFC 9293, section 3.10.7.1).
//
// A target may refuse one copy of an opening packet and accept a later one,
// and the refusal may arrive last. If it were treated as the end of the flow,
// the slot of a live flow would be released, and a further copy of the opening
// packet would open it at another target. The caller ignores such a reset once
// its connection is established.
func (c *call) refusesOpening() bool { return c.seg.Seq == 0 && c.seg.HasAck() }

// openingRefused handles an opening that its target refused: it is retried,
// queued or refused.
func (c *call) openingRefused(e *flow.Entry) {
	o := c.r.openings[e.Key]
	if o == nil {
		c.r.remove(e.Key)
		return
	}
	c.r.pools[c.addr.Service].Shed(c.now, e.Target)
	c.r.release(e, c.addr.Service, c.addr.Unit())
	c.r.retryRefused(c.now, c.v, e, o, c.out)
	c.admitWaiting(c.addr.Service)
}

// adoptAnswer handles an answer of a flow that its home does not know because
// another balancer was home when it opened. The answer shows that the target
// has the flow.
//
// A reset is forwarded to the caller only if some balancer has the flow
// recorded at that target, since it may be a candidate's answer to a probe by
// another balancer. Other resets are passed along the flow's rendezvous order
// to the balancer that probes.
func (c *call) adoptAnswer(id uint32) {
	if c.seg.IsReset() && c.hop.Flags&geneve.FlagRecorded == 0 {
		if !c.askFormerHome(id, 0) {
			c.report(DropUnknownReset, nil)
		}
		return
	}
	c.out.sendToCaller(c.seg.Raw)
	if c.seg.IsReset() {
		c.report(ResetByTarget, nil)
		return
	}
	if c.isBareAck() && !c.seg.IsAccept() {
		return // a bare acknowledgement does not prove that the target has the flow
	}
	e := flow.Entry{Key: c.key, Target: id, Seq: c.seg.Ack, LastPacket: tick(c.now), LastAnswer: tick(c.now), State: flow.Open}
	if c.seg.IsAccept() {
		e.State = flow.Accepted
		e.Seq = c.seg.Seq
	}
	if c.seg.IsFin() {
		e.State = flow.Closing
	} else if c.isHome() && (c.seg.IsAccept() || c.provesActive()) {
		c.acquire(&e)
	}
	c.report(FlowAdopted, &e)
	if !c.r.store(e) {
		c.r.release(&e, c.addr.Service, c.addr.Unit())
		c.r.Increment(DropTableFull)
	}
}
