package router

import (
	"sort"
	"time"

	"rosedale.dev/rosedale/internal/flow"
)

const (
	// closingIdle is the time for which ended, refused and handed-over flows
	// are kept for late packets.
	closingIdle = 10 * time.Second
	// acceptedIdle is the time for which flows that the caller has not
	// confirmed, and probed flows, are kept.
	acceptedIdle = 30 * time.Second
	// sweepEvery is the time in which all parts of the table are swept once.
	sweepEvery = 5 * time.Second
)

// Tick retries and refuses openings that are due, retransmits segments of
// flows that may be silent, and expires idle entries. It should be called
// every few tens of milliseconds.
func (r *Router) Tick(now time.Duration, out *Output) {
	v := r.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireWaiters(now, out)
	for _, k := range r.unansweredOpenings(now) {
		r.openTimeout(now, v, k, out)
	}
	for n, p := range r.pools {
		if p.Queue.Len() > 0 {
			r.spillWaiting(now, v, n, p, out)
			r.refuseUnservable(now, v, n, p, out)
			r.admitWaiting(now, v, n, out)
		}
	}
	r.retransmitSuspects(now, v, out)
	r.sweep(now)
}

// unansweredOpenings returns the openings that their targets have left
// unanswered for at least half of OpenTimeout, in a fixed order, so that runs
// are repeatable.
func (r *Router) unansweredOpenings(now time.Duration) []flow.Key {
	var keys []flow.Key
	for k, o := range r.openings {
		if o.sentAt > 0 && now-o.sentAt >= r.settings.OpenTimeout/2 {
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

// openTimeout sends an unanswered opening again at half of OpenTimeout, in
// case the packet was lost, and to another target at the full timeout.
func (r *Router) openTimeout(now time.Duration, v *View, k flow.Key, out *Output) {
	o := r.openings[k]
	if o == nil {
		return // removed while another opening was handled
	}
	e, ok := r.load(k, k.Hash())
	if !ok {
		r.removeOpening(k, o)
		return
	}
	if e.State != flow.Opening {
		return
	}
	if now-o.sentAt < r.settings.OpenTimeout {
		if !o.resent {
			o.resent = true
			r.Increment(OpeningResent)
			out.sendToTarget(v, e.Target, o.packet)
		}
		return
	}
	if v.home(o.addr.homeKey(o.flowHash), false) != v.Self {
		r.forgetOpening(now, &e, o, out)
		return
	}
	r.retryUnanswered(now, v, &e, o, out)
}

// forgetOpening deletes an opening that this balancer decided on because views
// differed, although another one is its home.
//
// While views differ, a copy of the opening packet may be passed back and
// forth until it has made openingHops hops and this balancer decides on it,
// after the home has opened the flow. A retry here would abandon a target that
// has answered the home, and reset the caller's connection. The caller's next
// retransmission goes to the home, and so does a late SYN-ACK, for which the
// home resets the target.
func (r *Router) forgetOpening(now time.Duration, e *flow.Entry, o *opening, out *Output) {
	r.report(now, OpeningForgotten, e, out)
	r.removeOpening(e.Key, o)
	r.releaseLater(now, e, o.addr.Service, o.addr.Unit())
	r.remove(e.Key)
}

// sweep expires entries in some of the table's parts, so that the whole table
// is swept in sweepEvery and no call takes long.
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
		if now-p.startedAt > probeExpiry {
			delete(r.probes, k)
		}
	}
	for k, s := range r.retransmissions {
		if now-s.lastAt > r.settings.DeadAfter {
			delete(r.retransmissions, k)
			delete(r.suspects, k)
		}
	}
}

// keep reports whether an entry stays. It releases an entry that does not, and one whose flow
// another balancer is home of.
func (r *Router) keep(now time.Duration, e *flow.Entry) bool {
	r.releaseElsewhere(e)
	if now-time.Duration(e.LastPacket)*flow.TickLength <= r.idle(e) {
		return true
	}
	if o := r.openings[e.Key]; o != nil {
		if e.State == flow.Queued || e.State == flow.Opening {
			return true // Tick ends pending openings
		}
		r.removeOpening(e.Key, o)
	}
	r.Increment(FlowExpired)
	if a, ok := r.view.Load().addressByID(e.Key.Address); ok {
		r.release(e, a.Service, a.Unit())
	}
	return false
}

// idle returns the time for which an entry without packets is kept.
func (r *Router) idle(e *flow.Entry) time.Duration {
	switch e.State {
	case flow.Closing, flow.Refused, flow.Handed:
		return closingIdle
	case flow.Accepted, flow.Probing:
		return acceptedIdle
	}
	a, ok := r.view.Load().addressByID(e.Key.Address)
	if ok && a.Class.UsesSlots() {
		return r.settings.RequestIdle
	}
	return r.settings.StreamIdle
}
