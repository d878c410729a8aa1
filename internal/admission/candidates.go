package admission

import "time"

// candidates are indices of waiting requests that have a free place, or -1.
type candidates struct {
	first  int // in the order of service
	lesser int // the longest-waiting that is less urgent than first
	late   int // the first that can no longer meet its goal: served if there is no other
}

// candidates finds the requests of which one is admitted next.
func (g *Gate[K]) candidates(now time.Duration) candidates {
	c := candidates{first: -1, lesser: -1, late: -1}
	_, opening := g.placeFor(now, AnyPool, false)
	_, urgent := g.placeFor(now, AnyPool, true)
	if !opening && !urgent && g.waiting.openings == g.waiting.len() {
		return c
	}
	list := g.waiting.list
	for i := range list {
		w := &list[i]
		switch {
		case w.pool == AnyPool && !opening && !(urgent && g.isUrgent(now, w.priority)), w.pool >= home && !g.flowFree(now, w.pool):
		case w.late(now):
			c.late = firstOf(c.late, i)
		case c.first < 0:
			c.first = i
		case w.priority > list[c.first].priority && (c.lesser < 0 || w.seq < list[c.lesser].seq):
			c.lesser = i
		}
	}
	return c
}

// firstOf returns index, or i if index is -1.
func firstOf(index, i int) int {
	if index < 0 {
		return i
	}
	return index
}
