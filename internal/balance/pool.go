// Package balance chooses the target of a new flow and accounts for the
// connections and slots that flows use at the targets of one service. It does
// no I/O: the caller passes the time.
package balance

import (
	"time"

	"rosedale.dev/rosedale/internal/rendezvous"
)

// ShedPause is the time for which a target that refused an opening is not
// chosen, and for which an opening without retry budget stays in the queue.
const ShedPause = 200 * time.Millisecond

// Pool is the set of targets of one service as one balancer sees them. It is
// not safe for concurrent use.
type Pool struct {
	Policy     Policy
	Slack      float64        // for Bounded; see SlackFor
	homes      int            // balancers that choose for this service
	avg        [units]float64 // average load at the last choice
	list       []*state
	byID       map[uint32]*state
	Queue      Queue  // openings that wait for a target with room
	Budget     Budget // for retries of openings
	slotRate   slotRate
	turn       uint64 // number of slots taken so far
	slotsInUse int    // at all targets
	delayed    []delayedRelease
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{byID: map[uint32]*state{}, homes: 1, Budget: NewBudget()}
}

// Update replaces the targets. Homes is the number of balancers that choose for
// this service. Accounting is kept for targets that stay, and for removed ones
// while flows still use them.
func (p *Pool) Update(now time.Duration, homes int, targets []Target) {
	p.homes = max(homes, 1)
	initial := len(p.list) == 0
	keep := map[uint32]bool{}
	for _, t := range targets {
		keep[t.ID] = true
		p.update(now, initial, t)
	}
	for id, s := range p.byID {
		if keep[id] {
			continue
		}
		s.Eligible = false
		if s.used == [units]int{} {
			delete(p.byID, id)
		}
	}
	p.list = p.list[:0]
	for _, t := range targets {
		p.list = append(p.list, p.byID[t.ID])
	}
}

func (p *Pool) update(now time.Duration, initial bool, t Target) {
	s := p.byID[t.ID]
	if s == nil {
		s = &state{}
		p.byID[t.ID] = s
	}
	becameEligible := t.Eligible && !s.Eligible
	s.Target = t
	if becameEligible {
		s.rampFrom = now
		s.credit = 0
	}
	// The targets of a new pool skip the slow start: it is relative to other
	// targets, and here all are equally new.
	if becameEligible && initial {
		s.rampFrom = now - t.Ramp
	}
}

// Empty reports whether the service has no targets.
func (p *Pool) Empty() bool { return len(p.list) == 0 }

// Choose returns a target with room for one more unit u, skipping those in
// tried. Key is the flow's hash. It does not account for the flow; see
// Acquire.
func (p *Pool) Choose(now time.Duration, u Unit, key uint64, tried []uint32) (uint32, bool) {
	for _, t := range p.list {
		t.accrue(now, len(p.list))
	}
	if id, ok := p.choose(now, u, key, tried, true); ok {
		return id, true
	}
	// Only targets in slow start have room; using them is better than queueing.
	return p.choose(now, u, key, tried, false)
}

// choice is the result of one pass over the targets.
type choice struct {
	first, second, least                *state
	firstScore, secondScore, leastScore uint64
	leastLoad                           float64
	total                               float64
	eligible                            int
}

// choose makes one pass over the targets. With strict set it skips targets that
// slow start excludes.
func (p *Pool) choose(now time.Duration, u Unit, key uint64, tried []uint32, strict bool) (uint32, bool) {
	var c choice
	for _, t := range p.list {
		if !t.Eligible || contains(tried, t.ID) {
			continue
		}
		load := t.load(u, p.homes, now, p.avg[u])
		c.total += load
		c.eligible++
		if !t.hasRoom(u, p.homes) || now < t.shedUntil || strict && t.ramping(now) {
			continue
		}
		c.add(u, t, load, rendezvous.Score(key, t.Seed))
	}
	if c.first == nil {
		return 0, false
	}
	p.avg[u] = c.total / float64(c.eligible)
	return p.pick(now, u, &c).ID, true
}

// add considers a target with room as first, second and least.
func (c *choice) add(u Unit, t *state, load float64, score uint64) {
	switch {
	case c.first == nil || score > c.firstScore:
		c.second, c.secondScore = c.first, c.firstScore
		c.first, c.firstScore = t, score
	case c.second == nil || score > c.secondScore:
		c.second, c.secondScore = t, score
	}
	if c.least == nil || load < c.leastLoad || load == c.leastLoad && c.breaksTie(u, t, score) {
		c.least, c.leastLoad, c.leastScore = t, load, score
	}
}

