package router

import (
	"time"

	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/packet"
)

// opening is a flow that no target has accepted yet. The caller has sent only
// its opening packet, without payload, so it may be sent to another target or
// be refused without any data being processed twice.
type opening struct {
	packet    []byte
	addr      Address
	flowHash  uint64
	tried     []uint32      // targets not to be tried while another one has room
	excluded  []uint32      // of these, targets never to be tried again
	tries     int           // attempts so far, at most MaxTries
	notBefore time.Duration // earliest next attempt
	sentAt    time.Duration // last time sent to a target, apart from the copy of resent
	deadline  time.Duration // of admission
	resent    bool          // sent again to the same target at half of OpenTimeout
	// maySpill: the opening packet came to this group first and, as far as is known, has not
	// been sent to a target, whose late SYN-ACK could reach the caller as well.
	maySpill bool
}

// exclude keeps the opening away from a target that was tried and will be
// reset when its SYN-ACK arrives. Otherwise that reset could arrive after a
// second opening packet and end the connection that this packet opened.
func (o *opening) exclude(id uint32) {
	o.tried = append(o.tried, id)
	o.excluded = append(o.excluded, id)
}

// defaultDeadline is the admission deadline of addresses without their own.
const defaultDeadline = time.Second

// openAtHome handles an opening packet at the balancer that decides on it. mu
// is held.
func (c *call) openAtHome() {
	e, ok := c.load()
	if !ok {
		c.openNew()
		return
	}
	switch e.State {
	case flow.Queued, flow.Opening:
		if e.Seq == c.seg.Seq {
			c.openingRetransmitted(&e)
			return
		}
		// The caller opens a new connection from the same port.
		c.abandon(&e)
	case flow.Refused:
		if e.Seq == c.seg.Seq {
			c.out.sendToCaller(packet.ResetTo(&c.seg))
			return
		}
	case flow.Spilled:
		if e.Seq == c.seg.Seq {
			c.passSpilled(e)
			return
		}
	case flow.Handed:
		if !c.isHome() {
			// A balancer with an older view returned the packet; the new
			// home has the opening already.
			c.r.Increment(DropOpeningRepeated)
			return
		}
	case flow.Closing, flow.Hinted:
	case flow.Learned:
		// The flow was learned under a former home, which saw its end. A
		// sequence number that does not continue it belongs to a new flow.
		if matchesEntry(&e, c.seg.Seq) {
			c.out.sendToTarget(c.v, e.Target, c.seg.Raw)
			return
		}
	default:
		// The target has this flow, as far as is known. It answers with a
		// challenge ACK (RFC 5961), whose answer shows whether the flow has
		// ended.
		c.out.sendToTarget(c.v, e.Target, c.seg.Raw)
		return
	}
	c.r.release(&e, c.addr.Service, c.addr.Unit())
	c.r.remove(c.key)
	c.openNew()
}

func (c *call) openingRetransmitted(e *flow.Entry) {
	if e.State == flow.Queued {
		c.r.Increment(DropOpeningRepeated)
		return
	}
	c.out.sendToTarget(c.v, e.Target, c.seg.Raw)
}

// openNew handles the opening packet of a flow without an entry: it is refused,
// spilled to another group, sent to a target or queued.
func (c *call) openNew() {
	p := c.r.pools[c.addr.Service]
	switch {
	case c.addr.Withdrawn || p == nil:
		c.refuseNow(RefuseWithdrawn)
		return
	case p.isUnservable(c.v, c.addr.Service):
		c.refuseNow(RefuseNoTarget) // no target can become free
		return
	case c.seg.PayloadLen > 0:
		// Payload on an opening packet could be processed twice when it is
		// retried.
		c.refuseNow(RefusePayload)
		return
	case p.openingCount >= c.r.settings.MaxOpenings:
		c.refuseNow(RefuseOpeningLimit)
		return
	}
	if c.spill() {
		return
	}
	e := flow.Entry{Key: c.key, Seq: c.seg.Seq, LastPacket: tick(c.now), State: flow.Queued}
	if !c.isHome() {
		e.Flags = elsewhere
	}
	if !c.r.store(e) {
		c.r.Increment(DropTableFull)
		return
	}
	wait := c.addr.Deadline
	if wait == 0 {
		wait = defaultDeadline
	}
	o := &opening{
		packet:   append([]byte(nil), c.seg.Raw...),
		addr:     *c.addr,
		flowHash: c.flowHash,
		deadline: c.now + wait,
		maySpill: !c.spilled,
	}
	c.r.openings[c.key] = o
	p.openingCount++
	p.Budget.Opened()
	c.r.dispatchOrQueue(c.now, c.v, &e, o, c.out)
}

// refuseNow answers the current opening packet with a reset.
func (c *call) refuseNow(why Reason) {
	c.report(why, nil)
	c.out.sendToCaller(packet.ResetTo(&c.seg))
}

// dispatchOrQueue sends an opening to a target with room, or queues or refuses
// it.
func (r *Router) dispatchOrQueue(now time.Duration, v *View, e *flow.Entry, o *opening, out *Output) {
	p := r.pools[o.addr.Service]
	id, ok := p.Choose(now, o.addr.Unit(), o.flowHash, o.tried)
	// A new opening must not be admitted before those in the queue.
	if w, waiting := p.Queue.Next(now, o.addr.Unit()); ok && waiting && w.Key != e.Key && !o.mayOvertake() {
		ok = false
	}
	if ok {
		r.dispatch(now, v, e, o, id, out)
		return
	}
	r.enqueue(now, e, o, out)
}

// mayOvertake reports whether an opening may be admitted before those in the
// queue. This holds for retries.
func (o *opening) mayOvertake() bool { return len(o.tried) > 0 }

// dispatch sends an opening to target id and counts it there.
func (r *Router) dispatch(now time.Duration, v *View, e *flow.Entry, o *opening, id uint32, out *Output) {
	e.Target = id
	e.State = flow.Opening
	e.LastPacket = tick(now)
	r.acquire(e, o.addr.Service, o.addr.Unit())
	r.store(*e)
	o.tried = append(o.tried, id)
	o.tries++
	o.sentAt = now
	o.resent, o.maySpill = false, false
	out.sendToTarget(v, id, o.packet)
}

// refuse answers a pending opening with a reset. The entry is kept for a
// while, so that a retransmitted opening packet gets the same answer and a
// late SYN-ACK can be recognised.
func (r *Router) refuse(now time.Duration, k flow.Key, why Reason, out *Output) {
	o := r.openings[k]
	e, ok := r.load(k, k.Hash())
	if o == nil || !ok {
		return
	}
	r.report(now, why, &e, out)
	r.removeOpening(k, o)
	r.release(&e, o.addr.Service, o.addr.Unit())
	e.State = flow.Refused
	e.Target = 0
	e.LastPacket = tick(now)
	r.store(e)
	if seg, err := packet.Parse(o.packet); err == nil {
		out.sendToCaller(packet.ResetTo(&seg))
	}
}

// removeOpening deletes an opening that was accepted, refused, abandoned, handed
// over or forgotten.
func (r *Router) removeOpening(k flow.Key, o *opening) {
	delete(r.openings, k)
	if p := r.pools[o.addr.Service]; p != nil {
		p.openingCount--
		p.Queue.Remove(k, false)
	}
}

// abandon ends an opening whose caller opened a new connection or is connected
// elsewhere. mu is held.
func (c *call) abandon(e *flow.Entry) {
	o := c.r.openings[e.Key]
	if o == nil {
		return
	}
	c.r.abandonTarget(c.now, c.v, e, o, c.out)
	c.r.removeOpening(e.Key, o)
}
