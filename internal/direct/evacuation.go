package direct

import (
	"cmp"
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// centre is a data centre that this balancer has learnt of: its own, that of a target or one
// that was evacuated.
type centre struct {
	name       string
	evacuation *evacuation // nil unless it is evacuated
}

// evacuation is an operator's request that a data centre gets no new flows.
type evacuation struct {
	revision revision.Revision // of the latest write of the request
	since    time.Duration     // when this balancer learnt of it
}

// centreOf returns a data centre by its name.
func (f *Forwarder) centreOf(name string) *centre {
	c := f.centres[name]
	if c == nil {
		c = &centre{name: name}
		f.centres[name] = c
	}
	return c
}

// Evacuate keeps new flows away from a data centre, whether their callers are in it or not:
// its targets serve neither as a last resort nor for retransmitted openings. Open flows stay.
//
// If no other target is left, callers are refused at once: the operator may cut the power of
// an evacuated data centre next, which would lose non-idempotent requests there.
func (f *Forwarder) Evacuate(now time.Duration, dataCenter string, rev revision.Revision) {
	c := f.centreOf(dataCenter)
	if c.evacuation == nil {
		c.evacuation = &evacuation{since: now}
	}
	c.evacuation.revision = rev
	f.expireAllShares()
}

// TakeBack ends an evacuation.
//
// The targets have been idle and are cold, but report so only with their next heartbeat, and
// all callers nearby turn to them at once. To keep them from being overloaded, all targets of
// services with a cold limit count as just started.
func (f *Forwarder) TakeBack(now time.Duration, dataCenter string) {
	c := f.centreOf(dataCenter)
	c.evacuation = nil
	f.expireAllShares()
	for _, t := range f.targets {
		if s := f.service(t.Service); t.centre == c && s.coldRate > 0 && !f.without.Has(ColdStarts) {
			t.coldUntil = max(t.coldUntil, now+s.coldFor)
		}
	}
}

// evacuated reports whether the target's data centre gets no new flows.
func (t *target) evacuated() bool { return t.centre.evacuation != nil }

// blockedByEvacuation reports whether a service has a target in an evacuated data centre that
// meets one of the conditions of fallbacks.
func (f *Forwarder) blockedByEvacuation(now time.Duration, s *service) bool {
	found := false
	s.each(func(t *target) {
		if !t.evacuated() {
			return
		}
		for _, allowed := range f.fallbacks() {
			found = found || allowed(t, now)
		}
	})
	return found
}

// EvacuationInfo is an evacuation as seen by one balancer.
type EvacuationInfo struct {
	DataCenter string        `json:"data_center"`
	Era        int64         `json:"era"`      // store era of Revision
	Revision   int64         `json:"revision"` // store revision of the latest write of the request
	Since      time.Duration `json:"since"`    // time since this balancer learnt of it
	Flows      int           `json:"flows"`    // open flows there through this balancer
	Busy       int           `json:"busy"`     // requests in flight there through this balancer
}

// Evacuations returns the evacuated data centres, sorted by name.
func (f *Forwarder) Evacuations(now time.Duration) []EvacuationInfo {
	var out []EvacuationInfo
	for _, c := range f.centres {
		if c.evacuation == nil {
			continue
		}
		i := EvacuationInfo{DataCenter: c.name, Era: c.evacuation.revision.Era, Revision: c.evacuation.revision.Number, Since: now - c.evacuation.since}
		for _, t := range f.targets {
			if t.centre == c {
				i.Flows += t.flows
				i.Busy += t.busy
			}
		}
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b EvacuationInfo) int { return cmp.Compare(a.DataCenter, b.DataCenter) })
	return out
}
