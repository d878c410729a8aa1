package direct

import "time"

// handleFollowing handles a packet of a flow that was opened earlier, at this balancer or
// another.
func (f *Forwarder) handleFollowing(now time.Duration, s *Segment) Decision {
	fl := f.flows[s.Flow()]
	t, reason := f.targetOf(fl, s)
	if len(f.held) > 0 && (t != nil || s.Flags.Has(RST)) {
		f.cancelOpening(s.Flow())
	}
	if t == nil {
		return f.handleUnknown(now, s)
	}
	if fl == nil {
		fl = f.adopt(now, s, t)
	}
	if fl != nil {
		if s.Len > 0 || fl.held != nil {
			d, held := f.holdRequest(now, fl, s)
			switch {
			case held:
				return d
			case d.Reason == ForwardedForced:
				reason = d.Reason
			}
		}
		f.observe(now, fl, s)
	}
	return f.forwardFollowing(now, t, fl, s, reason)
}

// forwardFollowing forwards a packet of an open flow unless its target has ended. fl is nil if
// the flow table is full.
func (f *Forwarder) forwardFollowing(now time.Duration, t *target, fl *flow, s *Segment, reason Reason) Decision {
	first := now
	if fl != nil {
		first = fl.firstSeen
	}
	if reason, ended := f.resetReason(now, t, s.Flow(), first); ended {
		f.forget(s.Flow())
		return resetOf(s, reason)
	}
	if t.uncheckedSinceExpiry() || t.dead && first >= t.deadCheckAt && f.canResetPending(t, s.Flow()) {
		f.requestCheck(t)
	}
	d := f.forward(t, reason)
	// The target's next answer brings the caller the cookie that a restarted balancer needs.
	d.SetCookie = t.Cookie() != s.Cookie
	return d
}

// targetOf returns the target of a packet's flow, or nil if it is unknown, and the reason to
// forward the packet.
//
// If a retransmitted opening was answered by two targets, the caller returns the cookie of
// the later answer although it accepted the earlier one. Following that cookie would send
// packets to a target without the flow, which resets it. The first cookie after the opening
// belongs to the accepted target, so the flow table takes precedence over later cookies.
func (f *Forwarder) targetOf(fl *flow, s *Segment) (*target, Reason) {
	if fl != nil && fl.open {
		if fl.target.Cookie() != s.Cookie {
			return fl.target, ForwardedKnown
		}
		return fl.target, Forwarded
	}
	return f.cookies[s.Cookie], Forwarded
}
