package admission

import "time"

// Next returns the next waiting request to admit or reject now; call it until it returns false.
// Nothing is found hopeless while a place is free that an opening can use.
func (g *Gate[K]) Next(now time.Duration) (Release[K], bool) {
	if len(g.evicted) > 0 {
		return g.nextEvicted(now), true
	}
	if g.waiting.empty() {
		return Release[K]{}, false
	}
	g.reach(now)
	if i := g.waiting.overdue(now); i >= 0 {
		return g.releaseForced(now, i), true
	}
	if i, p := g.choose(now); i >= 0 {
		return g.release(now, i, p), true
	}
	if g.review {
		if i := g.hopeless(now); i >= 0 {
			w := g.waiting.remove(i)
			return w.released(now, g.reject(w.priority), w.pool), true
		}
		g.review = false
	}
	return Release[K]{}, false
}

func (g *Gate[K]) nextEvicted(now time.Duration) Release[K] {
	w := g.evicted[0]
	g.evicted = append(g.evicted[:0], g.evicted[1:]...)
	return w.released(now, g.reject(w.priority), w.pool)
}

func (g *Gate[K]) releaseForced(now time.Duration, i int) Release[K] {
	w := &g.waiting.list[i]
	p := g.force(now, w.pool, w.priority)
	removed := g.waiting.remove(i)
	return removed.released(now, Forced, p)
}

func (g *Gate[K]) release(now time.Duration, i int, p Pool) Release[K] {
	g.admit(now, p, g.waiting.list[i].priority)
	w := g.waiting.remove(i)
	return w.released(now, Admit, p)
}

// choose returns the index of the waiting request that is admitted next and its pool, or -1.
func (g *Gate[K]) choose(now time.Duration) (int, Pool) {
	c := g.candidates(now)
	switch {
	case c.first < 0 && c.late < 0:
		return -1, AnyPool
	case c.first < 0:
		return g.chosen(now, c.late)
	case c.lesser >= 0 && g.turn.isLesser():
		g.turn.count(true)
		g.stats.Lesser++
		return g.chosen(now, c.lesser)
	case c.lesser >= 0:
		g.turn.count(false)
	}
	return g.chosen(now, c.first)
}

func (g *Gate[K]) chosen(now time.Duration, i int) (int, Pool) {
	w := &g.waiting.list[i]
	p, _ := g.placeFor(now, w.pool, g.isUrgent(now, w.priority))
	return i, p
}
