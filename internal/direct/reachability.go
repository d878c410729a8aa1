package direct

import (
	"cmp"
	"slices"
	"time"
)

// openingCounts counts the openings of one service since the last TakeOpenings.
type openingCounts struct{ total, unplaced, forwarded int }

// countForwarded counts an opening that was forwarded to a target. Copies of openings in the
// flow table are not counted: a single caller that gets no answers would send three.
func (s *service) countForwarded(isCopy bool) {
	if !isCopy {
		s.openings.total++
		s.openings.forwarded++
	}
}

// countRefused counts an opening that was reset because no target could take it. One that only
// cold targets at their limit could take found targets that serve.
func (s *service) countRefused(isCopy bool, why Reason) {
	if isCopy {
		return
	}
	s.openings.total++
	if why != ResetCold {
		s.openings.unplaced++
	}
}

// recordLife records a sign of life of a target if openings can go to it. Flows that stay open
// in an evacuated data centre show nothing about new ones.
func (t *target) recordLife(now time.Duration) {
	if !t.evacuated() && (t.registered(now) || t.leaving(now) || t.expired(now)) {
		t.group.lastAlive = now
	}
}

// ServiceOpenings summarizes the openings of one service.
type ServiceOpenings struct {
	Service   string
	Total     int           // including those that only cold targets could take
	Unplaced  int           // reset because no target could be used
	Forwarded int           // forwarded to a target
	LastAlive time.Duration // latest sign of life of a target that openings could go to then; 0 if none
}

// TakeOpenings returns the openings of each service since the previous call, sorted by service.
func (f *Forwarder) TakeOpenings() []ServiceOpenings {
	var out []ServiceOpenings
	for name, s := range f.services {
		o := ServiceOpenings{Service: name, Total: s.openings.total, Unplaced: s.openings.unplaced, Forwarded: s.openings.forwarded}
		s.openings = openingCounts{}
		s.eachGroup(func(g *group) { o.LastAlive = max(o.LastAlive, g.lastAlive) })
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b ServiceOpenings) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// DataCenterInfo is a data centre with the services that have a registered target there,
// whether or not this balancer can reach it.
type DataCenterInfo struct {
	Name         string
	Evacuated    bool
	EvacuatedFor time.Duration // since this balancer learnt of the evacuation
	Services     []string      // sorted
}

// DataCenters returns the data centres that this balancer has learnt of, sorted by name.
func (f *Forwarder) DataCenters(now time.Duration) []DataCenterInfo {
	var out []DataCenterInfo
	for name, c := range f.centres {
		x := DataCenterInfo{Name: name}
		if c.evacuation != nil {
			x.Evacuated, x.EvacuatedFor = true, now-c.evacuation.since
		}
		for service, s := range f.services {
			s.eachGroup(func(g *group) {
				if g.centre == c && slices.ContainsFunc(g.targets, (*target).listed) {
					x.Services = append(x.Services, service)
				}
			})
		}
		slices.Sort(x.Services)
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b DataCenterInfo) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// TargetToProbe returns a random registered target of a service in a data centre, whether or
// not it is suspected.
func (f *Forwarder) TargetToProbe(service, dataCenter string) (Target, bool) {
	s := f.services[service]
	if s == nil {
		return Target{}, false
	}
	var listed []*target
	s.eachGroup(func(g *group) {
		for _, t := range g.targets {
			if g.centre.name == dataCenter && t.listed() {
				listed = append(listed, t)
			}
		}
	})
	if len(listed) == 0 {
		return Target{}, false
	}
	return listed[f.rng.IntN(len(listed))].Target, true
}

// Probed handles an answered check of one start of a target that TargetToProbe returned. An
// unanswered one is no evidence against the target: this balancer's data centre may be cut
// off.
func (f *Forwarder) Probed(now time.Duration, of Start) {
	if t := f.targets[of.ID]; t != nil && t.Start() == of {
		t.clearSuspicion()
		t.recordLife(now)
	}
}

// listed reports whether the target is registered, may get new flows and does not leave.
func (t *target) listed() bool { return !t.departed && !t.Draining && t.placeable() }

// eachGroup calls do for the service's targets in each data centre.
func (s *service) eachGroup(do func(*group)) {
	do(s.near)
	for _, g := range s.far {
		do(g)
	}
}
