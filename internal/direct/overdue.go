package direct

import "time"

const (
	// minOpeningTimeout is how long a target may take to answer an opening, in addition to a
	// multiple of the measured time. A target's handshake takes 0.3 ms. The CPU of a small VM
	// may stall for 100 ms at worst, which causes no more than an unnecessary check.
	minOpeningTimeout = 30 * time.Millisecond
	// openingTimeFactor is the multiple of the measured time from an opening to the caller's
	// next packet, which includes the distance to the caller.
	openingTimeFactor = 3
	// initialOpeningTime is the initial value of the measured time.
	initialOpeningTime = 10 * time.Millisecond
	// openingTimeWeight smooths the measurement over about 16 openings.
	openingTimeWeight = 1.0 / 16
	// minRequestTimeout is the minimum of baseline.requestTimeout.
	minRequestTimeout = 100 * time.Millisecond
	// maxBusyTime is how long a request counts as in flight if nothing shows its end. Callers
	// acknowledge nearly every answer at once (900 of 903), so this only limits the effect of
	// lost packets.
	maxBusyTime = 2 * time.Second
)

// queuedWait is a flow that has waited for its target since a time.
type queuedWait struct {
	flow  *flow
	since time.Duration
}

// waitQueue is a queue of waiting flows, oldest first. All entries of a queue have the same
// timeout, so that only the head has to be examined.
type waitQueue struct {
	list []queuedWait
	head int
}

func (q *waitQueue) push(fl *flow, since time.Duration) {
	q.list = append(q.list, queuedWait{fl, since})
}

// first returns the oldest entry if it began no later than a time.
func (q *waitQueue) first(before time.Duration) (queuedWait, bool) {
	if q.head == len(q.list) || q.list[q.head].since > before {
		return queuedWait{}, false
	}
	return q.list[q.head], true
}

// pop removes and returns the oldest entry if it began no later than a time.
func (q *waitQueue) pop(before time.Duration) (queuedWait, bool) {
	w, ok := q.first(before)
	if ok {
		q.dropFirst()
	}
	return w, ok
}

// dropFirst removes the oldest entry.
func (q *waitQueue) dropFirst() {
	q.list[q.head].flow = nil
	q.head++
	if q.head > len(q.list)/2 {
		n := copy(q.list, q.list[q.head:])
		clear(q.list[n:])
		q.list = q.list[:n]
		q.head = 0
	}
}

// checkOverdue looks for targets with overdue answers.
//
// When a target crashes, its machine answers openings with resets that pass no balancer. The
// target looks idle and attracts openings and their retransmissions, so that callers use up
// their tries within 30 ms: 131 of 3,190 requests failed in the 2 s after 32 of 150 targets
// had crashed. As a living target answers an opening within milliseconds, one left unanswered
// causes a check.
func (f *Forwarder) checkOverdue(now time.Duration) {
	timeout := minOpeningTimeout + openingTimeFactor*f.openingTime
	for w, ok := f.pendingOpenings.pop(now - timeout); ok; w, ok = f.pendingOpenings.pop(now - timeout) {
		fl := w.flow
		if fl.removed || fl.open || fl.requestedAt != w.since || fl.target.lastAlive > w.since {
			continue
		}
		fl.target.group.latency.add(now, unansweredRatio)
		if !f.without.Has(OpeningChecks) {
			f.recordStall(now, fl)
		}
	}
	for _, b := range f.outcomes.baselineList {
		f.checkOverdueRequests(now, b)
	}
	for w, ok := f.busyRequests.pop(now - maxBusyTime); ok; w, ok = f.busyRequests.pop(now - maxBusyTime) {
		if !w.flow.removed && w.flow.requestedAt == w.since {
			f.endBusy(w.flow)
			f.expirePlace(w.flow)
		}
	}
}

// checkOverdueRequests looks for targets with overdue answers on one route.
//
// The extended timeout is only computed while a request has exceeded the usual one, as this runs
// for every packet.
func (f *Forwarder) checkOverdueRequests(now time.Duration, b *baseline) {
	usual := b.requestTimeout()
	for w, ok := b.pendingRequests.first(now - usual); ok; w, ok = b.pendingRequests.first(now - usual) {
		overdue := f.isUnanswered(w)
		if overdue && now-w.since < f.overdueTimeout(b) {
			return
		}
		b.pendingRequests.dropFirst()
		if !overdue {
			continue
		}
		w.flow.target.overdue = true
		f.addSuspect(w.flow.target)
		f.checksDue = true
	}
}

// isUnanswered reports whether a request is still in flight and its target has shown no life
// since it was sent.
func (f *Forwarder) isUnanswered(w queuedWait) bool {
	fl := w.flow
	return !fl.removed && fl.pending && fl.requestedAt == w.since && fl.target.lastAlive <= w.since && !f.without.Has(RequestChecks)
}

// recordAnswerTime records the response time of a request whose answer is acknowledged by s.
//
// The tail is not learnt from acknowledgements with data, which may come seconds after the answer
// (see recordAck), nor while the service is saturated, when it contains the queues.
func (f *Forwarder) recordAnswerTime(now time.Duration, fl *flow, s *Segment) {
	took := now - fl.requestedAt
	f.times.Answered(took)
	if s.Len == 0 && f.service(fl.target.Service).saturationRatio() <= saturatedRatio {
		f.baselineOf(fl.key.Address).learnTail(took)
	}
}

// ChecksDue reports whether a target has become due for a check since the last call. If so,
// TargetsToCheck is to be called without waiting for the next tick.
func (f *Forwarder) ChecksDue() bool {
	due := f.checksDue
	f.checksDue = false
	return due
}

// recordOpeningTime updates the smoothed time from an opening to the caller's next packet.
func (f *Forwarder) recordOpeningTime(took time.Duration) {
	f.times.Opened(took)
	f.openingTime += time.Duration(openingTimeWeight * float64(took-f.openingTime))
}
