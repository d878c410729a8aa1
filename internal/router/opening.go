package router

import (
	"time"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/packet"
)

// opening is a flow that no target has accepted yet. Only its opening packet
// exists, so that it may be sent to another target or be refused: no byte of
// the caller's can have run anywhere.
type opening struct {
	packet   []byte
	addr     Address
	flow     uint64
	tried    []uint32 // targets not to try again
	lost     []uint32 // of these, the ones not to try even when no other is left
	tries    int
	after    time.Duration // not to be tried before
	sentAt   time.Duration
	deadline time.Duration
	resent   bool
}

// exclude keeps the opening away from a target that was tried for its flow and
// will be reset when its SYN-ACK arrives.
//
// Failure: the reset and a second opening packet pass each other on the way to
// the target. It shows as a reset of the connection that the second one got.
func (o *opening) exclude(id uint32) {
	o.tried = append(o.tried, id)
	o.lost = append(o.lost, id)
}

// defaultDeadline is the admission deadline of addresses that set none.
const defaultDeadline = time.Second

// openAtHome handles an opening packet where it is decided. mu is held.
func (c *call) openAtHome() {
	e, ok := c.load()
	if !ok {
		c.openNew()
		return
	}
	switch e.State {
	case flow.Queued, flow.Opening:
		if e.Seq == c.seg.Seq {
			c.openRepeated(&e)
			return
		}
		// The caller gave up and began again from the same port.
		c.abandon(&e)
	case flow.Refused:
		if e.Seq == c.seg.Seq {
			c.out.caller(packet.ResetTo(&c.seg))
			return
		}
	case flow.Spilled:
		if e.Seq == c.seg.Seq {
			c.passSpilled(e)
			return
		}
	case flow.Handed:
		if !c.isHome() {
			// It came back from a balancer whose view is older; the new home
			// has the opening already.
			c.r.Increment(DropOpeningRepeated)
			return
		}
	case flow.Closing, flow.Hinted:
	case flow.Learned:
		// Learned under a former home, which saw its end. Numbers that do not
		// continue it are a new flow's.
		if sameIncarnation(&e, c.seg.Seq) {
			c.out.target(c.v, e.Target, c.seg.Raw)
			return
		}
	default:
		// The target still has this flow, as far as anyone knows: it answers
		// with a challenge (RFC 5961) and thus decides whether the flow ended.
		c.out.target(c.v, e.Target, c.seg.Raw)
		return
	}
	c.r.release(&e, c.addr.Service, c.addr.Unit())
	c.r.remove(c.key)
	c.openNew()
}

func (c *call) openRepeated(e *flow.Entry) {
	if e.State == flow.Queued {
		c.r.Increment(DropOpeningRepeated)
		return
	}
	c.out.target(c.v, e.Target, c.seg.Raw)
}

func (c *call) openNew() {
	p := c.r.pools[c.addr.Service]
	switch {
	case c.addr.Withdrawn || p == nil:
		c.refuseNow(RefuseWithdrawn)
		return
	case p.Empty() && len(c.v.Services[c.addr.Service].SpillTo) == 0:
		c.refuseNow(RefuseNoTarget) // waiting would not help
		return
	case c.seg.PayloadLen > 0:
		// Payload on an opening packet could run twice when it is retried.
		c.refuseNow(RefusePayload)
		return
	case p.opening >= c.r.set.MaxOpenings:
		c.refuseNow(RefuseOpeningLimit)
		return
	}
	if c.spill() {
		return
	}
	e := flow.Entry{Key: c.key, Seq: c.seg.Seq, LastPacket: tick(c.now), State: flow.Queued}
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
		flow:     c.flow,
		deadline: c.now + wait,
	}
	c.r.openings[c.key] = o
	p.opening++
	p.Budget.Opened()
	c.r.place(c.now, c.v, &e, o, c.out)
}

// refuseNow answers the opening packet in hand with a reset.
func (c *call) refuseNow(why Reason) {
	c.decide(why, nil)
	c.out.caller(packet.ResetTo(&c.seg))
}

// place sends an opening to a target with room, or queues it, or refuses it.
func (r *Router) place(now time.Duration, v *View, e *flow.Entry, o *opening, out *Output) {
	p := r.pools[o.addr.Service]
	id, ok := p.Choose(now, o.addr.Unit(), o.flow, o.tried)
	// Those who wait go first: a newcomer must not overtake them.
	if w, waiting := p.Queue.Next(now, o.addr.Unit()); ok && waiting && w.Key != e.Key && !o.overtakes() {
		ok = false
	}
	if ok {
		r.dispatch(now, v, e, o, id, out)
		return
	}
	r.enqueue(now, e, o, out)
}

