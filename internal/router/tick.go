package router

import (
	"sort"
	"time"

	"rosedale.dev/rosedale/internal/flow"
)

const (
	// closingIdle keeps ended and refused flows for late packets.
	closingIdle = 10 * time.Second
	// acceptedIdle bounds a flow whose caller never confirmed.
	acceptedIdle = 30 * time.Second
	// sweepEvery table parts are swept within.
	sweepEvery = 5 * time.Second
)

// Tick retries and refuses openings whose time has come and expires idle
// entries. It should be called every few tens of milliseconds.
func (r *Router) Tick(now time.Duration, out *Output) {
	v := r.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireWaiters(now, out)
	for _, k := range r.overdue(now) {
		r.openTimeout(now, v, k, out)
	}
	for n, p := range r.pools {
		if p.Queue.Len() > 0 {
			r.admitWaiting(now, v, n, out)
		}
	}
	r.repeatSilent(now, v, out)
	r.sweep(now)
}

func (r *Router) expireWaiters(now time.Duration, out *Output) {
	for _, p := range r.pools {
		p.Advance(now)
		if p.Queue.Len() == 0 {
			continue
		}
		r.refuseHopeless(now, p, out)
		for _, w := range p.Queue.Expired(now) {
			r.refuse(now, w.Key, RefuseDeadline, out)
		}
	}
}

// overdue returns the openings that their target left unanswered, in a fixed
// order so that runs repeat.
func (r *Router) overdue(now time.Duration) []flow.Key {
	var keys []flow.Key
	for k, o := range r.openings {
		if o.sentAt > 0 && now-o.sentAt >= r.set.OpenTimeout/2 {
			keys = append(keys, k)
		}
	}
	sortKeys(keys)
	return keys
}

func sortKeys(keys []flow.Key) {
	sort.Slice(keys, func(i, j int) bool { return lessKey(keys[i], keys[j]) })
}

func lessKey(a, b flow.Key) bool {
	if a.Caller != b.Caller {
		return string(a.Caller[:]) < string(b.Caller[:])
	}
	if a.Port != b.Port {
		return a.Port < b.Port
	}
	return a.Address < b.Address
}

// openTimeout sends an unanswered opening again, which covers a lost packet,
// and at the full timeout goes to another target.
func (r *Router) openTimeout(now time.Duration, v *View, k flow.Key, out *Output) {
	o := r.openings[k]
	if o == nil {
		return // refused while others were handled
	}
	e, ok := r.load(k, k.Hash())
	if !ok {
		r.finish(k, o)
		return
	}
	if e.State != flow.Opening {
		return
	}
	if now-o.sentAt < r.set.OpenTimeout {
		if !o.resent {
			o.resent = true
			r.Increment(OpeningResent)
			out.target(v, e.Target, o.packet)
		}
		return
	}
	if v.home(o.addr.homeKey(o.flow), false) != v.Self {
		r.forgetOpening(now, &e, o, out)
		return
	}
	r.retryLost(now, v, &e, o, out)
}

// forgetOpening drops an opening that this balancer decided on because views
// differed, although another one is its home.
//
// Failure: a copy of the opening packet goes back and forth between two views
// and is decided on here, after the flow's home has opened the flow. It shows
// as a reset of the caller's connection, since the timeout here abandons a
// target that answered the home. The caller's next copy goes to the home, and
// so does a late SYN-ACK, which then resets the target.
func (r *Router) forgetOpening(now time.Duration, e *flow.Entry, o *opening, out *Output) {
	r.decide(now, OpeningForgotten, e, out)
	r.finish(e.Key, o)
	r.releaseLater(now, e, o.addr.Service, o.addr.Unit())
	r.remove(e.Key)
}

// sweep expires a share of the table's parts, so that a pass over the whole
// table takes sweepEvery and no call takes long.
func (r *Router) sweep(now time.Duration) {
	parts := int(int64(now-r.sweptAt) * flow.Parts / int64(sweepEvery))
	if parts == 0 {
		return
	}
	r.sweptAt = now
	for range min(parts, flow.Parts) {
		r.sweepAt = (r.sweepAt + 1) % flow.Parts
		r.table.EachInPart(r.sweepAt, func(e *flow.Entry) bool { return r.keep(now, e) })
	}
	for k, p := range r.probes {
		if now-p.began > probeExpiry {
			delete(r.probes, k)
		}
	}
	for k, s := range r.silences {
		if now-s.last > r.set.DeadAfter {
			delete(r.silences, k)
			delete(r.suspects, k)
		}
	}
}

// keep reports whether an entry stays, and releases it if not.
func (r *Router) keep(now time.Duration, e *flow.Entry) bool {
	if now-time.Duration(e.LastPacket)*flow.TickLength <= r.idle(e) {
		return true
	}
	if o := r.openings[e.Key]; o != nil {
		if e.State == flow.Queued || e.State == flow.Opening {
			return true // Tick ends openings itself
		}
		r.finish(e.Key, o)
	}
	r.Increment(FlowExpired)
	if a, ok := r.view.Load().addressByID(e.Key.Address); ok {
		r.release(e, a.Service, a.Unit())
	}
	return false
}

func (r *Router) idle(e *flow.Entry) time.Duration {
	switch e.State {
	case flow.Closing, flow.Refused, flow.Handed:
		return closingIdle
	case flow.Accepted, flow.Probing:
		return acceptedIdle
	}
	a, ok := r.view.Load().addressByID(e.Key.Address)
	if ok && a.Class.UsesSlots() {
		return r.set.RequestIdle
	}
	return r.set.StreamIdle
}
