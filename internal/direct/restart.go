package direct

import (
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// registrationDelay is how long a target may serve before its first registration is in the
// store: it registers when it starts, or with its next heartbeat, 1.2 s later.
const registrationDelay = 1500 * time.Millisecond

// restart replaces the state of a target by that of a new start, and returns the flows of the
// older start to reset at once.
//
// A target may crash and start again under its identifier. Callers with flows to the older
// start would send their next request on a flow that the new start does not know, which loses
// a non-idempotent one. A caller whose flow is reset while no request is in flight opens a new
// flow first. The state of the older start (dead, suspected, failing, leaving, load) is
// dropped, as it would keep callers from the new one or send them to a service it has left.
func (f *Forwarder) restart(now time.Duration, old *target, t Target) (*target, []Segment) {
	delete(f.targets, old.ID)
	f.releaseTarget(old)
	if g := old.group.service.gate; g != nil {
		g.speeds.Forget(uint64(old.ID))
	}
	x := f.addTarget(now, t)
	x.startRevision = t.Revision
	f.releaseCookie(old)
	f.claimCookie(x)
	certain := old.Born.Known && t.Born.Known && !f.without.Has(RestartResets)
	var resets []Segment
	for _, fl := range f.flowsOf(old) {
		if !certain || !f.predatesStart(fl) {
			f.moveFlow(fl, x)
			continue
		}
		if !fl.ended && (!fl.pending || f.mayRepeat(fl.key)) {
			resets = append(resets, fl.segment())
		}
		f.forget(fl.key)
	}
	f.counts[ResetRestarted] += uint64(len(resets))
	return x, resets
}

// predatesStart reports whether a flow is older than a start whose registration has just
// arrived: it was seen here before the latest complete list of targets, which lacked that
// start. A flow that began later may belong to the new start and is kept.
func (f *Forwarder) predatesStart(fl *flow) bool {
	return fl.firstSeen < f.listCompleteAt-registrationDelay
}

// moveFlow assigns a flow to another start of its target.
func (f *Forwarder) moveFlow(fl *flow, x *target) {
	fl.target = x
	fl.followTarget()
	if fl.open && !fl.ended {
		x.flows++
	}
	if fl.busy {
		x.busy++
	}
}

// flowsOf returns the flows at a target, sorted by key.
func (f *Forwarder) flowsOf(t *target) []*flow {
	var out []*flow
	for _, fl := range f.flows {
		if fl.target == t {
			out = append(out, fl)
		}
	}
	slices.SortFunc(out, func(a, b *flow) int { return a.key.compare(b.key) })
	return out
}

// segment returns a packet of the flow's caller, to be answered with a reset.
func (fl *flow) segment() Segment {
	return Segment{Caller: fl.key.Caller, Address: fl.key.Address, Ack: fl.maxAck}
}

// mayRepeat reports whether requests of a flow may run twice.
func (f *Forwarder) mayRepeat(k FlowKey) bool {
	return f.catalogue != nil && f.catalogue.Routes[k.Address].Kind != NonIdempotent
}

// SameStart reports whether another balancer, whose replica is complete up to a position,
// refers to the same start of a target as this one does.
//
// After a restart, peers without the new registration still report the load and failures of
// the older start. Applied to the new one, they would keep callers away from it for a second
// or more.
func (f *Forwarder) SameStart(id TargetID, position revision.Revision) bool {
	t := f.targets[id]
	return t != nil && !position.Before(t.startRevision)
}

// KnowsNewer reports whether this balancer knows more recent facts about a target than a
// registration read from a store that was restored from an older copy: that the target leaves
// or is gone, or that it has started again.
func (f *Forwarder) KnowsNewer(t Target) bool {
	x := f.targets[t.ID]
	return x != nil && (x.Born != t.Born || x.departed || x.Draining && !t.Draining)
}
