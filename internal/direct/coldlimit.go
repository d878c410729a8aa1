package direct

import (
	"time"

	"rosedale.dev/rosedale/internal/slowstart"
)

// SetBalancers sets the names of the balancers of this data centre: this one and the others.
// They share the opening rate of its cold targets and the places of all services.
func (f *Forwarder) SetBalancers(self string, others []string) {
	f.owners = slowstart.NewOwners(self, others)
	f.fleetVersion++
	f.position = fleetPositionOf(self, others)
	f.expireAllShares()
}

// limitsOpenings reports whether the target is warming up and its service limits the rate of
// openings meanwhile.
func (t *target) limitsOpenings(now time.Duration, s *service) bool {
	return s.coldRate > 0 && now < t.coldUntil
}

// withinColdLimit reports whether the cold limit lets this balancer open a flow at a target
// now. A cold target is overloaded, and fails all its requests, if the whole fleet together
// exceeds its rate. Cold targets of other data centres are used only by the balancers there.
func (f *Forwarder) withinColdLimit(now time.Duration, s *service, t *target) bool {
	switch {
	case !t.limitsOpenings(now, s) || f.without.Has(ColdLimits):
		return true
	case t.DataCenter != f.dataCenter:
		return false
	}
	if t.limitVersion != f.fleetVersion {
		t.limitVersion = f.fleetVersion
		t.coldLimit = f.owners.Limit(uint64(t.ID), s.coldRate).After(t.coldLimit)
	}
	return t.coldLimit.Allows(now)
}

// mayOpenCold reports whether this balancer may open flows at a target at all, if that is
// warming up.
func (f *Forwarder) mayOpenCold(now time.Duration, s *service, t *target) bool {
	return f.withinColdLimit(now, s, t) || t.DataCenter == f.dataCenter && t.coldLimit.Owned()
}

// countColdOpening counts a flow opened at a target against the target's cold limit.
func (f *Forwarder) countColdOpening(now time.Duration, s *service, t *target) {
	if t.limitsOpenings(now, s) && t.limitVersion == f.fleetVersion {
		t.coldLimit.Take(now)
	}
}

// blockedByColdLimit reports whether a service has an eligible target whose cold limit does
// not allow a new flow now. The caller is refused rather than the limit exceeded: an overloaded
// target loses all requests it works on, whereas a refused caller learns at once that nothing
// ran.
func (f *Forwarder) blockedByColdLimit(now time.Duration, s *service) bool {
	found := false
	s.each(func(t *target) {
		found = found || t.eligible(now) && !f.withinColdLimit(now, s, t)
	})
	return found
}
