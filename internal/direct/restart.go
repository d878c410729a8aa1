package direct

import (
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// startMargin is how long a target may serve before its first registration is in the
// store: it registers as it starts, or with its next heartbeat, 1.2 s later.
const startMargin = 1500 * time.Millisecond

// restart replaces what is known of a target by a new start of it, and returns the
// flows of the older one that are better reset at once.
//
// Failure: a target crashes and starts again under its identifier. It shows as
// callers that send a request on a flow the target no longer holds: one that must
// not run twice is lost for good, as its caller does not try again. Reset while no
// request is under way, the caller opens a new flow first. And what was learnt of
// the older start (dead, suspected, failing, leaving, its load) would keep callers
// from the new one, or send them to a service it no longer belongs to.
func (f *Forwarder) restart(now time.Duration, old *target, t Target) (*target, []Segment) {
	delete(f.targets, old.ID)
	f.disregard(old)
	x := f.enter(now, t)
	x.since = t.Revision
	x.shadowed = old.shadowed
	if f.cookies[x.Cookie()] == old {
		f.cookies[x.Cookie()] = x
	}
	certain := old.Born.Known && t.Born.Known && !f.without.Has(RestartResets)
	var lost []Segment
	for _, fl := range f.flowsOf(old) {
		if !certain || !f.before(fl) {
			f.move(fl, x)
			continue
		}
		if !fl.ended && (!fl.pending || f.mayRepeat(fl.key)) {
			lost = append(lost, fl.segment())
		}
		f.forget(fl.key)
	}
	f.counts[ResetRestarted] += uint64(len(lost))
	return x, lost
}

// before reports whether a flow is older than a start that has just been heard of:
// it was seen here when the list of targets, complete then, still lacked the start.
// A flow that began later may belong to the new start, which must keep it.
func (f *Forwarder) before(fl *flow) bool { return fl.first < f.proven-startMargin }

// move has a flow belong to another start of its target.
func (f *Forwarder) move(fl *flow, x *target) {
	fl.target = x
	if fl.open && !fl.ended {
		x.flows++
	}
	if fl.busy {
		x.busy++
	}
}

// flowsOf returns the flows at a target, in the order of their callers.
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

// segment returns a packet of the flow's caller, for a reset.
func (fl *flow) segment() Segment {
	return Segment{Caller: fl.key.Caller, Address: fl.key.Address, Ack: fl.maxAck}
}

// mayRepeat reports whether requests of a flow may run twice.
func (f *Forwarder) mayRepeat(k FlowKey) bool {
	return f.catalogue != nil && f.catalogue.Routes[k.Address].Kind != NonIdempotent
}

// SameStart reports whether another balancer, whose copy of the store is complete up
// to a revision, speaks of the same start of a target as this one.
//
// Failure: a target starts again, and peers that have not heard of it go on telling
// what its older start held and failed. It shows as a new start that gets no callers
// for a second or more.
func (f *Forwarder) SameStart(id TargetID, position revision.Revision) bool {
	t := f.targets[id]
	return t != nil && !position.Before(t.since)
}

// KnowsNewer reports whether more is known of a target than a registration says that was
// read from a store which has come back from an older copy: that the target leaves or is
// gone, or that it has started again.
func (f *Forwarder) KnowsNewer(t Target) bool {
	x := f.targets[t.ID]
	return x != nil && (x.Born != t.Born || x.departed || x.Draining && !t.Draining)
}
