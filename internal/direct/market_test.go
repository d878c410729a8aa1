package direct

import (
	"fmt"
	"net/netip"
	"time"
)

// market holds the callers of the deployment "market" (docs/hard-load.md): two routes with
// priorities, goals and timeouts, whose requests each use a flow of their own. Its callers try
// again at once from a new port. Full targets answer them, as long as few wait for that answer,
// that the request was not run.
type market struct {
	routes    []*marketRoute
	duesShare float64 // share of the requests that are dues
	tails     float64 // share of the requests that take simTail times as long
	counting  bool    // calls that start now are counted
}

// marketRoute is a route with its value to the operator and what became of its counted calls.
type marketRoute struct {
	Route
	work        float64 // mean service time in milliseconds, without the long requests
	worth, late float64 // of an answer within its goal, and of a later one
	counts      []callCounts
}

// marketCall is a request of a caller over all its tries.
type marketCall struct {
	route     *marketRoute
	centre    int
	startedAt time.Duration
	flow      *simFlow // of the latest try
	counted   bool
	settled   bool // answered or failed
}

const (
	simTail = 7 // factor on the work of long requests
	// simRefusal is how long a full target takes to answer that it did not run a request.
	simRefusal = 60 * time.Millisecond
	// simRoom is how long a target may have a free slot while openings are rejected.
	simRoom = 100 * time.Millisecond
	// simQuiet is how long demand is low before the counted calls.
	simQuiet = 3 * time.Second
	// simOverrun is how long demand goes on after the counted calls.
	simOverrun = 500 * time.Millisecond
	// burstDuesShare is the share of dues when demand rises evenly: 330 of 1,485 requests a
	// second.
	burstDuesShare = 0.222
)

// newMarket returns a replay with the market's routes, where 3 % of the requests are long. With
// unequal, its targets run at 0.6, 1 and 1.6 of the normal speed, dealt round robin.
func newMarket(seed uint64, balancers, targets []int, unequal bool) *replay {
	return newMarketWithout(seed, balancers, targets, unequal, 0)
}

func newMarketWithout(seed uint64, balancers, targets []int, unequal bool, without MechanismSet) *replay {
	r := newReplayWithout(seed, balancers, targets, without)
	route := func(host string, p Route, work, worth, late float64) *marketRoute {
		p.Address = netip.AddrPortFrom(netip.MustParseAddr(host), 443)
		p.Backends = []Backend{{"s", 1}}
		return &marketRoute{Route: p, work: work, worth: worth, late: late, counts: make([]callCounts, len(targets))}
	}
	r.market = &market{duesShare: burstDuesShare, tails: 0.03, routes: []*marketRoute{
		route("198.18.0.3", Route{Name: "pitch check", Kind: Idempotent, Timeout: 2 * time.Second, Goal: 400 * time.Millisecond, Priority: 2}, 26, 1, 0.3),
		route("198.18.0.4", Route{Name: "dues", Kind: NonIdempotent, Timeout: 2 * time.Second, Goal: 500 * time.Millisecond, Priority: 1}, 33, 2, 0.6),
	}}
	cat := &Catalogue{Version: 2, Routes: map[netip.AddrPort]Route{}, Services: map[string]Service{"s": {Name: "s"}}}
	for _, x := range r.market.routes {
		cat.Routes[x.Address] = x.Route
	}
	names := make([][]string, len(balancers))
	for i, b := range r.balancers {
		b.f.SetCatalogue(cat)
		names[b.centre] = append(names[b.centre], fmt.Sprintf("%d-%04d", b.centre, i))
	}
	for i, b := range r.balancers {
		self := fmt.Sprintf("%d-%04d", b.centre, i)
		var others []string
		for _, n := range names[b.centre] {
			if n != self {
				others = append(others, n)
			}
		}
		b.f.SetBalancers(self, others)
	}
	for i, t := range r.targets {
		if unequal {
			t.slow = []float64{1 / 0.6, 1, 1 / 1.6}[i%3]
		}
	}
	return r
}

// slotSeconds returns the work that the targets of a data centre can do in a second, in seconds
// at the normal speed.
func (r *replay) slotSeconds(centre int) float64 {
	sum := 0.0
	for _, t := range r.targets {
		if t.centre == centre {
			sum += simSlots / t.slow
		}
	}
	return sum
}

// meanWork returns the mean work of a route's requests in seconds, with the long ones.
func (m *market) meanWork(x *marketRoute) float64 { return x.work / 1000 * (1 + m.tails*(simTail-1)) }

