package router

import (
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
)

// hopLimit is the hop count at which a caller's packet that the fast path does
// not handle is dropped, whatever the balancers' views.
const hopLimit = 8

const (
	// openingHops is the number of hops after which a balancer no longer passes
	// an opening packet, an answer or a packet of a silent flow to the home, but
	// acts as home itself. It is reached while views differ.
	openingHops = 2
	// spillHops is the maximum number of hops that an opening packet may have
	// made before it was passed to another group.
	spillHops = 2
)

// hopsLeft reports whether an opening packet may still be passed to its home.
func (c *call) hopsLeft() bool {
	if c.spilled {
		return c.hop.Count < openingHops+spillHops
	}
	return c.hop.Count < openingHops
}

// callerSlow handles a caller's packet that the fast path does not.
func (c *call) callerSlow() {
	switch {
	case c.hop.Count >= hopLimit:
		c.r.Increment(DropHopLimit)
	case c.seg.IsOpening():
		c.handleOpening()
	case c.hasHop && c.hop.Kind == geneve.Silent && c.hop.Flags&geneve.FlagAsked != 0:
		c.reportRecentAnswer()
	case c.hasHop && c.hop.Kind == geneve.Silent && c.hop.Flags&geneve.FlagAnswered != 0:
		c.handleObjection()
	case c.hasHop && c.hop.Kind == geneve.Silent:
		c.silentAtHome()
	case c.hasHop:
		c.handleAsk()
	case c.isHome():
		c.callerAtHome(false)
	default:
		c.forwardToHome()
	}
}

// forwardToHome passes a caller's packet on to the flow's home.
func (c *call) forwardToHome() {
	hop := geneve.Hop{Kind: geneve.Ask, Count: c.hop.Count + 1}
	if c.seg.IsOpening() {
		hop.Kind = geneve.Opening
	} else if e, ok := c.load(); ok && !c.seg.IsReset() && (e.State == flow.Learned || e.State == flow.Open) {
		hop.Kind = geneve.Silent
		hop.Target = c.v.Targets[e.Target].Addr
	}
	if c.spilled {
		hop.Flags = geneve.FlagSpilled
	}
	c.r.Increment(HomeForwarded)
	c.out.sendToPeer(c.v, c.home, c.addr.Service, hop, c.seg.Raw)
}

