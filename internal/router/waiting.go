package router

import (
	"time"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/flow"
)

// enqueue queues an opening, or refuses it if the queue is full. An urgent one
// may displace another opening, which is refused.
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
		NotBefore: o.notBefore,
	}
	displaced, isDisplaced, ok := p.Queue.Push(w)
	if !ok {
		r.refuse(now, e.Key, RefuseQueueFull, out)
		return
	}
	r.report(now, OpeningQueued, e, out)
	if isDisplaced {
		r.refuse(now, displaced.Key, RefuseDisplaced, out)
	}
	r.refuseLate(now, p, out)
}

// refuseLate refuses waiters that will not be admitted before their deadlines.
func (r *Router) refuseLate(now time.Duration, p *pool, out *Output) {
	for _, w := range p.WillMissDeadline(now) {
		r.refuse(now, w.Key, RefuseTooLate, out)
	}
}

// admitWaiting admits waiters while targets of the service have room. mu is
// held.
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

// admitOne admits the next waiter for unit u. It returns false if no waiter can
// be admitted.
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
	id, ok := p.Choose(now, u, o.flowHash, o.excluded)
	if !ok {
		return false
	}
	p.Queue.Remove(w.Key, true)
	r.dispatch(now, v, &e, o, id, out)
	return true
}

// expireWaiters refuses the waiters that have reached their deadlines or will miss them.
func (r *Router) expireWaiters(now time.Duration, out *Output) {
	for _, p := range r.pools {
		p.Advance(now)
		if p.Queue.Len() == 0 {
			continue
		}
		r.refuseLate(now, p, out)
		for _, w := range p.Queue.Expired(now) {
			r.refuse(now, w.Key, RefuseDeadline, out)
		}
	}
}

// refuseUnservable refuses the waiters of a service without targets, for which none can become
// free. If another group has some, those that may not spill wait on, in case a target returns.
func (r *Router) refuseUnservable(now time.Duration, v *View, service uint32, p *pool, out *Output) {
	if !p.isUnservable(v, service) {
		return
	}
	for _, w := range p.Queue.Waiters() {
		r.refuse(now, w.Key, RefuseNoTarget, out)
	}
}

// spillWaiting passes the waiters of a service to another group once no target of this one can
// take flows. Without it, openings that were queued before would wait until their deadlines.
func (r *Router) spillWaiting(now time.Duration, v *View, service uint32, p *pool, out *Output) {
	if !v.canSpill(service) {
		return
	}
	for _, w := range p.Queue.Waiters() {
		if o := r.openings[w.Key]; o != nil && o.maySpill {
			r.spillOne(now, v, w.Key, o, out)
		}
	}
}

func (r *Router) spillOne(now time.Duration, v *View, k flow.Key, o *opening, out *Output) {
	c := call{r: r, v: v, now: now, out: out, addr: &o.addr, key: k, keyHash: k.Hash(), flowHash: o.flowHash}
	if c.seg.Decode(o.packet) != nil {
		return
	}
	r.removeOpening(k, o)
	c.spillOpening()
}
