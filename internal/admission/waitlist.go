package admission

import (
	"slices"
	"time"
)

// maxWaiting is the maximum number of requests that wait. It bounds memory and the cost of a
// scan (BenchmarkBusyGate). At 300 admissions a second it is reached after a wait of 1.7 s,
// which is longer than goals are.
const maxWaiting = 512

// waitlist holds the waiting requests in the order of service. It is a sorted slice, because
// moving or scanning 512 elements takes about a microsecond.
type waitlist[K comparable] struct {
	list     []waiter[K]
	index    map[K]rank
	openings int // number of waiters that are not on open flows
	seq      uint64
}

func (l *waitlist[K]) len() int    { return len(l.list) }
func (l *waitlist[K]) full() bool  { return len(l.list) >= maxWaiting }
func (l *waitlist[K]) empty() bool { return len(l.list) == 0 }

func (l *waitlist[K]) has(k K) bool {
	_, ok := l.index[k]
	return ok
}

// waiterOf returns a waiter for r, which is not in the list yet.
func (l *waitlist[K]) waiterOf(now time.Duration, r *Request[K]) waiter[K] {
	l.seq++
	return waiter[K]{
		rank:        rank{priority: r.Priority, deadline: now + r.MaxWait, seq: l.seq},
		key:         r.Key,
		arrived:     now,
		pool:        r.Pool,
		established: r.Established,
		holdUntil:   now + max(r.MaxHold, r.MaxWait),
	}
}

// position returns the index of the first waiter that is not served before k.
func (l *waitlist[K]) position(k rank) int {
	i, _ := slices.BinarySearchFunc(l.list, k, func(w waiter[K], k rank) int { return w.compare(k) })
	return i
}

// ahead returns how many waiters of k's priority are served before k.
func (l *waitlist[K]) ahead(k rank) int {
	return l.position(k) - l.position(rank{priority: k.priority, deadline: minDuration})
}

// minDuration is before any deadline.
const minDuration = time.Duration(-1 << 63)

func (l *waitlist[K]) insert(w waiter[K]) {
	l.list = slices.Insert(l.list, l.position(w.rank), w)
	l.index[w.key] = w.rank
	if !w.established {
		l.openings++
	}
}

// remove removes and returns the i-th waiter.
func (l *waitlist[K]) remove(i int) waiter[K] {
	w := l.list[i]
	l.list = slices.Delete(l.list, i, i+1)
	delete(l.index, w.key)
	if !w.established {
		l.openings--
	}
	return w
}

// lastOpening returns the index of the opening that is served last, or -1.
func (l *waitlist[K]) lastOpening() int {
	for i := len(l.list) - 1; i >= 0; i-- {
		if !l.list[i].established {
			return i
		}
	}
	return -1
}

// overdue returns the index of a request on an open flow that is held no longer, or -1.
func (l *waitlist[K]) overdue(now time.Duration) int {
	if l.openings == len(l.list) {
		return -1
	}
	for i := range l.list {
		if w := &l.list[i]; w.established && w.holdUntil <= now {
			return i
		}
	}
	return -1
}
