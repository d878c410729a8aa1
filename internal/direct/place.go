package direct

import (
	"math/rand/v2"
	"time"
)

const (
	// farMargin is how much lower than here the load of a target in another data centre has to
	// be, in requests per slot. Crossing costs a round trip between data centres, and the flow
	// breaks when they are cut off from each other.
	//
	// With 1.0 instead of 0.25, the flows that cross at 0.7 of the slots' capacity drop from
	// 43 to 6 of 100, and late requests at 0.9 from 8.9 to 3.4 of 100 (TestEvenLoad).
	farMargin = 1.0
	// nearFullLoad is the load per slot from which on targets of other data centres are compared
	// with those here. Below it, a request in this data centre waits for half of another one at
	// most, and openings go to other data centres only by their spill shares.
	nearFullLoad = 1.5
)

// choice is the least loaded target found so far.
type choice struct {
	target *target
	load   float64
	ties   int // targets that count as equally loaded
}

// offer adds a target to the comparison. Equally loaded targets are chosen at random, as
// balancers with the same view would otherwise all choose the same one.
func (c *choice) offer(t *target, load float64, rng *rand.Rand) {
	switch {
	case c.target == nil || load < c.load-tieWidth:
		c.target, c.load, c.ties = t, load, 1
	case load <= c.load+tieWidth:
		c.ties++
		if rng.IntN(c.ties) == 0 {
			c.target = t
			c.load = min(c.load, load)
		}
	}
}

// tieWidth is the difference in load per slot up to which two targets count as equal. One
// open flow adds that much.
const tieWidth = 0.02

// place chooses the target of a new flow among a service's targets, except those in avoid. The
// flow stays in this data centre as long as that has room.
//
// If no target is eligible, because all are suspected or leaving, callers are not refused at
// once: suspicions may be wrong, and a leaving target accepts openings for a while. The
// fallbacks are, in this order, any registered target, one whose registration has just
// expired, and one that has just announced that it leaves.
func (f *Forwarder) place(now time.Duration, s *service, avoid [2]TargetID) (choice, Reason) {
	q := search{f: f, now: now, service: s, avoid: avoid}
	for _, q.allowed = range f.fallbacks() {
		if c, reason := q.choose(); c.target != nil {
			return c, reason
		}
	}
	return choice{}, OpenedNear
}

// fallbacks returns the conditions under which a target may take a new flow, from the best to
// the last resort.
func (f *Forwarder) fallbacks() []func(*target, time.Duration) bool {
	if f.without.Has(LapsedTargets) {
		return fallbacksWithoutExpired
	}
	return fallbacksWithExpired
}

var (
	fallbacksWithExpired    = []func(*target, time.Duration) bool{(*target).eligible, (*target).registered, (*target).expired, (*target).leaving}
	fallbacksWithoutExpired = []func(*target, time.Duration) bool{(*target).eligible, (*target).registered, (*target).leaving}
)

// search is the search for the target of one new flow.
type search struct {
	f       *Forwarder
	now     time.Duration
	service *service
	avoid   [2]TargetID
	allowed func(*target, time.Duration) bool // condition that a target has to meet
}

func (q *search) choose() (choice, Reason) {
	near := q.leastLoaded(q.service.near)
	switch {
	case near.target == nil:
		return q.chooseAway()
	case q.f.without.Has(Spill):
		return near, OpenedNear
	}
	if near.load < nearFullLoad && !q.service.spills() {
		return near, OpenedNear
	}
	if far := q.chooseSpill(); far.target != nil {
		return far, OpenedFar
	}
	if near.load < nearFullLoad {
		return near, OpenedNear
	}
	if far := q.leastLoaded(q.service.far...); far.target != nil && far.load+farMargin < near.load {
		return far, OpenedFar
	}
	return near, OpenedNear
}

// chooseAway chooses in another data centre because none of this one's targets is available.
func (q *search) chooseAway() (choice, Reason) {
	reason := OpenedFar
	if q.service.near.centre.evacuation != nil {
		reason = OpenedEvacuated
	}
	if g := q.service.drawAway(q.now, q.f.rng.Float64()); g != nil {
		if c := q.leastLoaded(g); c.target != nil {
			return c, reason
		}
	}
	return q.leastLoaded(q.service.far...), reason
}

// chooseSpill chooses in another data centre if the opening belongs to the share that spills
// there.
func (q *search) chooseSpill() choice {
	if g := q.service.drawSpill(q.f.rng.Float64()); g != nil {
		return q.leastLoaded(g)
	}
	return choice{}
}

// leastLoaded returns the least loaded available target of some groups.
func (q *search) leastLoaded(groups ...*group) choice {
	var c choice
	for _, g := range groups {
		if g.centre.evacuation != nil {
			continue
		}
		outage := !q.f.without.Has(LapsedTargets) && g.expiredTogether(q.now)
		for _, t := range g.targets {
			if (q.allowed(t, q.now) || outage && t.expired(q.now)) && q.hasRoom(t) {
				c.offer(t, t.load(q.now, q.service.workPerFlow), q.f.rng)
			}
		}
	}
	return c
}

// hasRoom reports whether an allowed target can take the flow. A target with its maximum
// number of flows does not answer openings.
func (q *search) hasRoom(t *target) bool {
	if t.ID == q.avoid[0] || t.ID == q.avoid[1] {
		return false
	}
	return q.f.withinColdLimit(q.now, q.service, t) && !t.full(q.service, q.f.flowSpread)
}
