package router

import (
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
)

// hopLimit bounds the balancers that one packet passes, whatever their views.
const hopLimit = 8

const (
	// openingHops is how far an opening travels while views disagree.
	openingHops = 2
	// spillHops is how far it may have come before another group got it.
	spillHops = 2
)

// hopsLeft reports whether an opening may still be passed to its home.
func (c *call) hopsLeft() bool {
	if c.spilled {
		return c.hop.Count < openingHops+spillHops
	}
	return c.hop.Count < openingHops
}

// callerSlow handles a caller's packet that no entry here can place.
func (c *call) callerSlow() {
	switch {
	case c.hop.Count >= hopLimit:
		c.r.Increment(DropHopLimit)
	case c.seg.IsOpening():
		c.opening()
	case c.has && c.hop.Kind == geneve.Silent && c.hop.Flags&geneve.FlagAsked != 0:
		c.objectToSilence()
	case c.has && c.hop.Kind == geneve.Silent && c.hop.Flags&geneve.FlagAnswered != 0:
		c.heedObjection()
	case c.has && c.hop.Kind == geneve.Silent:
		c.silentAtHome()
	case c.has:
		c.asked()
	case c.isHome():
		c.unknownAtHome(false)
	default:
		c.toHome()
	}
}

// toHome passes a caller's packet on to the flow's home.
func (c *call) toHome() {
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
	c.out.peer(c.v, c.home, c.addr.Service, hop, c.seg.Raw)
}

func (c *call) opening() {
	if !c.isHome() && c.hopsLeft() {
		c.toHome()
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.openAtHome()
}

// asked handles a packet of which an earlier balancer did not know the flow.
func (c *call) asked() {
	if c.isHome() {
		c.unknownAtHome(c.hop.Flags&geneve.FlagExhausted != 0)
		return
	}
	if c.placeAsked() {
		return
	}
	c.askNext()
}

// placeAsked sends the packet on if its flow is known here, which happens where
// a former home has not been told of the change yet.
func (c *call) placeAsked() bool {
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
		c.callerReset(e)
		return true
	}
	return c.placeKnown(&e)
}

// askNext passes the packet along the flow's order: the balancers that were or
// will be home next are the likeliest to know it.
func (c *call) askNext() {
	n := int(c.hop.Count)
	hop := geneve.Hop{Kind: geneve.Ask, Count: c.hop.Count + 1}
	if n <= c.r.set.MaxAsk {
		if i := c.v.nextAfter(c.addr.homeKey(c.flow), c.home, max(n-1, 0)); i >= 0 {
			c.r.Increment(AskForwarded)
			c.out.peer(c.v, i, c.addr.Service, hop, c.seg.Raw)
			return
		}
	}
	if c.isHome() {
		e, known := c.load()
		c.probeExhausted(e, known && !decidesNothing(e.State))
		return
	}
	hop.Flags = geneve.FlagExhausted
	c.out.peer(c.v, c.home, c.addr.Service, hop, c.seg.Raw)
}

// unknownAtHome handles a caller's packet after the opening, at the flow's
// home. Exhausted means that the balancers in the flow's order were asked.
func (c *call) unknownAtHome(exhausted bool) {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	e, ok := c.load()
	if ok && e.State == flow.Spilled {
		c.passSpilled(e)
		return
	}
	ok = ok && !decidesNothing(e.State)
	if ok && c.seg.IsReset() {
		c.callerReset(e)
		return
	}
	if ok && c.placeKnown(&e) {
		return
	}
	e, ok = c.load() // a crossed entry was removed
	ok = ok && !decidesNothing(e.State)
	if exhausted {
		c.probeExhausted(e, ok)
		return
	}
	if c.spilled || c.hop.Count == 0 {
		c.hop.Count = 1
	}
	c.askNext()
}

// probeExhausted looks for the flow's target among the candidates when no balancer that
// was asked knows it. An opening here ends if the packet's numbers show that the caller has a
// connection already: by a balancer that was not asked, often to the opening's own target.
func (c *call) probeExhausted(e flow.Entry, known bool) {
	if known && !c.acceptedUnseen(&e) {
		c.decide(DropMidOpening, &e)
		return
	}
	if !known {
		c.probeUnknown(0)
		return
	}
	c.decide(FlowCrossed, &e)
	c.r.release(&e, c.addr.Service, c.addr.Unit())
	if o := c.r.openings[e.Key]; o != nil {
		c.r.finish(e.Key, o)
	}
	c.r.remove(e.Key)
	c.probeUnknown(e.Target)
}

