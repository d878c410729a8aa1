// Package admission decides which requests of a service a balancer sends now, which wait and
// which it rejects. Each balancer limits its own requests in flight, without messages between
// balancers. The package has no clock: all times are monotonic and come from the caller.
package admission

import "time"

// saturatedFor is how long a gate counts as saturated after a limit was reached.
const saturatedFor = 2 * time.Second

// homeFullFor is how long pool 0 counts as full after an opening found it so: two ticks.
const homeFullFor = 200 * time.Millisecond

// Gate admits the requests of one service at one balancer. It is not safe for concurrent use.
type Gate[K comparable] struct {
	pools     []pool // at least pool 0
	anyUsable bool   // some pool has a share
	waiting   waitlist[K]
	evicted   []waiter[K] // rejected by a full queue, not yet returned by Next
	turn      turn
	least     leastUrgent
	rate      rate
	review    bool // Next is to look for waiting openings that cannot be served in time; see hopeless

	limited    bool          // a limit has been reached
	limitedAt  time.Duration // last time
	homeFull   bool          // an opening has found pool 0 full
	homeFullAt time.Duration // last time
	stats      Stats         // counters only
}

// NewGate returns a gate without pools, which limits nothing.
func NewGate[K comparable]() *Gate[K] {
	return &Gate[K]{
		pools:   []pool{newPool()},
		waiting: waitlist[K]{index: make(map[K]rank)},
	}
}

// Arrive decides about a request. The pool is valid with Admit and Forced. A request that waits
// is returned by Next later; a copy of it changes nothing.
func (g *Gate[K]) Arrive(now time.Duration, r Request[K]) (Verdict, Pool) {
	r.Pool = max(r.Pool, AnyPool)
	if g.IsWaiting(r.Key) {
		return Wait, AnyPool
	}
	g.least.see(now, r.Priority)
	p, free := g.placeFor(now, r.Pool, g.isUrgent(now, r.Priority))
	if free && !g.overtakes(now, p) {
		g.admit(now, p, r.Priority)
		return Admit, p
	}
	return g.queue(now, &r, free)
}

// overtakes reports whether a request that takes a place of pool p now would overtake a waiting
// one that can use it.
func (g *Gate[K]) overtakes(now time.Duration, p Pool) bool {
	if g.waiting.empty() {
		return false
	}
	opening, urgent := g.openingFree(now, p, false), g.openingFree(now, p, true)
	for i := range g.waiting.list {
		w := &g.waiting.list[i]
		if w.pool == p || w.pool == AnyPool && (opening || urgent && g.isUrgent(now, w.priority)) {
			return true
		}
	}
	return false
}

// admit counts an admission with a place in pool p.
func (g *Gate[K]) admit(now time.Duration, p Pool, priority int) {
	g.stats.Admitted[level(priority)]++
	g.send(now, p, priority)
}

// force counts an admission beyond the limit.
func (g *Gate[K]) force(now time.Duration, p Pool, priority int) Pool {
	p = max(p, home)
	g.stats.Forced[level(priority)]++
	g.send(now, p, priority)
	return p
}

func (g *Gate[K]) send(now time.Duration, p Pool, priority int) {
	g.pool(p).add()
	if g.waiting.openings > 0 {
		g.rate.add(now, priority)
	}
}

// Take counts a request that was sent without calling Arrive.
func (g *Gate[K]) Take(_ time.Duration, p Pool) {
	g.pool(p).add()
	g.stats.Taken++
}

// Move changes the pool of an admitted request.
func (g *Gate[K]) Move(from, to Pool) {
	f := g.pool(from)
	f.inFlight = max(f.inFlight-1, 0)
	g.pool(to).add()
}

// Done frees a place after an answer with the given response time.
func (g *Gate[K]) Done(now time.Duration, p Pool, took time.Duration) {
	q := g.pool(p)
	q.pace.took = max(took, 0)
	q.remove(now)
}

// Abandon frees a place without an answer.
func (g *Gate[K]) Abandon(now time.Duration, p Pool) { g.pool(p).remove(now) }

// Answered reports the response time of an answer of the pool relative to normal.
func (g *Gate[K]) Answered(now time.Duration, p Pool, ratio float64) {
	q := g.pool(p)
	q.speed.add(now, ratio)
	q.answered = true
}

// Tick adjusts the places. It is to be called every 100 ms.
func (g *Gate[K]) Tick(now time.Duration) {
	h := &g.pools[home]
	full := h.usable() && !g.homeFree(now)
	h.adjustFactor(now)
	for i := range g.pools {
		if i > 0 {
			g.pools[i].adjustGranted(now, full, h.speed.at(now))
		}
		g.pools[i].answered = false
	}
	g.review = true
}

// reach records that a limit is reached.
func (g *Gate[K]) reach(now time.Duration) { g.limited, g.limitedAt = true, now }

// Saturated reports whether requests wait or a limit was reached in the last saturatedFor.
func (g *Gate[K]) Saturated(now time.Duration) bool {
	return !g.waiting.empty() || g.limited && now-g.limitedAt <= saturatedFor
}

// Ratio is the smoothed response time of pool 0 relative to normal, at least 1.
func (g *Gate[K]) Ratio(now time.Duration) float64 { return max(g.pools[home].speed.at(now), 1) }
