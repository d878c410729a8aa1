package direct

import "time"

// unknown decides on a flow whose target this balancer does not know.
//
// Failure: a target has just registered, another balancer opened a flow there,
// and its news is not here yet, perhaps for seconds as the store is slow. A reset
// would end the flow of a living target. The target was registered before its
// first flow: if a list that was complete after the packet lacks it, it has left,
// and the caller had better try again at once. Until then the caller repeats.
func (f *Forwarder) unknown(now time.Duration, s *Segment) Decision {
	if s.Flags.Has(RST) {
		return Decision{Verb: Drop, Reason: DroppedReset}
	}
	if f.undecided(s.Cookie) {
		return Decision{Verb: Drop, Reason: DroppedWait}
	}
	first, ok := f.strange[s.Cookie]
	if !ok && len(f.strange) < maxStrange {
		f.strange[s.Cookie] = now
		first = now
	}
	if ok && f.proven > first+lapseMargin {
		return resetOf(s, ResetUnknown)
	}
	return Decision{Verb: Drop, Reason: DroppedWait}
}

const (
	// lapseMargin is how much later than the packet the list has to be: a
	// registration that lapsed by mistake has a moment to come back.
	lapseMargin = 300 * time.Millisecond
	// maxStrange bounds the memory of unknown cookies and of flows without a
	// route, which callers can forge.
	maxStrange = 4096
	// strangeMemory is how long they are remembered.
	strangeMemory = time.Minute
)

// SetListCompleteAt says when the list of targets was last known to be complete.
func (f *Forwarder) SetListCompleteAt(at time.Duration) { f.proven = at }

// dropped reports whether the route of an open flow is gone for certain.
//
// Failure: a route has just been added, a balancer that knows it opened a flow,
// and its packets come to one that lacks the new version. A reset would end a
// living flow. If a catalogue that was in force after the flow's packet lacks the
// route, it was dropped; until then the flow goes on by its cookie.
func (f *Forwarder) dropped(now time.Duration, s *Segment) bool {
	first, ok := f.routeless[s.Flow()]
	if !ok && len(f.routeless) < maxStrange {
		f.routeless[s.Flow()] = now
	}
	return ok && f.proven > first+lapseMargin
}

// undecided reports whether a target that may have the cookie is registered, though
// its registration cannot be used.
//
// Failure: another program overwrites the key of a target that lives, and a balancer
// that starts never learns its address. It shows as resets of the target's flows,
// which other balancers still forward. They stay without an answer here, and callers
// that repeat through another balancer get one.
func (f *Forwarder) undecided(c Cookie) bool {
	_, ok := f.unreadable[c]
	return ok
}
