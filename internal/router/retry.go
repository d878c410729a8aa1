package router

import (
	"time"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/packet"
)

// abandonTarget resets the target of an opening whose caller began anew or has
// its connection elsewhere, and releases it.
func (r *Router) abandonTarget(now time.Duration, v *View, e *flow.Entry, o *opening, out *Output) {
	if e.State != flow.Opening {
		return
	}
	if seg, err := packet.Parse(o.packet); err == nil {
		r.decide(now, ResetAbandoned, e, out)
		out.target(v, e.Target, packet.ResetAlong(&seg))
	}
	r.release(e, o.addr.Service, o.addr.Unit())
}

// retryShed sends an opening that its target refused to another one. Without
// retry budget it waits first: retries must not multiply the load on targets
// that are full already.
func (r *Router) retryShed(now time.Duration, v *View, e *flow.Entry, o *opening, out *Output) {
	p := r.pools[o.addr.Service]
	if o.tries >= r.set.MaxTries {
		r.refuse(now, e.Key, RefuseRetryLimit, out)
		return
	}
	if !p.Budget.Take() {
		r.decide(now, RetryDelayed, e, out)
		o.after = now + balance.ShedPause
		r.enqueue(now, e, o, out)
		return
	}
	r.decide(now, RetryShed, e, out)
	if _, ok := p.Choose(now, o.addr.Unit(), o.flow, o.tried); !ok {
		// Every target with room was tried. Those that refused keep nothing
		// of it and may be tried again.
		o.tried = append([]uint32(nil), o.lost...)
	}
	r.place(now, v, e, o, out)
}

// retryLost sends an opening that its target left unanswered to another one.
// The target is never tried again for this opening.
//
// Failure: its late acceptance would be taken for the answer to the second try
// while the reset of the first try ends the connection. It shows as a reset of
// a connection that was just accepted. Where no other target has room, or the
// retry budget is spent, the opening stays with its target until the deadline.
//
// The target left behind is reset only when its SYN-ACK arrives (crossed), after
// the former homes were asked: while views differ another home may have opened
// the flow there, and a reset sent at once would end the caller's connection.
// Until then it holds a half-open connection that runs nothing, since the
// caller's payload follows the acceptance that it saw.
func (r *Router) retryLost(now time.Duration, v *View, e *flow.Entry, o *opening, out *Output) {
	p := r.pools[o.addr.Service]
	_, other := p.Choose(now, o.addr.Unit(), o.flow, o.tried)
	if !other || o.tries >= r.set.MaxTries || !p.Budget.Take() {
		r.stay(now, v, e, o, out)
		return
	}
	r.decide(now, RetryTimeout, e, out)
	p.Unanswered(now, e.Target)
	o.exclude(e.Target)
	r.releaseLater(now, e, o.addr.Service, o.addr.Unit())
	r.place(now, v, e, o, out)
}

// stay sends an opening to the same target again, or refuses it at its
// deadline.
func (r *Router) stay(now time.Duration, v *View, e *flow.Entry, o *opening, out *Output) {
	if now >= o.deadline {
		r.refuse(now, e.Key, RefuseUnanswered, out)
		return
	}
	r.Increment(OpeningResent)
	o.sentAt = now
	out.target(v, e.Target, o.packet)
}
