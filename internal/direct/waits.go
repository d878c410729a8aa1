package direct

import "time"

const (
	// openingPatience is how long a target may take to answer an opening,
	// beside a few times the usual: a target's handshake takes 0.3 ms, and a
	// small VM's processor may stand still for a tenth of a second at worst,
	// which then only costs a check.
	openingPatience = 30 * time.Millisecond
	// usualFactor times the usual time from an opening to the caller's next
	// packet is added, as callers may be far away.
	usualFactor = 3
	// firstUsual is that time before it is measured.
	firstUsual = 10 * time.Millisecond
	// usualWeight smooths the measurement over about 16 openings.
	usualWeight = 1.0 / 16
	// answerPatience is how long a request may be under way at least before its
	// target is checked if nothing else came from it; see usual.patience.
	answerPatience = 100 * time.Millisecond
	// busyMax is how long a request counts as under way if nothing shows its
	// end. Callers acknowledge nearly every answer at once (900 of 903), so that
	// this only has to bound what a lost packet does.
	busyMax = 2 * time.Second
)

// wait is a flow that waited for its target since a moment.
type wait struct {
	flow  *flow
	since time.Duration
}

// waits is a queue of waits, oldest first. All in a queue are due after the
// same time, so that only its head has to be looked at.
type waits struct {
	list []wait
	head int
}

func (q *waits) push(fl *flow, since time.Duration) {
	q.list = append(q.list, wait{fl, since})
}

// pop returns the oldest wait if it began before a moment.
func (q *waits) pop(before time.Duration) (wait, bool) {
	if q.head == len(q.list) || q.list[q.head].since > before {
		return wait{}, false
	}
	w := q.list[q.head]
	q.list[q.head].flow = nil
	q.head++
	if q.head > len(q.list)/2 {
		n := copy(q.list, q.list[q.head:])
		clear(q.list[n:])
		q.list = q.list[:n]
		q.head = 0
	}
	return w, true
}

// overdue looks for targets that owe an answer.
//
// Failure: targets crash, and their machine answers openings with resets that
// pass no balancer. They look idle, so that openings and their repeats go there
// first and callers run out of tries within 30 ms: 131 of 3,190 requests failed
// in the 2 s after 32 of 150 targets had crashed. A living target answers an
// opening within milliseconds, so that one left unanswered has it checked.
func (f *Forwarder) overdue(now time.Duration) {
	patience := openingPatience + usualFactor*f.usual
	for w, ok := f.openings.pop(now - patience); ok; w, ok = f.openings.pop(now - patience) {
		fl := w.flow
		if fl.gone || fl.open || fl.asked != w.since || fl.target.progress > w.since {
			continue
		}
		fl.target.group.pace.add(now, paceSilent)
		if !f.without.Has(OpeningChecks) {
			f.unanswered(now, fl)
		}
	}
	for _, u := range f.ends.routes {
		f.overdueRequests(now, u)
	}
	for w, ok := f.busy.pop(now - busyMax); ok; w, ok = f.busy.pop(now - busyMax) {
		if !w.flow.gone && w.flow.asked == w.since {
			f.idle(w.flow)
		}
	}
}

// overdueRequests looks for targets that owe an answer on one route.
func (f *Forwarder) overdueRequests(now time.Duration, u *usual) {
	patience := u.patience()
	for w, ok := u.waiting.pop(now - patience); ok; w, ok = u.waiting.pop(now - patience) {
		fl := w.flow
		if fl.gone || !fl.pending || fl.asked != w.since || fl.target.progress > w.since || f.without.Has(RequestChecks) {
			continue
		}
		fl.target.overdue = true
		f.suspect(fl.target)
		f.due = true
	}
}

// ChecksDue reports, once, whether a target has become suspicious since the last
// call, so that Suspects had better be asked at once.
func (f *Forwarder) ChecksDue() bool {
	due := f.due
	f.due = false
	return due
}

// answered measures the time from an opening to the caller's next packet.
func (f *Forwarder) answered(took time.Duration) {
	f.times.Opened(took)
	f.usual += time.Duration(usualWeight * float64(took-f.usual))
}
