package router

import "rosedale.dev/rosedale/internal/flow"

// While views differ, a flow may be counted at one balancer and end at another: its home in the
// view of those that forwarded the end. The functions in this file release the count, which would
// otherwise keep a slot in use until the flow counts as idle.

// endPassing ends the record of a flow whose end passes this balancer on its way to the home. The
// flow is counted here if this balancer has decided on it, or got it by a handover before its own
// view changed. If another balancer takes this one for the home, a handover of the flow may still
// arrive, and the record of the end keeps it from being counted.
func (c *call) endPassing(id uint32) {
	if !c.seg.IsFin() && (!c.seg.IsReset() || c.refusesOpening()) {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	e, ok := c.load()
	switch {
	case ok && e.Target == id && isLive(e.State) && e.Flags&flow.Counted != 0:
		c.report(FlowEndedElsewhere, &e)
		c.endFlow(&e)
	case c.hasHop && c.seg.IsFin() && (!ok || isMarker(e.State)):
		c.r.store(flow.Entry{Key: c.key, Target: id, Seq: c.seg.Ack, LastPacket: tick(c.now), State: flow.Closing})
	}
}

// releaseElsewhere releases an entry that is counted here although another balancer is the home of
// its flow, unless its opening is pending. The home counts the flow and learns of its end.
func (r *Router) releaseElsewhere(e *flow.Entry) {
	if e.Flags&flow.Counted == 0 || r.openings[e.Key] != nil {
		return
	}
	v := r.view.Load()
	a, ok := v.addressByID(e.Key.Address)
	if ok && v.home(a.homeKey(hashFlow(e.Key.CallerAddr(), a.addr)), false) != v.Self {
		r.release(e, a.Service, a.Unit())
	}
}
