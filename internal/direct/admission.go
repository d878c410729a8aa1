package direct

import (
	"maps"
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/admission"
	"rosedale.dev/rosedale/internal/speed"
)

const (
	// maxWaitWithoutGoal is how long a request of a route without a goal waits, if its service
	// has a gate because of another route.
	maxWaitWithoutGoal = 100 * time.Millisecond
	// goalReserve times the usual response time is the part of the goal that is reserved for the
	// request itself: with three requests per slot it takes about three times as long as usual,
	// and the queues of targets vary.
	goalReserve = 6
	// minWaitShare is the smallest share of the goal for which a request may wait.
	minWaitShare = 0.25
	// unknownWaitShare is that share until the usual response time is known. With minWaitShare, one
	// of 200 balancers, with four places, rejected an opening at half of the load that the slots
	// can serve.
	unknownWaitShare = 0.5
)

// serviceGate limits the requests that this balancer has in flight at the targets of a service.
type serviceGate struct {
	*admission.Gate[FlowKey]
	name     string
	service  *service
	active   bool // a route with a goal leads to the service; otherwise nothing is limited
	speeds   *speed.Tracker
	ends     ends
	heldTime float64                           // median in nanoseconds; see learnHeldTime
	waiting  int                               // held openings and requests; see held
	stale    bool                              // the shares may have changed since sharedAt
	sharedAt time.Duration                     // when the shares were set
	allowed  func(*target, time.Duration) bool // condition that usable targets meet
}

// configureGates creates or deactivates gates according to the catalogue.
func (f *Forwarder) configureGates() {
	withGoal := map[string]bool{}
	for _, r := range f.catalogue.Routes {
		for _, b := range r.Backends {
			if r.Goal > 0 && b.Weight > 0 && !f.without.Has(Admission) {
				withGoal[b.Service] = true
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(withGoal)) {
		f.addGate(name)
	}
	for _, g := range f.gates {
		g.active = withGoal[g.name]
		g.stale = true
	}
}

// addGate creates the gate of a service unless it has one. Gates are kept, as flows hold places
// and counters must not decrease.
func (f *Forwarder) addGate(name string) {
	s := f.service(name)
	if s.gate != nil {
		return
	}
	s.gate = &serviceGate{Gate: admission.NewGate[FlowKey](), name: name, service: s, speeds: speed.New(), sharedAt: -time.Hour}
	f.gates = append(f.gates, s.gate)
}

// activeGate returns the gate of the target's service if it limits requests, or nil.
func (t *target) activeGate() *serviceGate {
	if g := t.group.service.gate; g != nil && g.active {
		return g
	}
	return nil
}

// saturated reports whether a limit of the service was reached recently.
func (s *service) saturated(now time.Duration) bool {
	return s.gate != nil && s.gate.active && s.gate.Saturated(now)
}

// maxWait returns how long a request on a route may wait and still meet its goal.
func (f *Forwarder) maxWait(r *Route) time.Duration {
	if r.Goal <= 0 {
		return maxWaitWithoutGoal
	}
	b := f.baselineOf(r.Address)
	if b.samples < minSamples {
		return time.Duration(unknownWaitShare * float64(r.Goal))
	}
	usual := time.Duration(b.longTermTime)
	return max(r.Goal-goalReserve*usual, time.Duration(minWaitShare*float64(r.Goal)))
}

// maxHold returns how long a request on an open flow is held at most. It leaves the target a
// quarter of the route's timeout.
//
// If such requests were forwarded at the end of their goal, they alone would take all slots
// while callers of long flows ask for more than there are, and urgent openings would get none.
func maxHold(r *Route) time.Duration { return r.Timeout * 3 / 4 }

// admitOpening asks the gate of a service for a place for an opening that this balancer has not
// forwarded yet.
func (f *Forwarder) admitOpening(now time.Duration, s *Segment, r *Route, g *serviceGate) Decision {
	f.refreshShares(now, g)
	maxWait := f.maxWait(r)
	verdict, pool := g.Arrive(now, admission.Request[FlowKey]{
		Key: s.Flow(), Priority: r.Priority, MaxWait: maxWait, Pool: admission.AnyPool,
	})
	switch verdict {
	case admission.Wait:
		return f.holdOpening(now, g, s, maxWait)
	case admission.Reject:
		return g.rejectionOf(s)
	}
	return f.openAdmitted(now, s, g, pool)
}

// rejectionOf returns the decision on an opening that the gate rejects. A copy of an opening
// that another balancer may have forwarded is dropped instead: a target may have answered it,
// and the reset would not be truthful.
func (g *serviceGate) rejectionOf(s *Segment) Decision {
	if s.Ack > 0 {
		return Decision{Verb: Drop, Reason: DroppedWaiting}
	}
	g.service.openings.total++ // an overload is no outage
	return resetOf(s, ResetOverload)
}

// openAdmitted forwards an opening that has a place in a pool. If no target can take it, the
// place is given back, and the caller is refused as without a gate.
func (f *Forwarder) openAdmitted(now time.Duration, s *Segment, g *serviceGate, pool admission.Pool) Decision {
	c, reason := f.placeAdmitted(now, g, pool)
	if c.target == nil {
		g.Abandon(now, pool)
		reason = f.refusalReason(now, g.service)
		g.service.countRefused(s.Ack > 0, reason)
		return resetOf(s, reason)
	}
	p := place{gate: g, pool: pool}
	return f.open(now, s, g.service, c, reason, [2]TargetID{}, p)
}

// GateStats is the state of the gate of one service.
type GateStats struct {
	Service    string
	Active     bool
	Unlimited  bool   // limits nothing, because most ends of requests are not seen
	UnseenEnds uint64 // places given back without an end at living targets
	admission.Stats
}

// GateStats returns the state of all gates.
func (f *Forwarder) GateStats() []GateStats {
	var out []GateStats
	for _, g := range f.gates {
		out = append(out, GateStats{g.name, g.active, g.ends.unlimited, g.ends.total, g.Stats()})
	}
	return out
}

// tickGates adjusts all gates to the response times and ends the waits of callers that have
// given up.
func (f *Forwarder) tickGates(now time.Duration) {
	f.expireHeld(now)
	f.expirePlaces(now)
	for _, g := range f.gates {
		g.ends.update(now)
		g.stale = true
		f.updateShares(now, g)
		g.Tick(now)
		g.service.saturation = 0
		if g.service.saturated(now) {
			g.service.saturation = g.Ratio(now)
		}
	}
}