// decidesNothing reports whether an entry in this state is only a mark.
func decidesNothing(s flow.State) bool { return s == flow.Handed || s == flow.Hinted }

// placeKnown sends the packet by its entry, unless that entry turns out to be
// another attempt's.
func (c *call) placeKnown(e *flow.Entry) bool {
	e.LastPacket = tick(c.now)
	switch e.State {
	case flow.Handed, flow.Hinted:
		return false
	case flow.Queued, flow.Opening, flow.Refused:
		if c.acceptedUnseen(e) {
			return false
		}
		// The caller was accepted by nobody we know: an old duplicate.
		c.decide(DropMidOpening, e)
		return true
	case flow.Accepted:
		if !c.confirms(e) {
			return false
		}
		e.State = flow.Open
		e.Seq = c.seg.Seq
	case flow.Probing:
		c.probeAgain(e)
		return true
	}
	if e.Flags&adopt != 0 && c.showsLife() {
		c.r.hold(e, c.addr.Service, c.addr.Unit())
	}
	if c.resetSilent(e) {
		return true
	}
	c.r.store(*e)
	c.out.target(c.v, e.Target, c.seg.Raw)
	return true
}

// showsLife reports whether the packet may count a flow that came here from
// another home.
//
// Failure: a flow has ended at its former home, and the last acknowledgement
// or the caller's FIN arrives at the new one, which only learned the flow and
// counts it. It shows as a slot that stays taken for a minute; a few of them at
// each change of homes refused hundreds of requests. Those packets carry no
// payload; a flow that lives soon sends some, or is handed over.
func (c *call) showsLife() bool { return c.seg.PayloadLen > 0 && !c.seg.IsFin() }

// acceptedUnseen reports whether a caller already goes on with a flow whose
// opening is still under way here.
//
// Failure: views differ, and another balancer delivered the SYN-ACK as the
// flow's home. It shows as a segment with the numbers of this opening that
// acknowledges something. That balancer knows the target and is asked.
func (c *call) acceptedUnseen(e *flow.Entry) bool {
	return c.seg.HasAck() && c.seg.Seq-e.Seq-1 < maxUnacked
}

// maxUnacked bounds what a target sends before the caller's first packet
// arrives; numbers further from the target's own belong to another target.
const maxUnacked = 1 << 24

// confirms checks the caller's first packet after an acceptance.
//
// Failure: during a change of homes two of them may open the same flow at two
// targets; the caller completes with one. It shows as an acknowledgement of
// numbers that the recorded target never used; that target would answer with
// a reset that the caller believes. The record is dropped here instead, so
// that the packet goes on to the balancer with the accepted target.
func (c *call) confirms(e *flow.Entry) bool {
	if !c.seg.HasAck() || c.seg.Ack-(e.Seq+1) < maxUnacked {
		return true
	}
	c.decide(FlowCrossed, e)
	c.r.release(e, c.addr.Service, c.addr.Unit())
	c.r.remove(e.Key)
	return false
}

// callerReset ends a flow that its caller resets. While the target has not
// accepted, the reset may answer the target's challenge to an older flow: it
// goes to the target, and the opening stays.
func (c *call) callerReset(e flow.Entry) {
	switch e.State {
	case flow.Queued, flow.Refused, flow.Probing:
		c.decide(DropUnknownReset, &e)
		return
	case flow.Opening:
		c.out.target(c.v, e.Target, c.seg.Raw)
		return
	}
	c.decide(ResetByCaller, &e)
	c.out.target(c.v, e.Target, c.seg.Raw)
	c.end(&e)
}

// end releases a flow's load and keeps its entry for late packets.
func (c *call) end(e *flow.Entry) {
	if e.State != flow.Closing {
		c.r.Increment(FlowEnded)
	}
	counted := e.Flags&flow.Counted != 0
	c.r.release(e, c.addr.Service, c.addr.Unit())
	e.State = flow.Closing
	e.LastPacket = tick(c.now)
	c.r.store(*e)
	c.forgetSilence()
	if counted {
		c.admitWaiting(c.addr.Service)
	}
}
