package direct

import (
	"slices"
	"time"
)

// departedRetention is how long a target without flows is kept after its registration was
// removed, so that packets of its flows still get an answer. It matches the time for which a
// flow may be idle.
const departedRetention = time.Minute

// sweepInterval is the time between two passes over all flows and targets. A pass takes 2 ms
// for 35,000 flows and 0.1 ms for 3,000 targets.
const sweepInterval = time.Second

// SetCatalogue replaces the catalogue in use by another version.
func (f *Forwarder) SetCatalogue(c *Catalogue) {
	f.catalogue = c
	for name, s := range c.Services {
		f.service(name).configure(s)
	}
	f.dropBaselines()
	f.configureGates()
	for k := range f.routelessFlows {
		if _, ok := c.Routes[k.Address]; ok {
			delete(f.routelessFlows, k)
		}
	}
}

// HasService reports whether the catalogue contains a service. Targets of other services get
// no flows, as no route leads to them, until a version of the catalogue contains their
// service.
func (f *Forwarder) HasService(service string) bool {
	if f.catalogue == nil {
		return false
	}
	_, ok := f.catalogue.Services[service]
	return ok
}

// HealthPath returns the URL path of the health checks of a service's targets, "/" before the
// first catalogue has arrived.
func (f *Forwarder) HealthPath(service string) string {
	if f.catalogue == nil {
		return "/"
	}
	return f.catalogue.Services[service].HealthPath
}

// PutTarget handles a target's registration and returns the flows to reset at once because
// they belonged to an earlier start of the target. A registration older than the known one is
// ignored, whatever its source.
func (f *Forwarder) PutTarget(now time.Duration, t Target) []Segment {
	x := f.targets[t.ID]
	var resets []Segment
	switch {
	case x == nil:
		x = f.addTarget(now, t)
		f.claimCookie(x)
	case t.Revision.Before(x.Revision):
		return nil
	case t.Born != x.Born:
		x, resets = f.restart(now, x, t)
	case t.Service != x.Service || t.DataCenter != x.DataCenter:
		f.leaveGroup(x)
		x.Target = t
		f.joinGroup(x)
	}
	if t.Draining && !x.Draining {
		x.drainingSince = now
	}
	x.Target = t
	x.departed, x.left, x.checkWanted, x.invalid = false, false, false, false
	x.group.massExpiry.stale = true
	x.expireShares()
	if !f.without.Has(ColdStarts) {
		x.coldUntil = now + t.ColdLeft
	}
	delete(f.invalidRegistrations, t.ID.Cookie())
	return resets
}

// addTarget adds a target, or a new start of one, with an empty state.
func (f *Forwarder) addTarget(now time.Duration, t Target) *target {
	x := &target{Target: t, lastAlive: now, checkedAt: -checkPause, drainingSince: never}
	f.targets[t.ID] = x
	f.joinGroup(x)
	return x
}

func (f *Forwarder) joinGroup(x *target) {
	x.centre = f.centreOf(x.DataCenter)
	x.group = f.service(x.Service).group(x.centre)
	x.group.targets = append(x.group.targets, x)
	x.expireShares()
}

func (f *Forwarder) leaveGroup(x *target) {
	x.group.targets = slices.DeleteFunc(x.group.targets, func(o *target) bool { return o == x })
	x.group.arc = arc{} // another start of the target may have the same identifier
	x.expireShares()
}

// DisableTarget records that a target's registration has become invalid. The target gets no
// new flows.
//
// Its open flows stay: most likely the target is alive and another program overwrote its key.
// A reset would lose every request in flight there, whereas forwarding by cookie loses none.
// If the target is gone as well, checks find it dead as usual.
func (f *Forwarder) DisableTarget(id TargetID) {
	if x := f.targets[id]; x != nil {
		x.invalid = true
		x.expireShares()
		return
	}
	f.invalidRegistrations[id.Cookie()] = id
}