func (c *call) handleOpening() {
	if !c.isHome() && c.hopsLeft() {
		c.forwardToHome()
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.openAtHome()
}

// handleAsk handles a packet of a flow that the balancer that passed it on does not know.
func (c *call) handleAsk() {
	if c.isHome() {
		c.callerAtHome(c.hop.Flags&geneve.FlagExhausted != 0)
		return
	}
	if c.forwardAsked() {
		return
	}
	c.askNext()
}

// forwardAsked handles the packet by the flow's entry if there is a usable one
// here, and reports whether there was. The entry usually remains from a time
// when this balancer was the flow's home or acted as such.
func (c *call) forwardAsked() bool {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	e, ok := c.load()
	if ok && e.State == flow.Spilled {
		c.passSpilled(e)
		return true
	}
	if !ok || e.Target == 0 || e.State == flow.Opening || e.State == flow.Hinted {
		return false
	}
	if c.seg.IsReset() {
		c.resetFromCaller(e)
		return true
	}
	return c.forwardByEntry(&e)
}

// askNext passes the packet along the flow's rendezvous order, since the balancers next in it are
// the most likely former or future homes. The hop count determines the position in that order:
// with count 2 this is the first balancer asked, which the order of nextAfter leaves out, so that
// the second one is at position 0 as the first one was for the home. After MaxAsk balancers the
// packet returns to the home, which probes.
func (c *call) askNext() {
	n := int(c.hop.Count)
	hop := geneve.Hop{Kind: geneve.Ask, Count: c.hop.Count + 1}
	if n <= c.r.settings.MaxAsk {
		if i := c.v.nextAfter(c.addr.homeKey(c.flowHash), c.home, max(n-2, 0)); i >= 0 {
			c.r.Increment(AskForwarded)
			c.out.sendToPeer(c.v, i, c.addr.Service, hop, c.seg.Raw)
			return
		}
	}
	if c.isHome() {
		e, known := c.load()
		c.probeAfterAsking(e, known && !isMarker(e.State))
		return
	}
	hop.Flags = geneve.FlagExhausted
	c.out.sendToPeer(c.v, c.home, c.addr.Service, hop, c.seg.Raw)
}

// callerAtHome handles a caller's packet other than an opening packet at the flow's home. Exhausted
// means that the balancers in the flow's order were asked already.
func (c *call) callerAtHome(exhausted bool) {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	e, ok := c.load()
	if ok && e.State == flow.Spilled {
		c.passSpilled(e)
		return
	}
	ok = ok && !isMarker(e.State)
	if ok && c.seg.IsReset() {
		c.resetFromCaller(e)
		return
	}
	if ok && c.forwardByEntry(&e) {
		return
	}
	e, ok = c.load() // forwardByEntry may have removed a crossed entry
	ok = ok && !isMarker(e.State)
	if exhausted {
		c.probeAfterAsking(e, ok)
		return
	}
	if c.spilled || c.hop.Count == 0 {
		c.hop.Count = 1
	}
	c.askNext()
}

// probeAfterAsking probes the candidate targets when no balancer that was asked knows the flow. A
// pending opening of this flow is ended if the packet's numbers show that the caller already has a
// connection. A balancer that was not asked has then delivered a SYN-ACK, often of the opening's
// own target.
func (c *call) probeAfterAsking(e flow.Entry, known bool) {
	if known && !c.callerConnected(&e) {
		c.report(DropMidOpening, &e)
		return
	}
	if !known {
		c.probeUnknown(0)
		return
	}
	c.report(FlowCrossed, &e)
	c.r.release(&e, c.addr.Service, c.addr.Unit())
	if o := c.r.openings[e.Key]; o != nil {
		c.r.removeOpening(e.Key, o)
	}
	c.r.remove(e.Key)
	c.probeUnknown(e.Target)
}

// isMarker reports whether an entry in this state is only a marker, by which
// no packet is forwarded.
func isMarker(s flow.State) bool { return s == flow.Handed || s == flow.Hinted }

// forwardByEntry handles the packet by its flow's entry. It returns false if
// the entry is only a marker or does not belong to the caller's connection.
func (c *call) forwardByEntry(e *flow.Entry) bool {
	e.LastPacket = tick(c.now)
	switch e.State {
	case flow.Handed, flow.Hinted:
		return false
	case flow.Queued, flow.Opening, flow.Refused:
		if c.callerConnected(e) {
			return false
		}
		// No SYN-ACK was delivered that this packet could follow: it is an old duplicate.
		c.report(DropMidOpening, e)
		return true
	case flow.Accepted:
		if !c.confirmsAccept(e) {
			return false
		}
		e.State = flow.Open
		e.Seq = c.seg.Seq
	case flow.Probing:
		c.forwardToCandidate(e)
		return true
	}
	if e.Flags&uncounted != 0 && c.provesActive() {
		c.acquire(e)
	}
	if c.resetSilent(e) {
		return true
	}
	c.r.store(*e)
	c.out.sendToTarget(c.v, e.Target, c.seg.Raw)
	return true
}

// provesActive reports whether the packet shows that its flow is active, so
// that a flow that came from another home may be counted.
//
// After a flow has ended at its former home, the last acknowledgement or the caller's FIN may
// arrive at the new one, which only learned the flow. Counting it would keep a slot in use for
// RequestIdle; a few such slots at each change of homes cause many refused requests. Those packets
// carry no payload. An active flow soon sends some, or is handed over.
func (c *call) provesActive() bool { return c.seg.PayloadLen > 0 && !c.seg.IsFin() }

// callerConnected reports whether the caller already continues a flow whose
// opening is still pending here.
//
// While views differ, another balancer may have delivered the SYN-ACK as the flow's home. The
// caller then sends a segment that continues the numbers of this opening and has an ACK. The other
// balancer knows the target and is asked.
func (c *call) callerConnected(e *flow.Entry) bool {
	return c.seg.HasAck() && c.seg.Seq-e.Seq-1 < maxUnacked
}

// maxUnacked bounds the bytes that one side sends before the other side's first packet arrives.
// Larger distances in sequence numbers mean another connection.
const maxUnacked = 1 << 24

// confirmsAccept checks the caller's first packet after a SYN-ACK was delivered.
//
// During a change of homes two of them may open the same flow at two targets, and the caller
// completes the handshake with one. If that is the other home's target, the packet acknowledges
// numbers that the target recorded here never used; this target would answer with a reset that the
// caller accepts. The entry is deleted instead, so that the packet is passed on to the balancer
// that has the accepted target.
func (c *call) confirmsAccept(e *flow.Entry) bool {
	if !c.seg.HasAck() || c.seg.Ack-(e.Seq+1) < maxUnacked {
		return true
	}
	c.report(FlowCrossed, e)
	c.r.release(e, c.addr.Service, c.addr.Unit())
	c.r.remove(e.Key)
	return false
}

// resetFromCaller ends a flow that its caller resets. While an opening was sent to a target that
// has not accepted it, the reset may answer the target's challenge ACK for an older flow; it is
// forwarded and the opening stays. A reset of a queued, refused or probed flow is dropped.
func (c *call) resetFromCaller(e flow.Entry) {
	switch e.State {
	case flow.Queued, flow.Refused, flow.Probing:
		c.report(DropUnknownReset, &e)
		return
	case flow.Opening:
		c.out.sendToTarget(c.v, e.Target, c.seg.Raw)
		return
	}
	c.report(ResetByCaller, &e)
	c.out.sendToTarget(c.v, e.Target, c.seg.Raw)
	c.endFlow(&e)
}

// endFlow releases a flow's load, keeps its entry for late packets, and admits
// waiters if the flow was counted.
func (c *call) endFlow(e *flow.Entry) {
	if e.State != flow.Closing {
		c.r.Increment(FlowEnded)
	}
	counted := e.Flags&flow.Counted != 0
	c.r.release(e, c.addr.Service, c.addr.Unit())
	e.State = flow.Closing
	e.LastPacket = tick(c.now)
	c.r.store(*e)
	c.forgetRetransmission()
	if counted {
		c.admitWaiting(c.addr.Service)
	}
}