// pick applies the policy.
func (p *Pool) pick(now time.Duration, u Unit, c *choice) *state {
	load := func(t *state) float64 { return t.load(u, p.homes, now, p.avg[u]) }
	switch p.Policy {
	case Hash:
		return c.first
	case Least:
		return c.least
	case TwoChoices:
		if c.second != nil && load(c.second) < load(c.first) {
			return c.second
		}
		return c.first
	}
	if u == Connection && load(c.first) < p.avg[u]*(1+p.Slack) {
		return c.first
	}
	return c.least
}

// breaksTie reports whether t is preferred to the least loaded target so far,
// which has the same load. Targets of the local data centre are not preferred:
// with two slots most targets are equally loaded most of the time, and the
// preference would decide where half of the requests go. For the same reason
// slots are given out in turn, least recently used first; the rendezvous order
// would leave the distribution of requests to chance. No other balancer needs to
// recompute the choice for a slot, since the home counts every slot.
func (c *choice) breaksTie(u Unit, t *state, score uint64) bool {
	if u == Slot && t.turn != c.least.turn {
		return t.turn < c.least.turn
	}
	return score > c.leastScore
}

func contains(ids []uint32, id uint32) bool {
	for _, v := range ids {
		if v == id {
			return true
		}
	}
	return false
}

// Acquire counts one unit u at target id.
func (p *Pool) Acquire(id uint32, u Unit) {
	s := p.byID[id]
	if s == nil {
		s = &state{Target: Target{ID: id}}
		p.byID[id] = s
	}
	s.used[u]++
	s.credit = max(s.credit-1, 0)
	if u == Slot {
		p.slotsInUse++
		p.turn++
		s.turn = p.turn
	}
}

// Release undoes one Acquire.
func (p *Pool) Release(id uint32, u Unit) {
	s := p.byID[id]
	if s == nil || s.used[u] == 0 {
		return
	}
	s.used[u]--
	if u == Slot {
		p.slotsInUse--
		p.slotRate.requestEnded()
	}
}

// Shed records that target id refused an opening although it had room by the
// pool's counts. It is not chosen for ShedPause.
func (p *Pool) Shed(now time.Duration, id uint32) {
	if s := p.byID[id]; s != nil {
		s.shedUntil = now + ShedPause
	}
}

// maxUnansweredPause bounds the time for which a target that leaves openings
// unanswered gets no new ones.
const maxUnansweredPause = 10 * time.Second

// Unanswered records that target id left an opening unanswered. Each
// consecutive one doubles the pause, so that a dead target gets an opening
// only occasionally, whatever its health endpoint reports.
func (p *Pool) Unanswered(now time.Duration, id uint32) {
	if s := p.byID[id]; s != nil {
		s.shedUntil = now + min(ShedPause<<min(s.unanswered, 8), maxUnansweredPause)
		s.unanswered++
	}
}

// Accepted records that target id accepted an opening, which ends the doubling
// of pauses by Unanswered.
func (p *Pool) Accepted(id uint32) {
	if s := p.byID[id]; s != nil {
		s.unanswered = 0
	}
}

// HasRoom reports whether target id can take one more unit.
func (p *Pool) HasRoom(id uint32, u Unit) bool {
	s := p.byID[id]
	return s != nil && s.hasRoom(u, p.homes)
}

// Used returns how many units u the flows of this balancer use at target id.
func (p *Pool) Used(id uint32, u Unit) int {
	if s := p.byID[id]; s != nil {
		return s.used[u]
	}
	return 0
}

// Order returns the target identifiers in the rendezvous order of key, which
// is the same at every balancer with the same catalogue.
func (p *Pool) Order(key uint64) []uint32 {
	seeds := make([]uint64, len(p.list))
	for i, t := range p.list {
		seeds[i] = t.Seed
	}
	idx := rendezvous.Order(nil, key, seeds, len(seeds))
	out := make([]uint32, len(idx))
	for i, j := range idx {
		out[i] = p.list[j].ID
	}
	return out
}

// First returns the first target in the rendezvous order of key, or 0.
func (p *Pool) First(key uint64) uint32 {
	best, id := uint64(0), uint32(0)
	for _, t := range p.list {
		if s := rendezvous.Score(key, t.Seed); id == 0 || s > best {
			best, id = s, t.ID
		}
	}
	return id
}