// overtakes reports whether an opening may pass those that wait already.
func (o *opening) overtakes() bool { return len(o.tried) > 0 }

func (r *Router) dispatch(now time.Duration, v *View, e *flow.Entry, o *opening, id uint32, out *Output) {
	e.Target = id
	e.State = flow.Opening
	e.LastPacket = tick(now)
	r.hold(e, o.addr.Service, o.addr.Unit())
	r.store(*e)
	o.tried = append(o.tried, id)
	o.tries++
	o.sentAt = now
	o.resent = false
	out.target(v, id, o.packet)
}

func (r *Router) enqueue(now time.Duration, e *flow.Entry, o *opening, out *Output) {
	p := r.pools[o.addr.Service]
	e.State = flow.Queued
	e.Target = 0
	r.store(*e)
	w := balance.Waiter{
		Key:       e.Key,
		Unit:      o.addr.Unit(),
		Urgent:    o.addr.Class == "urgent",
		Arrived:   now,
		Deadline:  o.deadline,
		NotBefore: o.after,
	}
	displaced, did, ok := p.Queue.Push(w)
	if !ok {
		r.refuse(now, e.Key, RefuseQueueFull, out)
		return
	}
	r.decide(now, OpeningQueued, e, out)
	if did {
		r.refuse(now, displaced.Key, RefuseDisplaced, out)
	}
	r.refuseHopeless(now, p, out)
}

// refuseHopeless refuses those who wait in vain, at once.
func (r *Router) refuseHopeless(now time.Duration, p *pool, out *Output) {
	for _, w := range p.WillMissDeadline(now) {
		r.refuse(now, w.Key, RefuseTooLate, out)
	}
}

// refuse tells the caller that its opening was not run. The entry stays for a
// while, so that a late acceptance is dropped and a repeated opening packet
// gets the same answer. The target that may still accept is reset.
func (r *Router) refuse(now time.Duration, k flow.Key, why Reason, out *Output) {
	o := r.openings[k]
	e, ok := r.load(k, k.Hash())
	if o == nil || !ok {
		return
	}
	r.decide(now, why, &e, out)
	r.finish(k, o)
	r.release(&e, o.addr.Service, o.addr.Unit())
	e.State = flow.Refused
	e.Target = 0
	e.LastPacket = tick(now)
	r.store(e)
	if seg, err := packet.Parse(o.packet); err == nil {
		out.caller(packet.ResetTo(&seg))
	}
}

// finish forgets an opening that was accepted, refused or abandoned.
func (r *Router) finish(k flow.Key, o *opening) {
	delete(r.openings, k)
	if p := r.pools[o.addr.Service]; p != nil {
		p.opening--
		p.Queue.Remove(k, false)
	}
}

// abandon ends an opening whose caller began anew. mu is held.
func (c *call) abandon(e *flow.Entry) {
	o := c.r.openings[e.Key]
	if o == nil {
		return
	}
	c.r.abandonTarget(c.now, c.v, e, o, c.out)
	c.r.finish(e.Key, o)
}

// admitWaiting gives freed room to those who wait. mu is held.
func (c *call) admitWaiting(service uint32) {
	c.r.admitWaiting(c.now, c.v, service, c.out)
}

func (r *Router) admitWaiting(now time.Duration, v *View, service uint32, out *Output) {
	p := r.pools[service]
	if p == nil {
		return
	}
	for u := balance.Connection; u <= balance.Slot; u++ {
		for r.admitOne(now, v, p, u, out) {
		}
	}
}

func (r *Router) admitOne(now time.Duration, v *View, p *pool, u balance.Unit, out *Output) bool {
	w, ok := p.Queue.Next(now, u)
	if !ok {
		return false
	}
	o := r.openings[w.Key]
	e, found := r.load(w.Key, w.Key.Hash())
	if o == nil || !found {
		p.Queue.Remove(w.Key, false)
		return true
	}
	id, ok := p.Choose(now, u, o.flow, o.lost)
	if !ok {
		return false
	}
	p.Queue.Remove(w.Key, true)
	r.dispatch(now, v, &e, o, id, out)
	return true
}
