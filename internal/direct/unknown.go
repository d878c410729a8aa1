package direct

import "time"

// handleUnknown handles a packet of a flow whose target is unknown to this balancer.
//
// The target may have registered only recently: another balancer has opened a flow there, and
// the update has not arrived here, possibly for seconds if the store is slow. A reset would
// end the flow of a living target. A target is registered before its first flow, so if a
// complete list that is newer than the packet lacks it, the target has left, and a reset lets
// the caller try elsewhere at once. Until then the packet is dropped and the caller
// retransmits it. After an outage of the store, registrations of living targets may be missing
// for lapseWindow.
func (f *Forwarder) handleUnknown(now time.Duration, s *Segment) Decision {
	if s.Flags.Has(RST) {
		return Decision{Verb: Drop, Reason: DroppedReset}
	}
	if f.registeredInvalid(s.Cookie) {
		return Decision{Verb: Drop, Reason: DroppedWait}
	}
	first, ok := f.unknownCookies[s.Cookie]
	if !ok && len(f.unknownCookies) < maxFirstSeen {
		f.unknownCookies[s.Cookie] = now
		first = now
	}
	if ok && f.listCompleteAt > first+listMargin && !f.lapses.possible(now) {
		return resetOf(s, ResetUnknown)
	}
	return Decision{Verb: Drop, Reason: DroppedWait}
}

const (
	// listMargin is how much newer than the first packet seen the list has to be. It gives a
	// registration that expired by mistake time to be renewed.
	listMargin = 300 * time.Millisecond
	// maxFirstSeen bounds the tables of unknown cookies and of flows without a route, whose
	// entries callers can forge.
	maxFirstSeen = 4096
	// firstSeenRetention is how long their entries are kept.
	firstSeenRetention = time.Minute
)

// SetListCompleteAt sets when the replica, with the list of targets and the catalogue, was
// last known to be complete.
func (f *Forwarder) SetListCompleteAt(at time.Duration) {
	f.lapses.listKnown(at)
	f.listCompleteAt = at
}

// routeRemoved reports whether the route of an open flow was certainly removed.
//
// The route may have been added only recently: a balancer that knows it has opened a flow, and
// a packet comes to one that lacks the new version of the catalogue. A reset would end a
// living flow. If a catalogue that is known to be current at a time after the packet lacks the
// route, it was removed; until then the flow is forwarded by its cookie.
func (f *Forwarder) routeRemoved(now time.Duration, s *Segment) bool {
	first, ok := f.routelessFlows[s.Flow()]
	if !ok && len(f.routelessFlows) < maxFirstSeen {
		f.routelessFlows[s.Flow()] = now
	}
	return ok && f.listCompleteAt > first+listMargin
}

// registeredInvalid reports whether a target with the cookie is registered, but its
// registration is invalid.
//
// If another program overwrites the key of a living target, a balancer that starts afterwards
// never learns its address. It must not reset the target's flows, which other balancers still
// forward. It drops their packets, and a retransmission through another balancer is answered.
func (f *Forwarder) registeredInvalid(c Cookie) bool {
	_, ok := f.invalidRegistrations[c]
	return ok
}
