package direct

import (
	"slices"
	"time"
)

// departedMemory is how long a target that has left is remembered, so that
// packets of its flows are answered: as long as a flow may be idle.
const departedMemory = time.Minute

// sweepInterval is the time between two looks at all flows and targets: 35,000
// flows take 2 ms, 3,000 targets 0.1 ms.
const sweepInterval = time.Second

// SetCatalogue puts a version of the catalogue in force.
func (f *Forwarder) SetCatalogue(c *Catalogue) {
	f.catalogue = c
	for name, s := range c.Services {
		f.service(name).configure(s)
	}
	f.forgetUsuals()
	for k := range f.routeless {
		if _, ok := c.Routes[k.Address]; ok {
			delete(f.routeless, k)
		}
	}
}

// HasService reports whether the catalogue has a service. Targets of others get no flows,
// as no route leads there, until a version of the catalogue names it.
func (f *Forwarder) HasService(service string) bool {
	if f.catalogue == nil {
		return false
	}
	_, ok := f.catalogue.Services[service]
	return ok
}

// HealthPath returns where the targets of a service are checked.
func (f *Forwarder) HealthPath(service string) string {
	if f.catalogue == nil {
		return "/"
	}
	return f.catalogue.Services[service].HealthPath
}

// PutTarget takes a target's registration. It returns the flows to reset at once:
// they belonged to an earlier start of the target. A registration that is older than
// the known one changes nothing, wherever it comes from.
func (f *Forwarder) PutTarget(now time.Duration, t Target) []Segment {
	x := f.targets[t.ID]
	var lost []Segment
	switch {
	case x == nil:
		x = f.enter(now, t)
		f.claim(x)
	case t.Revision.Before(x.Revision):
		return nil
	case t.Born != x.Born:
		x, lost = f.restart(now, x, t)
	case t.Service != x.Service || t.DataCenter != x.DataCenter:
		f.unlist(x)
		x.Target = t
		f.enlist(x)
	}
	if t.Draining && !x.Draining {
		x.drainSince = now
	}
	x.Target = t
	x.departed, x.left, x.verify, x.unusable = false, false, false, false
	x.group.lapse.stale = true
	if !f.without.Has(ColdStarts) {
		x.coldUntil = now + t.ColdLeft
	}
	delete(f.unreadable, t.ID.Cookie())
	return lost
}

// enter notes a target, or a start of it, of which nothing is known yet.
func (f *Forwarder) enter(now time.Duration, t Target) *target {
	x := &target{Target: t, progress: now, checked: -checkPause, drainSince: now}
	f.targets[t.ID] = x
	f.enlist(x)
	return x
}

func (f *Forwarder) enlist(x *target) {
	x.centre = f.centreOf(x.DataCenter)
	x.group = f.service(x.Service).group(x.centre)
	x.group.targets = append(x.group.targets, x)
}

func (f *Forwarder) unlist(x *target) {
	x.group.targets = slices.DeleteFunc(x.group.targets, func(o *target) bool { return o == x })
}

// DisableTarget notes that a target's registration has become unusable: it names no
// target for new flows any more.
//
// The flows that are open there stay. The target most likely lives and another
// program wrote its key: a reset would lose every request that is under way, and
// packets that go on by their cookie lose none. If the target is gone as well, it is
// found dead like any other.
func (f *Forwarder) DisableTarget(id TargetID) {
	if x := f.targets[id]; x != nil {
		x.unusable = true
		return
	}
	f.unreadable[id.Cookie()] = id
}

// claim gives the target its cookie.
//
// Failure: two identifiers share their low 32 bits. It shows as packets of one
// target's flows that reach the other. The target that came first keeps the
// cookie, the later one gets no new flows until the first is forgotten.
func (f *Forwarder) claim(x *target) {
	c := x.Cookie()
	if f.cookies[c] != nil {
		x.shadowed = true
		return
	}
	f.cookies[c] = x
	delete(f.strange, c)
}

