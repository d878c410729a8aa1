package direct

import (
	"slices"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/speed"
	"rosedale.dev/rosedale/internal/subset"
)

// placer is a balancer that knows only its own requests.
type placer struct {
	r       *replay
	busy    map[uint64]int // own requests in flight by target
	speeds  *speed.Tracker
	all     []uint64
	arc     []uint64
	idle    []uint64        // targets that had a free slot when they answered
	idleAt  []time.Duration // when they answered
	waiting []func() bool   // requests without a place; each reports whether it was sent
}

// A strategy returns the index of the target for a request, or nowhere if it has to wait.
type strategy func(p *placer) uint64

const nowhere = ^uint64(0)

func leastBusy(p *placer) uint64 {
	p.r.rng.Shuffle(len(p.all), func(i, j int) { p.all[i], p.all[j] = p.all[j], p.all[i] })
	return slices.MinFunc(p.all, func(a, b uint64) int { return p.busy[a] - p.busy[b] })
}

// fasterOfTwo draws two targets and returns the one with the smaller expected time.
func (p *placer) fasterOfTwo(from []uint64) uint64 {
	expected := func(i uint64) float64 { return p.speeds.Ratio(p.r.now, i) * float64(p.busy[i]+1) }
	a, b := from[p.r.rng.IntN(len(from))], from[p.r.rng.IntN(len(from))]
	if expected(b) < expected(a) {
		return b
	}
	return a
}

func twoOfAll(p *placer) uint64 { return p.fasterOfTwo(p.all) }

// twoOfArc allows one request at a target and as many in all as the arc has targets.
func twoOfArc(p *placer) uint64 {
	free := slices.DeleteFunc(slices.Clone(p.arc), func(i uint64) bool { return p.busy[i] > 0 })
	if len(free) == 0 {
		return nowhere
	}
	return p.fasterOfTwo(free)
}

func idleHints(p *placer) uint64 {
	for n := len(p.idle) - 1; n >= 0; n-- {
		i, at := p.idle[n], p.idleAt[n]
		p.idle, p.idleAt = p.idle[:n], p.idleAt[:n]
		if p.r.now < at+50*time.Millisecond {
			return i
		}
	}
	return twoOfAll(p)
}

// placements runs pitch checks through 29 balancers with arcs of a size to 40 unequal targets,
// at 0.95 of their slots. Requests that a full target rejects are not repeated.
func placements(size int, choose strategy) (requests, rejected, inGoal int, r *replay) {
	const balancers, targets, load, until = 29, 40, 0.95, 30 * time.Second
	r = newMarket(8, []int{0}, []int{targets}, true)
	route := r.market.routes[0]
	all := make([]uint64, targets)
	for i := range all {
		all[i] = uint64(i)
	}
	var fleet []*placer
	for i := range balancers {
		fleet = append(fleet, &placer{r: r, busy: map[uint64]int{}, speeds: speed.New(), all: slices.Clone(all), arc: subset.Arc(all, i, balancers, size)})
	}
	var next func()
	next = func() {
		p, began := fleet[r.rng.IntN(balancers)], r.now
		requests++
		q := &simRequest{work: r.marketWork(route)}
		p.waiting = append(p.waiting, func() bool {
			i := choose(p)
			if i != nowhere {
				p.send(i, q, r.market.meanWork(route), func(ok bool) {
					if !ok {
						rejected++
					} else if r.now-began <= route.Goal {
						inGoal++
					}
				})
			}
			return i != nowhere
		})
		p.place()
		r.after(r.exp(r.market.meanWork(route)/(load*r.slotSeconds(0))), next)
	}
	next()
	r.run(until)
	return requests, rejected, inGoal, r
}

// place sends waiting requests until one finds no place.
func (p *placer) place() {
	for len(p.waiting) > 0 && p.waiting[0]() {
		p.waiting = p.waiting[1:]
	}
}

// send sends a request to a target and learns from its answer.
func (p *placer) send(i uint64, q *simRequest, normal float64, end func(ok bool)) {
	r, t, sent := p.r, p.r.targets[i], p.r.now
	p.busy[i]++
	answered := func(ok bool, ratio float64) {
		p.busy[i]--
		p.speeds.Answered(r.now, i, ratio)
		end(ok)
		p.place()
	}
	q.check = func() {
		if t.running < simSlots {
			p.idle, p.idleAt = append(p.idle, i), append(p.idleAt, r.now)
		}
		r.after(2*simCaller, func() { answered(true, (r.now-sent).Seconds()/normal) })
	}
	if !r.admit(t, q) {
		r.after(simRefusal, func() { answered(false, unansweredRatio) })
	}
}

// Guards against a choice among unequal targets that loses more requests than the present one.
func TestPlacementComparison(t *testing.T) {
	for _, c := range []struct {
		name   string
		size   int
		choose strategy
	}{{"own requests", 1, leastBusy}, {"two of all by speed", 1, twoOfAll}, {"two of an arc of 6", 6, twoOfArc}, {"two of an arc of 12", 12, twoOfArc}, {"idle targets' hints", 1, idleHints}} {
		n, rejected, inGoal, r := placements(c.size, c.choose)
		t.Logf("%-20s rejected %.4f, in goal %.4f, busiest/mean %.2f", c.name, float64(rejected)/float64(n), float64(inGoal)/float64(n), r.sum.busiest/r.sum.mean)
		if c.size > 1 && rejected > n/100 {
			t.Errorf("%s: %d of %d requests rejected by full targets", c.name, rejected, n)
		}
	}
}
