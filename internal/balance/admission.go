package balance

import (
	"cmp"
	"slices"
	"time"
)

// maxWaitShare is the share of a waiter's remaining time that its expected
// wait may take. With a value below 1 nearly all waiters that are not refused
// early are admitted. Early refusals cost no throughput, since all slots are in
// use either way.
const maxWaitShare = 0.9

// Advance updates the rate at which slots become free and releases delayed
// units. It should be called every few tens of milliseconds.
func (p *Pool) Advance(now time.Duration) {
	p.releaseDelayed(now)
	if p.slotRate.active(p.slotsInUse) {
		p.slotRate.advance(now, p.slotsInUse, p.eligibleSlots())
	} else {
		p.slotRate.updatedAt = now
	}
}

// WillMissDeadline returns the waiters for slots that are not expected to be
// admitted before their deadlines, at the rate at which slots became free in
// the last seconds.
//
// Without this, when callers ask for more than the slots can serve, all of them
// wait until close to their deadlines, and refusals are sent only at the
// deadline. An early refusal leaves the caller time to connect elsewhere
// or to try again later.
func (p *Pool) WillMissDeadline(now time.Duration) []Waiter {
	rate := p.slotRate.rate()
	if rate == 0 || p.Queue.Len() == 0 || p.eligibleSlots() == 0 {
		return nil // the rate is unknown, or targets may become eligible again
	}
	slotInterval := float64(time.Second) / rate
	var out []Waiter
	for _, urgent := range []bool{true, false} {
		admissionInterval := slotInterval / p.Queue.admissionShare(urgent)
		ahead := 0
		for _, w := range p.Queue.byDeadline(Slot, urgent) {
			if float64(ahead+1)*admissionInterval > maxWaitShare*float64(w.Deadline-now) {
				out = append(out, w)
				continue
			}
			ahead++
		}
	}
	return out
}

// eligibleSlots returns the number of slots of the targets that take new
// flows.
func (p *Pool) eligibleSlots() int {
	n := 0
	for _, t := range p.list {
		if t.Eligible {
			n += t.Limit[Slot]
		}
	}
	return n
}

// byDeadline returns the urgent or the other waiters of unit u, in order of
// their deadlines.
func (q *Queue) byDeadline(u Unit, urgent bool) []Waiter {
	var out []Waiter
	for _, w := range q.waiters {
		if w.Unit == u && w.Urgent == urgent {
			out = append(out, w)
		}
	}
	slices.SortStableFunc(out, func(a, b Waiter) int { return cmp.Compare(a.Deadline, b.Deadline) })
	return out
}

// admissionDecay is the factor by which each admission reduces the weight of
// all earlier ones, for an average over about 30 admissions.
const admissionDecay = 29.0 / 30

// admissionShare returns the share of recent admissions that went to urgent or
// to other waiters. Later arrivals may be urgent, so the current queue does
// not determine how long the others wait. The result is at least the share
// that Next grants the class.
func (q *Queue) admissionShare(urgent bool) float64 {
	sum := q.urgentAdmitted + q.othersAdmitted
	if sum < 1 {
		return 1 // no waiter has been admitted yet
	}
	if urgent {
		return max(q.urgentAdmitted/sum, float64(fairShare-1)/fairShare)
	}
	return max(q.othersAdmitted/sum, 1.0/fairShare)
}

// countAdmission adds an admission to the decaying counts.
func (q *Queue) countAdmission(urgent bool) {
	q.urgentAdmitted *= admissionDecay
	q.othersAdmitted *= admissionDecay
	if urgent {
		q.urgentAdmitted++
		return
	}
	q.othersAdmitted++
}
