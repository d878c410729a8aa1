package router

import (
	"time"

	"rosedale.dev/rosedale/internal/flow"
)

// While views differ, a flow may be counted at one balancer and end at another: its home in the
// view of those that forwarded the end. The functions in this file release the count, which would
// otherwise keep a slot in use until the flow counts as idle.

const (
	// endedWindow is the time for which the former home remembers ended flows for the new one. It
	// is longer than a change of views usually takes to reach all balancers.
	endedWindow = 2 * time.Second
	// maxMovedEnds is the maximum number of ended flows that are handed over in one change, at
	// about 30 bytes each.
	maxMovedEnds = 8192
)

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
// its flow, unless its opening is pending. The home counts the flow and learns of its end. Only
// flows that were counted for another home are looked at, as looking for the home takes long in a
// large group, and a change of homes looks at every flow.
func (r *Router) releaseElsewhere(e *flow.Entry) {
	if e.Flags&elsewhere == 0 || r.openings[e.Key] != nil {
		return
	}
	e.Flags &^= elsewhere
	v := r.view.Load()
	a, ok := v.addressByID(e.Key.Address)
	if ok && v.home(a.homeKey(hashFlow(e.Key.CallerAddr(), a.addr)), false) != v.Self {
		r.release(e, a.Service, a.Unit())
	}
}

// describeEnd returns a flow that ended here while this balancer was its home, for the new home.
// It returns false for other flows and after endedWindow.
func describeEnd(now time.Duration, old, v *View, e *flow.Entry) (Moved, bool) {
	if old == nil || e.State != flow.Closing || now-time.Duration(e.LastPacket)*flow.TickLength > endedWindow {
		return Moved{}, false
	}
	a, ok := v.addressByID(e.Key.Address)
	if !ok || e.Target == 0 {
		return Moved{}, false
	}
	key := a.homeKey(hashFlow(e.Key.CallerAddr(), a.addr))
	home := v.home(key, false)
	if home == v.Self || old.home(key, false) != old.Self {
		return Moved{}, false
	}
	return Moved{
		Home: home, Caller: e.Key.CallerAddr(), Address: a.addr,
		Target: v.Targets[e.Target].Addr, Seq: e.Seq, State: flow.Closing,
	}, true
}

// takeEnd records a flow that ended at its former home, and ends it if it is counted or its opening
// is pending here.
func (r *Router) takeEnd(now time.Duration, v *View, a Address, e flow.Entry, known bool, m *Moved, id uint32, out *Output) {
	switch {
	case !known:
	case r.openings[e.Key] != nil:
		if m.Seq-e.Seq-1 >= maxUnacked {
			return // the opening of a later flow
		}
		r.endOpening(now, v, a, &e, id, out)
	case isLive(e.State) && e.Target == id && (e.State == flow.Accepted || matchesEntry(&e, m.Seq)):
		r.Increment(FlowEndedElsewhere)
		r.release(&e, a.Service, a.Unit())
	default:
		return
	}
	r.store(flow.Entry{Key: e.Key, Target: id, Seq: m.Seq, LastPacket: tick(now), State: flow.Closing})
}

// endOpening ends the pending opening of a flow that ended at target id.
func (r *Router) endOpening(now time.Duration, v *View, a Address, e *flow.Entry, id uint32, out *Output) {
	r.Increment(FlowEndedElsewhere)
	if e.Target != id {
		r.yieldOpening(now, v, e, out)
		return
	}
	r.removeOpening(e.Key, r.openings[e.Key])
	r.release(e, a.Service, a.Unit())
}
