package direct

import (
	"time"

	"rosedale.dev/rosedale/internal/admission"
)

const (
	// MaxHeldPackets is the maximum number of packets of one flow that are held.
	MaxHeldPackets = 16
	// callerTimeout is how long after its first opening packet a caller gives up.
	callerTimeout = 1400 * time.Millisecond
	// copyTimeout and secondCopyTimeout are how long after an opening its copies arrive at the
	// latest. Callers send them after 200 and 600 ms.
	copyTimeout       = 250 * time.Millisecond
	secondCopyTimeout = 650 * time.Millisecond
)

// held holds the headers of packets that wait for a place: an opening, or the packets of a
// request on an open flow.
type held struct {
	gate    *serviceGate
	flow    *flow         // of a request; nil for an opening
	expires time.Duration // when an opening is dropped
	opened  time.Duration // when the opening came
	copies  uint32        // number of copies of the opening that came here, up to the first that did not
	packets []Segment     // in order
}

// lastEnd returns the end of the data held so far.
func (h *held) lastEnd() uint32 {
	s := &h.packets[len(h.packets)-1]
	return s.Seq + uint32(s.Len)
}

// hold begins to hold the packets of a flow.
func (f *Forwarder) hold(h *held) {
	if h.flow != nil {
		h.flow.held = h
	}
	h.gate.waiting++
	f.held[h.packets[0].Flow()] = h
}

// holdOpening begins to hold an opening that waits no longer than maxWait. It is dropped once
// its caller has given up. A copy of an opening that this balancer does not know is dropped
// after its wait, as it must not be rejected; see rejectionOf.
func (f *Forwarder) holdOpening(now time.Duration, g *serviceGate, s *Segment, maxWait time.Duration) Decision {
	hold := callerTimeout
	if s.Ack > 0 {
		hold = min(maxWait, callerTimeout)
	}
	f.hold(&held{gate: g, opened: now, expires: now + hold, packets: []Segment{*s}})
	return Decision{Verb: Hold, Reason: HeldOpening}
}

// removeHeld ends the holding of a flow's packets.
func (f *Forwarder) removeHeld(k FlowKey, h *held) {
	h.gate.waiting--
	if h.flow != nil {
		h.flow.held = nil
	}
	delete(f.held, k)
}

// cancelHeld drops the held packets of a flow.
func (f *Forwarder) cancelHeld(k FlowKey, h *held) {
	h.gate.Cancel(k)
	f.removeHeld(k, h)
	f.addRelease(k, Decision{Verb: Drop, Reason: DroppedWaiting}, len(h.packets))
}

// heldOpening returns the held opening of a packet's flow, or nil.
func (f *Forwarder) heldOpening(s *Segment) *held {
	if len(f.held) == 0 {
		return nil
	}
	if h := f.held[s.Flow()]; h != nil && h.flow == nil {
		return h
	}
	return nil
}

// cancelOpening drops the held opening of a flow, if any. A later packet of the flow shows that
// the caller has given up or that another balancer has opened the flow.
func (f *Forwarder) cancelOpening(k FlowKey) {
	if h := f.held[k]; h != nil && h.flow == nil {
		f.cancelHeld(k, h)
	}
}

// handleCopy handles another opening packet of a flow whose opening is held. A copy changes
// nothing. An opening with another sequence number begins a new flow from the same port, whose
// caller has given up the earlier one; it takes over the wait.
func (f *Forwarder) handleCopy(now time.Duration, h *held, s *Segment) Decision {
	if s.Seq == h.packets[0].Seq {
		if s.Ack == h.copies+1 {
			h.copies++
		}
		return Decision{Verb: Drop, Reason: DroppedWaiting}
	}
	h.packets[0] = *s
	h.opened, h.copies = now, 0
	h.expires = now + callerTimeout
	return Decision{Verb: Hold, Reason: HeldOpening}
}

// copiedElsewhere reports whether a copy of the held opening has probably gone to another
// balancer, which may have opened the flow. A reset would then not be truthful.
func (h *held) copiedElsewhere(now time.Duration) bool {
	waited := now - h.opened
	return waited > copyTimeout && h.copies < 1 || waited > secondCopyTimeout && h.copies < 2
}

