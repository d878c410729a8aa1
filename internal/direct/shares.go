package direct

import (
	"math"
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/admission"
	"rosedale.dev/rosedale/internal/subset"
)

const (
	// RequestsPerSlot is how many requests all balancers together may have in flight for each
	// slot. With one, slots would idle for a round trip between requests. With two, requests
	// waited at some balancers while others had free places: at 0.95 of the slots 29 balancers
	// answered 0.981 of the requests in goal and rejected 860, with three 0.996 and 34
	// (TestUnequalTargets). A target queues four more per slot, so that some room is left while
	// views of the fleet differ.
	RequestsPerSlot = 3
	// unknownFleet is the number of balancers that this one assumes in its data centre until it
	// knows them.
	unknownFleet = 32
	// arcFactor times the share is the number of targets in an arc. It leaves a balancer with
	// all but one of its places taken some targets to choose among.
	arcFactor = 4.0 / 3
	// minArc is the least number of targets that a balancer chooses among.
	minArc = 4
	// sharesPause is the minimum time between two updates of shares. It bounds their cost
	// while many targets are suspected at once.
	sharesPause = 10 * time.Millisecond
	// unlimitedShare is the share of pools of a gate that limits nothing.
	unlimitedShare = 1 << 20
)

// fleetPosition is the position of this balancer among those of its data centre.
type fleetPosition struct{ rank, balancers int }

// fleetPositionOf returns the position of self among itself and the others, by name.
func fleetPositionOf(self string, others []string) fleetPosition {
	p := fleetPosition{balancers: 1}
	for _, name := range others {
		if name == self {
			continue
		}
		p.balancers++
		if name < self {
			p.rank++
		}
	}
	return p
}

// arc holds the targets of a group that this balancer uses while the service is saturated.
type arc struct {
	targets []*target
	limit   int // requests in flight at a target; see Forwarder.soonest
	basis   arcBasis
}

// arcBasis identifies what an arc was computed from.
type arcBasis struct {
	ids      uint64 // hash of the set of targets
	n, size  int
	position fleetPosition
}

// expireShares makes the shares of the target's service be computed again before their next
// use.
func (t *target) expireShares() {
	if g := t.group.service.gate; g != nil {
		g.stale = true
	}
}

// expireAllShares is expireShares for all services.
func (f *Forwarder) expireAllShares() {
	for _, g := range f.gates {
		g.stale = true
	}
}

// refreshShares updates the shares of a gate if they may have changed.
func (f *Forwarder) refreshShares(now time.Duration, g *serviceGate) {
	if g.stale && now-g.sharedAt >= sharesPause {
		f.updateShares(now, g)
	}
}

// updateShares sets the gate's share of places in each pool: RequestsPerSlot for each slot of
// the usable targets, divided by the balancers of this data centre. Targets are usable under
// the first condition that place would find any target with.
func (f *Forwarder) updateShares(now time.Duration, g *serviceGate) {
	g.stale = false
	g.sharedAt = now
	for _, g.allowed = range f.fallbacks() {
		if f.setShares(now, g) {
			return
		}
	}
}

// setShares sets the shares of all pools under the condition g.allowed. It reports whether any
// target is usable.
func (f *Forwarder) setShares(now time.Duration, g *serviceGate) bool {
	found := f.setShare(now, g, g.service.near)
	for _, gr := range g.service.far {
		found = f.setShare(now, g, gr) || found
	}
	return found
}

func (f *Forwarder) setShare(now time.Duration, g *serviceGate, gr *group) bool {
	slots := 0
	for _, t := range gr.targets {
		if f.isUsable(now, g, t) {
			slots += max(t.Slots, 1)
		}
	}
	gr.share = float64(RequestsPerSlot*slots) / float64(f.position.balancers)
	if g.limits() {
		g.SetPool(gr.pool, gr.share)
	} else {
		g.SetPool(gr.pool, unlimitedShare)
	}
	return slots > 0
}

// isUsable reports whether the target counts for the share of its pool.
func (f *Forwarder) isUsable(now time.Duration, g *serviceGate, t *target) bool {
	if t.evacuated() {
		return false
	}
	return g.allowed(t, now) || t.expired(now) && !f.without.Has(LapsedTargets) && t.group.expiredTogether(now)
}

// arcOf returns the arc of a group. Cold targets that other balancers open flows at are left
// out.
func (f *Forwarder) arcOf(now time.Duration, g *serviceGate, gr *group) *arc {
	b := arcBasis{position: f.position, size: max(int(math.Ceil(arcFactor*gr.share)), minArc)}
	if gr.arc.basis.position == b.position && gr.arc.basis.size == b.size && gr.arcAt == g.sharedAt {
		return &gr.arc
	}
	gr.arcAt = g.sharedAt
	ids := f.arcIDs[:0]
	for _, t := range gr.targets {
		if f.isUsable(now, g, t) && f.mayOpenCold(now, g.service, t) {
			ids = append(ids, uint64(t.ID))
			b.ids += mix(uint64(t.ID))
		}
	}
	f.arcIDs = ids
	b.n = len(ids)
	if gr.arc.basis != b {
		gr.arc = f.newArc(ids, b, gr.share)
	}
	return &gr.arc
}

func (f *Forwarder) newArc(ids []uint64, b arcBasis, share float64) arc {
	a := arc{basis: b}
	for _, id := range subset.Arc(ids, b.position.rank, b.position.balancers, b.size) {
		a.targets = append(a.targets, f.targets[TargetID(id)])
	}
	a.limit = max(int(math.Ceil(share/float64(max(len(a.targets), 1)))), 1)
	return a
}

// inArc reports whether the target is in the arc that was used last.
func (t *target) inArc() bool { return slices.Contains(t.group.arc.targets, t) }

// groupOf returns the group of a pool.
func (s *service) groupOf(p admission.Pool) *group {
	if i := int(p) - 1; i >= 0 && i < len(s.far) {
		return s.far[i]
	}
	return s.near
}
