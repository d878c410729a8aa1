package direct

import (
	"time"

	"rosedale.dev/rosedale/internal/admission"
)

// placeAdmitted chooses the target of an opening that has a place in a pool. While the service
// is not saturated, the choice is the same as without a gate, also among other data centres.
func (f *Forwarder) placeAdmitted(now time.Duration, g *serviceGate, pool admission.Pool) (choice, Reason) {
	if g.active && g.Saturated(now) {
		gr := g.service.groupOf(pool)
		if c := f.placeInGroup(now, g, gr); c.target != nil {
			return c, g.service.reasonFor(gr)
		}
	}
	return f.place(now, g.service, [2]TargetID{})
}

// reasonFor returns the reason of an opening to a group.
func (s *service) reasonFor(gr *group) Reason {
	switch {
	case gr == s.near:
		return OpenedNear
	case s.near.centre.evacuation != nil:
		return OpenedEvacuated
	}
	return OpenedFar
}

// placeInGroup chooses among the targets of one group: by speed in the arc, and among all if
// that has no available target.
func (f *Forwarder) placeInGroup(now time.Duration, g *serviceGate, gr *group) choice {
	q := search{f: f, now: now, service: g.service}
	if !f.without.Has(SpeedPlacement) {
		q.allowed = g.allowed
		if t := q.soonest(g, f.arcOf(now, g, gr)); t != nil {
			return choice{target: t, load: t.load(now, g.service.workPerFlow)}
		}
	}
	for _, q.allowed = range f.fallbacks() {
		if c := q.leastLoaded(gr); c.target != nil {
			return c
		}
	}
	return choice{}
}

// soonest draws two targets of an arc at random among those below the limit and returns the one
// expected to answer sooner. If all are at the limit, it returns the one with the fewest
// requests in flight. It returns nil if no target is available.
//
// Both draws may give the same target, so that the slowest one is still used now and then and
// its estimate stays current. Of two different ones it would lose every time.
func (q *search) soonest(g *serviceGate, a *arc) *target {
	below := q.f.below[:0]
	for _, t := range a.targets {
		if t.places < a.limit && q.isAvailable(t) {
			below = append(below, t)
		}
	}
	q.f.below = below
	if len(below) == 0 {
		return q.fewest(a)
	}
	x, y := below[q.f.rng.IntN(len(below))], below[q.f.rng.IntN(len(below))]
	if g.expectedTime(q.now, y) < g.expectedTime(q.now, x) {
		return y
	}
	return x
}

// fewest returns the available target of an arc with the fewest requests in flight from this
// balancer, or nil. Equal ones are chosen at random.
func (q *search) fewest(a *arc) *target {
	var c choice
	for _, t := range a.targets {
		if q.isAvailable(t) {
			c.offer(t, float64(t.places), q.f.rng)
		}
	}
	return c.target
}

// expectedTime returns the expected time of a further request at a target, relative to a usual
// one, with the load of failing targets added.
func (g *serviceGate) expectedTime(now time.Duration, t *target) float64 {
	return g.speeds.Ratio(now, uint64(t.ID))*float64(t.places+1) + t.extraLoad
}

// isAvailable reports whether a target can take the flow now.
func (q *search) isAvailable(t *target) bool {
	if t.evacuated() {
		return false
	}
	outage := t.departed && !q.f.without.Has(LapsedTargets) && t.group.expiredTogether(q.now) && t.expired(q.now)
	return (q.allowed(t, q.now) || outage) && q.hasRoom(t)
}