// RemoveTarget records that a registration was removed and returns the flows to reset at once.
// If the target had announced that it leaves, it has left and its flows are reset, unless the
// store was away. Otherwise it may only be cut off from the store: it is checked if it has flows
// here, or once a packet of one arrives, and the flows are reset if the check fails.
func (f *Forwarder) RemoveTarget(now time.Duration, id TargetID) []Segment {
	if f.invalidRegistrations[id.Cookie()] == id {
		delete(f.invalidRegistrations, id.Cookie())
	}
	x := f.targets[id]
	if x == nil || x.departed {
		return nil
	}
	x.departed = true
	x.endedAt = now
	x.listedAt = f.listCompleteAt
	x.left = x.Draining && !f.lapses.possible(now)
	x.group.massExpiry.stale = true
	x.expireShares()
	if x.left {
		return f.resetLeft(now, x)
	}
	if x.uncheckedSinceExpiry() && x.flows > 0 {
		f.requestCheck(x)
	}
	return nil
}

// Tick runs periodic work: timeouts, scores, spill shares, and the removal of old flows and
// targets. It is to be called about every 100 ms.
func (f *Forwarder) Tick(now time.Duration) {
	f.clock = now
	f.checkOverdue(now)
	f.finishOverdue(now)
	f.updateScores(now)
	f.updateSpill(now)
	f.tickGates(now)
	if now < f.nextSweep {
		return
	}
	f.nextSweep = now + sweepInterval
	f.expire(now)
	f.measureWork(now)
	expireFirstSeen(now, f.unknownCookies)
	expireFirstSeen(now, f.routelessFlows)
	for id, x := range f.targets {
		if x.departed && x.flows == 0 && now-x.endedAt > departedRetention {
			f.dropTarget(id, x)
		}
	}
}

// expireFirstSeen deletes the entries that were first seen longer than firstSeenRetention
// ago.
func expireFirstSeen[K comparable](now time.Duration, m map[K]time.Duration) {
	for k, first := range m {
		if now-first > firstSeenRetention {
			delete(m, k)
		}
	}
}

func (f *Forwarder) dropTarget(id TargetID, x *target) {
	delete(f.targets, id)
	f.releaseTarget(x)
	f.releaseCookie(x)
}

// releaseTarget removes a target from its group, the suspects, the tracked failures and the
// count of running checks.
func (f *Forwarder) releaseTarget(x *target) {
	f.leaveGroup(x)
	delete(f.suspects, x)
	delete(f.outcomes.recentlyFailed, x)
	if x.checkRunning {
		f.checksRunning-- // Checked ignores the result, as the start is unknown by then
	}
}

// measureWork updates each service's estimate of the work per open flow.
func (f *Forwarder) measureWork(now time.Duration) {
	dt := now - f.measuredAt
	f.measuredAt = now
	w := min(float64(dt)/float64(workTimeConstant), 1)
	for _, s := range f.services {
		busy, flows := 0, 0
		s.each(func(t *target) {
			busy += t.busy + t.peerLoad.Busy
			flows += t.flows + t.peerLoad.Flows
		})
		if flows > 0 {
			s.workPerFlow += w * (float64(busy)/float64(flows) - s.workPerFlow)
		}
	}
}

func (f *Forwarder) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{workPerFlow: initialWorkPerFlow, normalRatio: 1}
		s.near = newGroup(s, f.centreOf(f.dataCenter), 0)
		f.services[name] = s
	}
	return s
}

// Loads returns the load of this balancer's flows at each target that has any.
func (f *Forwarder) Loads() map[TargetID]Load {
	out := map[TargetID]Load{}
	for id, t := range f.targets {
		if t.flows > 0 || t.busy > 0 {
			out[id] = Load{t.flows, t.busy}
		}
	}
	return out
}

// SetFlowSpread sets the number of balancers, this one included, that share the flows of a
// target without reporting their loads; 1 if all loads are reported. Going from 1 to more
// discards the loads reported earlier, which would become outdated.
func (f *Forwarder) SetFlowSpread(n int) {
	if n > 1 && f.flowSpread == 1 {
		f.SetPeerLoads(nil)
	}
	f.flowSpread = max(n, 1)
}

// SetPeerLoads replaces the sums of the loads of all other balancers.
func (f *Forwarder) SetPeerLoads(loads map[TargetID]Load) {
	if f.without.Has(PeerFlows) {
		return
	}
	for id, t := range f.targets {
		t.peerLoad = loads[id]
	}
}
