package admission

import (
	"math"
	"time"
)

const (
	// urgentFar is the share of its places in another data centre that a balancer has there for
	// urgent openings at least, while its own data centre is full. The balancers there see
	// longer answers and admit fewer of their less urgent requests, so that the urgent callers
	// of a crowded data centre go before the less urgent ones of another.
	urgentFar = 0.25
	// leastUrgentFor is how long after its last request a less urgent priority makes others
	// urgent.
	leastUrgentFor = time.Second
)

// pool returns the pool p, which is created if it is new.
func (g *Gate[K]) pool(p Pool) *pool {
	p = max(p, home)
	for int(p) >= len(g.pools) {
		g.pools = append(g.pools, newPool())
	}
	return &g.pools[p]
}

// SetPool sets a pool's share of places; 0 if it cannot be used.
func (g *Gate[K]) SetPool(p Pool, share float64) {
	g.pool(p).setShare(share)
	g.anyUsable = false
	for i := range g.pools {
		g.anyUsable = g.anyUsable || g.pools[i].usable()
	}
}

// openingPlaces returns how many places pool p has for openings while pool 0 has none free;
// urgent ones are those of isUrgent.
func (g *Gate[K]) openingPlaces(p Pool, urgent bool) int {
	q := &g.pools[p]
	if p == home || !g.pools[home].usable() {
		return q.places()
	}
	places := q.granted
	if urgent {
		places = max(places, int(math.Ceil(urgentFar*q.share)))
	}
	return min(places, q.places())
}

// isUrgent reports whether requests of a less urgent priority have come lately.
func (g *Gate[K]) isUrgent(now time.Duration, priority int) bool {
	return priority < g.least.priority && now-g.least.at <= leastUrgentFor
}

// leastUrgent is the least urgent priority that has come lately.
type leastUrgent struct {
	priority int
	at       time.Duration // last request of this priority
}

func (l *leastUrgent) see(now time.Duration, priority int) {
	if priority >= l.priority || now-l.at > leastUrgentFor {
		l.priority, l.at = priority, now
	}
}

// homeFree reports whether the balancer's own data centre has a free place.
func (g *Gate[K]) homeFree(now time.Duration) bool {
	h := &g.pools[home]
	return h.hasFree(now, h.places())
}

// placeFor returns the pool in which a request for the pool want has a free place now.
func (g *Gate[K]) placeFor(now time.Duration, want Pool, urgent bool) (Pool, bool) {
	if want >= home {
		return want, g.flowFree(now, want)
	}
	// Without a usable pool there is no limit to enforce: the opening fails as it does without
	// a gate.
	if g.homeFree(now) || !g.anyUsable {
		return home, true
	}
	g.homeFull, g.homeFullAt = true, now
	return g.farPlace(now, urgent)
}

// flowFree reports whether a request on an open flow of pool p has a free place. A share of 0
// limits nothing: openings no longer go there, and the target of the flow still serves it.
func (g *Gate[K]) flowFree(now time.Duration, p Pool) bool {
	if int(p) >= len(g.pools) {
		return true
	}
	q := &g.pools[p]
	return !q.usable() || q.hasFree(now, g.flowPlaces(now, p))
}

// flowPlaces returns how many places pool p has for requests on open flows. While the own data
// centre is saturated, flows to another one have no more places there than openings have, and
// at least one.
//
// If they had the whole share, less urgent requests on flows to other data centres would be
// sent while urgent openings wait there and here.
func (g *Gate[K]) flowPlaces(now time.Duration, p Pool) int {
	q := &g.pools[p]
	if p == home || !g.pools[home].usable() || !g.homeWasFull(now) {
		return q.places()
	}
	return max(min(q.granted, q.places()), 1)
}

// homeWasFull reports whether an opening has lately found no free place in the own data centre.
func (g *Gate[K]) homeWasFull(now time.Duration) bool {
	return g.homeFull && now-g.homeFullAt <= homeFullFor
}

// farPlace returns the far pool with the most free places for openings. Pool 0 is full.
func (g *Gate[K]) farPlace(now time.Duration, urgent bool) (Pool, bool) {
	best, most := home, 0
	for i := 1; i < len(g.pools); i++ {
		q := &g.pools[i]
		places := g.openingPlaces(Pool(i), urgent)
		if free := places - q.inFlight; free > most && q.hasFree(now, places) {
			best, most = Pool(i), free
		}
	}
	return best, most > 0
}

// openingFree reports whether an opening could use pool p now.
func (g *Gate[K]) openingFree(now time.Duration, p Pool, urgent bool) bool {
	free := g.homeFree(now)
	switch {
	case p == home:
		return free || !g.anyUsable
	case free:
		return false // the opening is served in pool 0
	}
	return int(p) < len(g.pools) && g.pools[p].hasFree(now, g.openingPlaces(p, urgent))
}