// demand generates the calls of a data centre: factor returns the demand at a time as a
// multiple of what the slots there can do.
func (r *replay) demand(centre int, until time.Duration, factor func(time.Duration) float64) {
	m := r.market
	mean := m.duesShare*m.meanWork(m.routes[1]) + (1-m.duesShare)*m.meanWork(m.routes[0])
	perSecond := r.slotSeconds(centre) / mean
	var next func()
	next = func() {
		if r.now >= until {
			return
		}
		x := m.routes[0]
		if r.rng.Float64() < m.duesShare {
			x = m.routes[1]
		}
		r.call(centre, x)
		r.after(r.exp(1/(perSecond*factor(r.now))), next)
	}
	r.after(r.exp(1/(perSecond*factor(r.now))), next)
}

// constant is a demand that does not change.
func constant(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// marketWork returns a random work time of a route's request.
func (r *replay) marketWork(x *marketRoute) time.Duration {
	work := r.work(x.work)
	if r.rng.Float64() < r.market.tails {
		work *= simTail
	}
	return work
}

// call sends a request of a route. Its caller gives up at the route's timeout.
func (r *replay) call(centre int, x *marketRoute) {
	r.requests++
	c := &marketCall{route: x, centre: centre, startedAt: r.now, counted: r.market.counting}
	c.count(func(n *callCounts) { n.calls++ })
	c.flow = r.open(centre, false, &simRequest{startedAt: r.now, work: r.marketWork(x), call: c})
	r.after(x.Timeout, func() {
		if c.settled {
			return
		}
		r.giveUp(c, true)
		fl := c.flow
		if !fl.dead && fl.open {
			last := fl.seg
			last.Flags |= RST
			last.Len = 0
			r.after(simCaller, func() { r.send(fl, &last, nil) })
		}
		fl.dead = true
	})
}

// callAgain repeats a call whose flow has ended, if its caller may: a request that is not
// idempotent only if its flow did not open or the target said that it did not run it.
func (r *replay) callAgain(fl *simFlow, q *simRequest) {
	c := q.call
	switch {
	case c.settled:
	case q.tries >= r.retries || fl.open && c.route.Kind == NonIdempotent && !q.notRun:
		r.giveUp(c, !fl.rejected)
	default:
		c.flow = r.open(c.centre, false, &simRequest{startedAt: q.startedAt, work: q.work, tries: q.tries + 1, call: c})
	}
}

// giveUp ends a call as failed; lost unless a balancer reset its last opening.
func (r *replay) giveUp(c *marketCall, lost bool) {
	c.settled = true
	r.failed++
	c.count(func(n *callCounts) {
		n.failed++
		if lost {
			n.lost++
		}
	})
}

// refuse makes a full target answer that it does not run a request.
func (r *replay) refuse(t *simTarget, q *simRequest) {
	q.call.count(func(n *callCounts) { n.refused++ })
	t.refusing++
	r.after(simRefusal, func() {
		t.refusing--
		q.notRun = true
		r.after(simCaller, func() { r.answerError(q) })
	})
}

// noteRejection counts an opening that a balancer reset, and whether a target had room.
func (r *replay) noteRejection(c *marketCall) {
	c.count(func(n *callCounts) { n.rejected++ })
	for _, t := range r.targets {
		if !t.crashed && !t.unreachable && t.running < simSlots && r.now-t.freeSince > simRoom {
			r.rejectedBesideRoom++
			return
		}
	}
}

// burst counts the calls of so many seconds of a demand, by data centre, after simQuiet at
// half of the slots, in which the balancers learn the normal response times. Demand goes on for
// simOverrun more, so that the last counted calls find no more room than the others.
func (r *replay) burst(length time.Duration, factor ...func(time.Duration) float64) {
	for c, f := range factor {
		r.demand(c, simQuiet+length+simOverrun, func(now time.Duration) float64 {
			if now < simQuiet {
				return 0.5
			}
			return f(now)
		})
	}
	r.run(simQuiet)
	r.market.counting = true
	r.sum.busiest, r.sum.mean, r.checks = 0, 0, 0
	r.run(simQuiet + length)
	r.market.counting = false
	r.run(simQuiet + length + simOverrun + 2*time.Second)
}

// bound returns the largest possible share of the worth in a burst: all slots work on dues
// first, which have the most worth per second of work, and then on pitch checks.
func (r *replay) bound(length time.Duration) float64 {
	left := 0.0
	for c := range r.centres {
		left += r.slotSeconds(c) * length.Seconds()
	}
	possible, asked := 0.0, 0.0
	for _, x := range []*marketRoute{r.market.routes[1], r.market.routes[0]} {
		n := float64(x.total().calls)
		fits := min(n, left/r.market.meanWork(x))
		left -= fits * r.market.meanWork(x)
		possible += x.worth * fits
		asked += x.worth * n
	}
	return possible / asked
}
