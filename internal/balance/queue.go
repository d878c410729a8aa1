package balance

import (
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/flow"
)

// Waiter is an opening packet that waits for a target with room.
type Waiter struct {
	Key       flow.Key
	Unit      Unit
	Urgent    bool
	Arrived   time.Duration
	Deadline  time.Duration
	NotBefore time.Duration // earliest admission, set after a refused attempt
}

// Queue is a bounded list of waiters. Urgent waiters go first, and each class
// is ordered by deadline. Every fairShare-th admission goes to the longest
// waiting of the others, so that a steady stream of urgent requests cannot
// starve them.
type Queue struct {
	waiters    []Waiter
	admissions int
	// Numbers of admissions, decaying with each further one; see
	// admissionShare.
	urgentAdmitted, othersAdmitted float64
}

const (
	// MaxQueue is the maximum number of waiters of one service.
	MaxQueue = 512
	// fairShare is the number of admissions of which one goes to a waiter that
	// is not urgent, if there is any.
	fairShare = 4
)

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiters) }

// Waiters returns a copy of the waiters, in no certain order.
func (q *Queue) Waiters() []Waiter { return slices.Clone(q.waiters) }

// Push adds w. When the queue is full, an urgent waiter displaces the
// non-urgent waiter with the latest deadline, which is returned with displaced
// set. ok is false if w was not added.
func (q *Queue) Push(w Waiter) (out Waiter, displaced, ok bool) {
	if len(q.waiters) < MaxQueue {
		q.waiters = append(q.waiters, w)
		return out, false, true
	}
	if !w.Urgent {
		return out, false, false
	}
	worst := -1
	for i, o := range q.waiters {
		if !o.Urgent && (worst < 0 || o.Deadline > q.waiters[worst].Deadline) {
			worst = i
		}
	}
	if worst < 0 {
		return out, false, false
	}
	out = q.waiters[worst]
	q.waiters[worst] = w
	return out, true, true
}

// Next returns the waiter for unit u to admit next, without removing it.
func (q *Queue) Next(now time.Duration, u Unit) (Waiter, bool) {
	best, oldest := -1, -1
	for i, w := range q.waiters {
		if w.Unit != u || w.NotBefore > now {
			continue
		}
		if best < 0 || w.precedes(q.waiters[best]) {
			best = i
		}
		if !w.Urgent && (oldest < 0 || w.Arrived < q.waiters[oldest].Arrived) {
			oldest = i
		}
	}
	if best < 0 {
		return Waiter{}, false
	}
	if oldest >= 0 && q.admissions%fairShare == fairShare-1 {
		best = oldest
	}
	return q.waiters[best], true
}

func (w Waiter) precedes(o Waiter) bool {
	if w.Urgent != o.Urgent {
		return w.Urgent
	}
	return w.Deadline < o.Deadline
}

// Remove removes the waiter of k. admitted is whether it got room, as
// opposed to being refused or abandoned.
func (q *Queue) Remove(k flow.Key, admitted bool) {
	for i, w := range q.waiters {
		if w.Key == k {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			if admitted {
				q.admissions++
				q.countAdmission(w.Urgent)
			}
			return
		}
	}
}

// Expired returns the waiters whose deadline has been reached.
func (q *Queue) Expired(now time.Duration) []Waiter {
	var out []Waiter
	for _, w := range q.waiters {
		if w.Deadline <= now {
			out = append(out, w)
		}
	}
	return out
}
