package balance

import (
	"cmp"
	"slices"
	"time"
)

// hopeShare of the time that a waiter has left must suffice for those ahead of
// it. Below 1, nearly all that wait are admitted: slots are busy either way, so
// that refusing the others at once costs no work.
const hopeShare = 0.9

// Advance notes the time, by which requests' use of slots is measured and targets
// left behind are released. It should be called every few tens of milliseconds.
func (p *Pool) Advance(now time.Duration) {
	p.releaseLeft(now)
	if p.pace.active(p.slots) {
		p.pace.pass(now, p.slots, p.limit())
	} else {
		p.pace.at = now
	}
}

// WillMissDeadline returns the waiters for slots that will not be admitted in time at
// the pace of the last seconds.
//
// Failure: callers ask for more than the slots can do. It shows as a queue in
// which everyone waits until the deadline, and those who are refused learn it
// only then. Whoever cannot be admitted in time is refused while it can still
// ask elsewhere or come back later.
func (p *Pool) WillMissDeadline(now time.Duration) []Waiter {
	rate := p.pace.rate()
	if rate == 0 || p.Queue.Len() == 0 || p.limit() == 0 {
		return nil // nothing is known, or targets may come back
	}
	each := float64(time.Second) / rate
	var out []Waiter
	for _, urgent := range []bool{true, false} {
		turn := each / p.Queue.share(urgent)
		ahead := 0
		for _, w := range p.Queue.order(Slot, urgent) {
			if float64(ahead+1)*turn > hopeShare*float64(w.Deadline-now) {
				out = append(out, w)
				continue
			}
			ahead++
		}
	}
	return out
}

// limit is the number of slots of the targets that take new flows.
func (p *Pool) limit() int {
	n := 0
	for _, t := range p.list {
		if t.Eligible {
			n += t.Limit[Slot]
		}
	}
	return n
}

// order returns the urgent or the other waiters of unit u by deadline.
func (q *Queue) order(u Unit, urgent bool) []Waiter {
	var out []Waiter
	for _, w := range q.waiters {
		if w.Unit == u && w.Urgent == urgent {
			out = append(out, w)
		}
	}
	slices.SortStableFunc(out, func(a, b Waiter) int { return cmp.Compare(a.Deadline, b.Deadline) })
	return out
}

// shareMemory fades each admission by a thirtieth with every later one.
const shareMemory = 29.0 / 30

// share is the part of the latest admissions that went to the urgent or to the
// other waiters. Those who come later may be urgent, so that the queue of the
// moment does not say how long the others wait. It is at least what Next grants.
func (q *Queue) share(urgent bool) float64 {
	sum := q.urgentServed + q.othersServed
	if sum < 1 {
		return 1 // nobody had to wait yet
	}
	if urgent {
		return max(q.urgentServed/sum, float64(fairShare-1)/fairShare)
	}
	return max(q.othersServed/sum, 1.0/fairShare)
}

func (q *Queue) noteServed(urgent bool) {
	q.urgentServed *= shareMemory
	q.othersServed *= shareMemory
	if urgent {
		q.urgentServed++
		return
	}
	q.othersServed++
}