// expireHeld drops held openings that are of no use any more.
func (f *Forwarder) expireHeld(now time.Duration) {
	for k, h := range f.held {
		if h.flow == nil && now > h.expires {
			f.cancelHeld(k, h)
		}
	}
}

// holdRequest decides whether a packet of an open flow has to wait for a place. If so, only its
// acknowledgement is taken in; the rest is observed when it is released. If the packet does not
// wait, the decision says whether it is forwarded beyond the limit.
func (f *Forwarder) holdRequest(now time.Duration, fl *flow, s *Segment) (Decision, bool) {
	if fl.held != nil {
		return f.addToHeld(now, fl, s)
	}
	g := fl.target.activeGate()
	if g == nil || !fl.beginsRequest(s) {
		return Decision{}, false
	}
	if _, ended := f.resetReason(now, fl.target, fl.key, fl.firstSeen); ended {
		return Decision{}, false
	}
	route, ok := f.catalogue.Routes[s.Address]
	if !ok {
		return Decision{}, false
	}
	f.observeAck(now, fl, s)
	f.refreshShares(now, g)
	verdict, pool := g.Arrive(now, admission.Request[FlowKey]{
		Key: fl.key, Priority: route.Priority, MaxWait: f.maxWait(&route), Pool: fl.target.group.pool,
		Established: true, MaxHold: maxHold(&route),
	})
	if verdict == admission.Wait {
		f.hold(&held{gate: g, flow: fl, packets: []Segment{*s}})
		return Decision{Verb: Hold, Reason: HeldRequest}, true
	}
	f.attachPlace(fl, place{gate: g, pool: pool})
	if verdict == admission.Forced {
		return Decision{Verb: Forward, Reason: ForwardedForced}, false
	}
	return Decision{}, false
}

// beginsRequest reports whether a packet begins a request that needs a place: it has new data
// while no other is pending. A packet that also ends the flow does not wait.
func (fl *flow) beginsRequest(s *Segment) bool {
	if s.Len == 0 || !fl.open || fl.ended || s.Flags.Has(FIN) || s.Flags.Has(RST) || !after(s.Seq+uint32(s.Len), fl.maxEnd) {
		return false
	}
	answered := s.Flags.Has(ACK) && after(s.Ack, fl.maxAck)
	return !fl.pending && fl.place.gate == nil || fl.pending && answered
}

// addToHeld handles a further packet of a flow whose request is held.
func (f *Forwarder) addToHeld(now time.Duration, fl *flow, s *Segment) (Decision, bool) {
	h := fl.held
	switch {
	case s.Flags.Has(RST):
		f.cancelHeld(fl.key, h)
		return Decision{}, false
	case s.Flags.Has(FIN):
		return f.endHeld(now, fl, s), true
	case s.Len == 0:
		return Decision{}, false
	case !after(s.Seq+uint32(s.Len), h.lastEnd()) || len(h.packets) == MaxHeldPackets:
		return Decision{Verb: Drop, Reason: DroppedWaiting}, true
	}
	h.packets = append(h.packets, *s)
	return Decision{Verb: Hold, Reason: HeldRequest}, true
}

// endHeld handles the caller's FIN while a request is held. The request is released at once,
// beyond the limit, and the FIN after it, as the target could not tell a FIN that overtakes the
// data from a loss.
func (f *Forwarder) endHeld(now time.Duration, fl *flow, s *Segment) Decision {
	h := fl.held
	d := Decision{Verb: Drop, Reason: DroppedWaiting}
	if len(h.packets) < MaxHeldPackets {
		h.packets = append(h.packets, *s)
		d = Decision{Verb: Hold, Reason: HeldRequest}
	}
	h.gate.Cancel(fl.key)
	f.removeHeld(fl.key, h)
	pool := fl.target.group.pool
	h.gate.Take(now, pool)
	f.addRelease(fl.key, f.releaseRequest(now, h, pool, ForwardedForced), len(h.packets))
	return d
}

// Unhold withdraws the decision to hold a packet, which could not be kept. Its caller repeats
// it.
func (f *Forwarder) Unhold(s *Segment) {
	h := f.held[s.Flow()]
	if h == nil {
		return
	}
	if h.flow == nil || len(h.packets) == 1 {
		f.cancelHeld(s.Flow(), h)
		return
	}
	h.packets = h.packets[:len(h.packets)-1]
}
