package admission

import "time"

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

// openingPlaces returns how many places pool p has for openings while pool 0 has none free.
func (g *Gate[K]) openingPlaces(p Pool) int {
	q := &g.pools[p]
	if p == home || !g.pools[home].usable() {
		return q.places()
	}
	return min(q.granted, q.places())
}

// homeFree reports whether the balancer's own data centre has a free place.
func (g *Gate[K]) homeFree(now time.Duration) bool {
	h := &g.pools[home]
	return h.hasFree(now, h.places())
}

// placeFor returns the pool in which a request for the pool want has a free place now.
func (g *Gate[K]) placeFor(now time.Duration, want Pool) (Pool, bool) {
	if want >= home {
		return want, g.flowFree(now, want)
	}
	// Without a usable pool there is no limit to enforce: the opening fails as it does without
	// a gate.
	if g.homeFree(now) || !g.anyUsable {
		return home, true
	}
	return g.farPlace(now)
}

// flowFree reports whether a request on an open flow of pool p has a free place. It may use the
// whole share, also of a far pool without places for openings. A share of 0 limits nothing:
// openings no longer go there, and the target of the flow still serves it.
func (g *Gate[K]) flowFree(now time.Duration, p Pool) bool {
	if int(p) >= len(g.pools) {
		return true
	}
	q := &g.pools[p]
	return !q.usable() || q.hasFree(now, q.places())
}

// farPlace returns the far pool with the most free places for openings. Pool 0 is full.
func (g *Gate[K]) farPlace(now time.Duration) (Pool, bool) {
	best, most := home, 0
	for i := 1; i < len(g.pools); i++ {
		q := &g.pools[i]
		places := g.openingPlaces(Pool(i))
		if free := places - q.inFlight; free > most && q.hasFree(now, places) {
			best, most = Pool(i), free
		}
	}
	return best, most > 0
}

// openingFree reports whether an opening could use pool p now.
func (g *Gate[K]) openingFree(now time.Duration, p Pool) bool {
	if p == home || g.homeFree(now) {
		return p == home && (g.homeFree(now) || !g.anyUsable)
	}
	return int(p) < len(g.pools) && g.pools[p].hasFree(now, g.openingPlaces(p))
}
