package admission

import "time"

// rank is the position of a waiting request in the order of service.
type rank struct {
	priority int
	deadline time.Duration // end of the longest useful wait
	seq      uint64        // order of arrival
}

// compare returns a negative number if a is served before b, and 0 only for equal ranks.
func (a rank) compare(b rank) int {
	switch {
	case a.priority != b.priority:
		return a.priority - b.priority
	case a.deadline < b.deadline:
		return -1
	case a.deadline > b.deadline:
		return 1
	case a.seq < b.seq:
		return -1
	case a.seq > b.seq:
		return 1
	}
	return 0
}

// waiter is a waiting request.
type waiter[K comparable] struct {
	rank
	key         K
	arrived     time.Duration
	pool        Pool
	established bool
	holdUntil   time.Duration // when a request on an open flow is admitted beyond the limit
}

// late reports whether w has waited too long to be served within its goal.
func (w *waiter[K]) late(now time.Duration) bool { return w.deadline < now }

// released returns the Release of w.
func (w *waiter[K]) released(now time.Duration, v Verdict, p Pool) Release[K] {
	return Release[K]{Key: w.key, Pool: p, Verdict: v, Waited: now - w.arrived, Priority: w.priority}
}
