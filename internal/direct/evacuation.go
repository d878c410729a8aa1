package direct

import (
	"cmp"
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// centre is a data centre with targets, or one that is evacuated.
type centre struct {
	name       string
	evacuation *evacuation // nil unless it is evacuated
}

// evacuation is an operator's request that a data centre gets no new flows.
type evacuation struct {
	asked revision.Revision // of the store, when it was asked for last
	since time.Duration
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

// Evacuate keeps new flows away from a data centre, from its own callers and from
// others: it has neither targets of last resort nor second tries. Flows that are open
// stay.
//
// If nothing else is left, callers are refused at once: an operator who evacuates a data
// centre may cut its power next, and a request that must not run twice is lost there.
func (f *Forwarder) Evacuate(now time.Duration, dataCenter string, asked revision.Revision) {
	c := f.centreOf(dataCenter)
	if c.evacuation == nil {
		c.evacuation = &evacuation{since: now}
	}
	c.evacuation.asked = asked
}

// TakeBack ends an evacuation.
//
// Failure: the targets have been idle and are cold, which they tell with their next
// heartbeat only, and all callers near by turn to them at once. It shows as targets that
// fall over with all they work on. So where cold targets have a limit, all of them count
// as cold for as long as one that has started.
func (f *Forwarder) TakeBack(now time.Duration, dataCenter string) {
	c := f.centreOf(dataCenter)
	c.evacuation = nil
	for _, t := range f.targets {
		if s := f.service(t.Service); t.centre == c && s.coldRate > 0 && !f.without.Has(ColdStarts) {
			t.coldUntil = max(t.coldUntil, now+s.coldFor)
		}
	}
}

// evacuated reports whether the target's data centre gets no new flows.
func (t *target) evacuated() bool { return t.centre.evacuation != nil }

// keepsAway reports whether a service has a target that would take new flows, were its
// data centre not evacuated.
func (f *Forwarder) keepsAway(now time.Duration, s *service) bool {
	found := false
	s.each(func(t *target) {
		if !t.evacuated() {
			return
		}
		for _, may := range f.fallbacks() {
			found = found || may(t, now)
		}
	})
	return found
}

// EvacuationInfo is an evacuation as one balancer knows it.
type EvacuationInfo struct {
	DataCenter string        `json:"data_center"`
	Era        int64         `json:"era"`      // of the store, for the revision
	Revision   int64         `json:"revision"` // of the store, when it was asked for last
	Since      time.Duration `json:"since"`    // how long ago this balancer learnt of it
	Flows      int           `json:"flows"`    // open there that pass this balancer
	Busy       int           `json:"busy"`     // requests under way there that pass it
}

// Evacuations returns the evacuated data centres by name.
func (f *Forwarder) Evacuations(now time.Duration) []EvacuationInfo {
	var out []EvacuationInfo
	for _, c := range f.centres {
		if c.evacuation == nil {
			continue
		}
		i := EvacuationInfo{DataCenter: c.name, Era: c.evacuation.asked.Era, Revision: c.evacuation.asked.Number, Since: now - c.evacuation.since}
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
