package router

import (
	"time"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/packet"
)

// abandonTarget resets and releases the target of an opening whose caller
// opened a new connection or is connected elsewhere.
func (r *Router) abandonTarget(now time.Duration, v *View, e *flow.Entry, o *opening, out *Output) {
	if e.State != flow.Opening {
		return
	}
	if seg, err := packet.Parse(o.packet); err == nil {
		r.report(now, ResetAbandoned, e, out)
		out.sendToTarget(v, e.Target, packet.ResetAlong(&seg))
	}
	r.release(e, o.addr.Service, o.addr.Unit())
}

// retryRefused retries an opening that its target refused, at another target if
// one that was not tried has room. If the retry budget is spent, the opening is
// queued first, so that retries do not multiply the load on full targets. After
// MaxTries attempts it is refused, unless there is such a target: a balancer that
// has just become home does not know the slots in use, and finds several full
// targets in a row while others have free ones. A target that refuses is not
// chosen for balance.ShedPause, which bounds the attempts of all openings.
func (r *Router) retryRefused(now time.Duration, v *View, e *flow.Entry, o *opening, out *Output) {
	p := r.pools[o.addr.Service]
	_, other := p.Choose(now, o.addr.Unit(), o.flowHash, o.tried)
	if !other && o.tries >= r.settings.MaxTries {
		r.refuse(now, e.Key, RefuseRetryLimit, out)
		return
	}
	if !p.Budget.Take() {
		r.report(now, RetryDelayed, e, out)
		o.notBefore = now + balance.ShedPause
		r.enqueue(now, e, o, out)
		return
	}
	r.report(now, RetryShed, e, out)
	if !other {
		// All targets with room were tried. A target that refused keeps no
		// state of the opening and may be tried again.
		o.tried = append([]uint32(nil), o.excluded...)
	}
	r.dispatchOrQueue(now, v, e, o, out)
}

// retryUnanswered retries an opening that its target left unanswered, at another
// target. The first target is never tried again for this opening: its late SYN-ACK
// would be mistaken for the answer to the second attempt, while the reset for
// the first attempt ends the connection. If no other target has room, after
// MaxTries attempts or if the retry budget is spent, the opening stays with its
// target until the deadline.
//
// The abandoned target is reset only when its SYN-ACK arrives, after former
// homes were asked (see rejectAccept). While views differ another home may
// have opened the flow there, and an immediate reset would end the caller's
// connection. Until then the target has a half-open connection on which
// nothing is processed, since the caller sends payload only to the target
// whose SYN-ACK it received.
func (r *Router) retryUnanswered(now time.Duration, v *View, e *flow.Entry, o *opening, out *Output) {
	p := r.pools[o.addr.Service]
	_, other := p.Choose(now, o.addr.Unit(), o.flowHash, o.tried)
	if !other || o.tries >= r.settings.MaxTries || !p.Budget.Take() {
		r.resend(now, v, e, o, out)
		return
	}
	r.report(now, RetryTimeout, e, out)
	p.Unanswered(now, e.Target)
	o.exclude(e.Target)
	r.releaseLater(now, e, o.addr.Service, o.addr.Unit())
	r.dispatchOrQueue(now, v, e, o, out)
}

// resend sends an opening to the same target again, or refuses it at its
// deadline.
func (r *Router) resend(now time.Duration, v *View, e *flow.Entry, o *opening, out *Output) {
	if now >= o.deadline {
		r.refuse(now, e.Key, RefuseUnanswered, out)
		return
	}
	r.Increment(OpeningResent)
	o.sentAt = now
	out.sendToTarget(v, e.Target, o.packet)
}