// RemoveTarget notes that a registration is gone. A target that had said it
// would leave has left, and its flows are reset. One that fell silent at the
// store may only be cut off from it: it is checked if it has flows here, or once one
// comes, and these are reset if that fails.
func (f *Forwarder) RemoveTarget(now time.Duration, id TargetID) {
	if f.unreadable[id.Cookie()] == id {
		delete(f.unreadable, id.Cookie())
	}
	x := f.targets[id]
	if x == nil || x.departed {
		return
	}
	x.departed = true
	x.endedAt = now
	x.left = x.Draining
	x.group.lapse.stale = true
	if x.unverified() && x.flows > 0 {
		f.wantCheck(x)
	}
}

// Tick expires flows and forgets targets that left long ago. It is due every
// 100 ms or so.
func (f *Forwarder) Tick(now time.Duration) {
	f.overdue(now)
	f.judgeOverdue(now)
	f.regrade(now)
	f.steer(now)
	if now < f.nextSweep {
		return
	}
	f.nextSweep = now + sweepInterval
	f.expire(now)
	f.measure(now)
	forgetOld(now, f.strange)
	forgetOld(now, f.routeless)
	for id, x := range f.targets {
		if x.departed && x.flows == 0 && now-x.endedAt > departedMemory {
			f.drop(id, x)
		}
	}
}

// forgetOld bounds how long what was first seen at a time is remembered.
func forgetOld[K comparable](now time.Duration, m map[K]time.Duration) {
	for k, first := range m {
		if now-first > strangeMemory {
			delete(m, k)
		}
	}
}

func (f *Forwarder) drop(id TargetID, x *target) {
	delete(f.targets, id)
	f.disregard(x)
	c := x.Cookie()
	if f.cookies[c] != x {
		return
	}
	delete(f.cookies, c)
	for _, o := range f.targets {
		if o.shadowed && o.Cookie() == c {
			o.shadowed = false
			f.cookies[c] = o
			return
		}
	}
}

// disregard ends all that is under way for a target.
func (f *Forwarder) disregard(x *target) {
	f.unlist(x)
	delete(f.suspects, x)
	delete(f.ends.doubtful, x)
	if x.checking {
		f.checking-- // its outcome will find no such start
	}
}

// measure updates the work of an open flow of each service.
func (f *Forwarder) measure(now time.Duration) {
	dt := now - f.measured
	f.measured = now
	w := min(float64(dt)/float64(workMemory), 1)
	for _, s := range f.services {
		busy, flows := 0, 0
		s.each(func(t *target) {
			busy += t.busy + t.peers.Busy
			flows += t.flows + t.peers.Flows
		})
		if flows > 0 {
			s.work += w * (float64(busy)/float64(flows) - s.work)
		}
	}
}

func (f *Forwarder) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{work: firstWork, near: newGroup(f.centreOf(f.dataCenter)), calm: 1}
		f.services[name] = s
	}
	return s
}

// Loads returns what the flows of this balancer hold at each target in use.
func (f *Forwarder) Loads() map[TargetID]Load {
	out := map[TargetID]Load{}
	for id, t := range f.targets {
		if t.flows > 0 || t.busy > 0 {
			out[id] = Load{t.flows, t.busy}
		}
	}
	return out
}

// SetFlowSpread says among how many balancers a target's flows are spread whose loads
// are not told: 1 if all are. Loads told before are forgotten as they get old.
func (f *Forwarder) SetFlowSpread(n int) {
	if n > 1 && f.homes == 1 {
		f.SetPeerLoads(nil)
	}
	f.homes = max(n, 1)
}

// SetPeerLoads replaces what the flows of all other balancers hold.
func (f *Forwarder) SetPeerLoads(loads map[TargetID]Load) {
	if f.without.Has(PeerFlows) {
		return
	}
	for id, t := range f.targets {
		t.peers = loads[id]
	}
}
