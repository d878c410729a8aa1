package direct

import (
	"time"

	"rosedale.dev/rosedale/internal/admission"
)

// place is a flow's place among the requests in flight of a gate. A flow has one from the
// admission of its opening or request until the first acknowledgement of the answer, its end,
// or maxBusyTime without a sign of progress. The zero value is none.
type place struct {
	gate   *serviceGate
	pool   admission.Pool
	target *target // whose places it counts among
	since  time.Duration
}

// attachPlace gives a place to a flow. Its pool follows the flow's target. Without a flow, which
// nothing would end, it is given back.
func (f *Forwarder) attachPlace(fl *flow, p place) {
	switch {
	case p.gate == nil:
	case fl == nil:
		p.gate.Abandon(f.clock, p.pool)
	default:
		f.abandonPlace(fl)
		fl.place = p
		fl.place.target = fl.target
		fl.place.since = f.clock
		fl.target.places++
		fl.updatePool()
	}
}

// detachPlace takes the place of a flow, which is to get another target.
func (fl *flow) detachPlace() place {
	p := fl.place
	if p.gate != nil {
		p.target.places--
	}
	fl.place = place{}
	return p
}

// followTarget moves the place of a flow to its present target.
func (fl *flow) followTarget() {
	if fl.place.gate == nil || fl.place.target == fl.target {
		return
	}
	fl.place.target.places--
	fl.place.target = fl.target
	fl.target.places++
	fl.updatePool()
}

// updatePool moves the place of a flow to the pool of its target, unless the target now belongs
// to another service.
func (fl *flow) updatePool() {
	p, gr := &fl.place, fl.target.group
	if gr.service.gate == p.gate && gr.pool != p.pool {
		p.gate.Move(p.pool, gr.pool)
		p.pool = gr.pool
	}
}

// completePlace gives the place of a flow back after an answer.
func (f *Forwarder) completePlace(now time.Duration, fl *flow, took time.Duration) {
	if p := fl.detachPlace(); p.gate != nil {
		p.gate.Done(now, p.pool, took)
		p.gate.learnHeldTime(now - p.since)
	}
}

// abandonPlace gives the place of a flow back without an answer.
func (f *Forwarder) abandonPlace(fl *flow) {
	if p := fl.detachPlace(); p.gate != nil {
		p.gate.Abandon(f.clock, p.pool)
	}
}

// takePlace counts a request that was sent without asking the gate, if its flow has no place.
func (f *Forwarder) takePlace(now time.Duration, fl *flow) {
	g := fl.target.activeGate()
	if g == nil || fl.place.gate != nil || fl.ended {
		return
	}
	g.Take(now, fl.target.group.pool)
	f.attachPlace(fl, place{gate: g, pool: fl.target.group.pool})
}
