package direct

import (
	"net/netip"
	"time"
)

// request sends a request on a new flow from a data centre.
func (r *replay) request(centre int, long bool, work time.Duration) *simFlow {
	r.requests++
	q := &simRequest{startedAt: r.now, work: work}
	return r.open(centre, long, q)
}

// open opens a flow for a request. The caller sends its opening three times in all, and ends
// the flow after 1.4 s without an answer.
func (r *replay) open(centre int, long bool, q *simRequest) *simFlow {
	var near []*balancer
	for _, b := range r.balancers {
		if b.centre == centre {
			near = append(near, b)
		}
	}
	r.nextPort++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(centre), byte(r.nextPort >> 16), 1}), uint16(r.nextPort))
	fl := &simFlow{b: near[r.rng.IntN(len(near))], long: long, waiting: q}
	fl.seg = Segment{Caller: caller, Address: simAddress, Seq: 100, Flags: SYN}
	if r.nonIdempotent {
		fl.seg.Address = simNonIdempotent
	}
	q.flow = fl
	openFlows[fl.seg.Flow()] = fl
	r.opened++
	r.syn(fl)
	for i, d := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
		r.after(d, func() {
			if !fl.open && !fl.dead {
				fl.copies = uint32(i + 1)
				r.syn(fl)
			}
		})
	}
	r.after(1400*time.Millisecond, func() {
		if !fl.open {
			r.breakFlow(fl)
		}
	})
	return fl
}

// syn sends a copy of the opening.
func (r *replay) syn(fl *simFlow) {
	r.after(simCaller, func() {
		seg := fl.seg
		seg.Ack = fl.copies
		d := fl.b.f.Handle(r.now, &seg)
		if d.Reason == OpenedFar {
			r.far++
		}
		r.deliver(fl, d, func(t *simTarget) {
			r.after(2*simCaller, func() { r.sendFirst(fl, t) })
		})
	})
}

// deliver carries out a decision and calls arrived when the packet reaches its target.
func (r *replay) deliver(fl *simFlow, d Decision, arrived func(*simTarget)) {
	if fl.b.f.ChecksDue() {
		r.startChecks(fl.b)
	}
	switch d.Verb {
	case Reset:
		r.after(simCaller, func() { r.breakFlow(fl) })
		return
	case Drop:
		return
	}
	t := r.byID[d.Target.ID]
	delay := simNear
	if t.centre != fl.b.centre {
		delay = simFar
	}
	r.after(delay, func() {
		switch {
		case t.unreachable:
		case t.crashed:
			r.after(simCaller, func() { r.breakFlow(fl) })
		default:
			if !fl.open {
				t.opened++
			}
			arrived(t)
		}
	})
}

// sendFirst sends the caller's first packet after the answer to its opening. It carries the
// request.
func (r *replay) sendFirst(fl *simFlow, t *simTarget) {
	if fl.open || fl.dead {
		return
	}
	fl.open = true
	fl.t = t
	fl.seg.Cookie = t.ID.Cookie()
	fl.seg.Flags = ACK
	fl.seg.Seq, fl.seg.Ack = 101, 1000
	r.sendRequest(fl, fl.waiting)
}

// sendRequest sends a request on an open flow. The caller ends a flow with a non-idempotent
// request after simDeadline.
func (r *replay) sendRequest(fl *simFlow, q *simRequest) {
	fl.waiting = q
	q.flow = fl
	fl.seg.Len = 300
	d := fl.b.f.Handle(r.now, &fl.seg)
	r.deliver(fl, d, func(t *simTarget) { r.arrive(t, q) })
	r.retransmit(fl, q, 200*time.Millisecond)
	r.after(simDeadline, func() {
		if fl.waiting == q && fl.seg.Address == simNonIdempotent {
			r.breakFlow(fl)
		}
	})
}

// retransmit sends the request's packet again while its target cannot acknowledge it, at
// intervals that double.
func (r *replay) retransmit(fl *simFlow, q *simRequest, d time.Duration) {
	r.after(d, func() {
		if fl.dead || fl.waiting != q || !fl.t.unreachable && !fl.t.crashed {
			return
		}
		r.deliver(fl, fl.b.f.Handle(r.now, &fl.seg), func(*simTarget) {})
		r.retransmit(fl, q, 2*d)
	})
}

// arrive handles a request at its target, which resets the flow if its queue is full.
func (r *replay) arrive(t *simTarget, q *simRequest) {
	if !r.admit(t, q) {
		r.refused++
		r.after(simCaller, func() { r.breakFlow(q.flow) })
	}
}

// admit starts a request at a target or queues it. It returns false if the queue is full.
func (r *replay) admit(t *simTarget, q *simRequest) bool {
	switch {
	case t.running < simSlots:
		r.start(t, q)
	case len(t.queue) < simQueue:
		t.queue = append(t.queue, q)
	default:
		return false
	}
	return true
}

// start serves a request or check in a free slot, and the next one in the queue afterwards.
func (r *replay) start(t *simTarget, q *simRequest) {
	if q.check == nil && t.failureShare > 0 && r.rng.Float64() < t.failureShare {
		r.fail(t, q)
		return
	}
	t.running++
	r.after(time.Duration(float64(q.work)*t.slow), func() {
		if t.crashed || t.unreachable {
			return
		}
		t.running--
		if q.check == nil {
			t.served++
		}
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			r.start(t, next)
		}
		if q.check != nil {
			q.check()
			return
		}
		r.after(simCaller, func() { r.answer(q) })
	})
}

// Timing of requests that fail.
const (
	simError    = 5 * time.Millisecond    // until a target answers with an error
	simDeadline = 2500 * time.Millisecond // from a request until its caller ends the flow
)

// fail makes a failing target handle a request according to its failure mode.
func (r *replay) fail(t *simTarget, q *simRequest) {
	t.failed++
	fl := q.flow
	switch t.failure {
	case failsWithError:
		r.after(simError+simCaller, func() { r.answerError(q) })
	case hangs:
		r.after(simDeadline-(r.now-q.startedAt), func() { r.breakFlow(fl) })
	case breaks:
		r.after(simError+simCaller, func() { r.breakFlow(fl) })
	}
}

// answerError delivers a short answer to the caller, which acknowledges it and retries on a
// new flow.
func (r *replay) answerError(q *simRequest) {
	fl := q.flow
	if fl.dead || fl.waiting != q {
		return
	}
	fl.seg.Seq += uint32(fl.seg.Len)
	fl.seg.Len = 0
	fl.seg.Ack += 170
	fl.seg.Flags |= FIN
	last := fl.seg
	r.after(simCaller, func() { fl.b.f.Handle(r.now, &last) })
	r.breakFlow(fl)
}

// answer delivers the answer to the caller, which acknowledges it.
func (r *replay) answer(q *simRequest) {
	fl := q.flow
	if fl.dead || fl.waiting != q {
		return
	}
	fl.waiting = nil
	if r.now-q.startedAt <= r.goal {
		r.inGoal++
	} else {
		r.late++
	}
	fl.seg.Seq += uint32(fl.seg.Len)
	fl.seg.Len = 0
	fl.seg.Ack += 2000
	if !fl.long {
		fl.seg.Flags |= FIN
	}
	r.after(simCaller, func() { fl.b.f.Handle(r.now, &fl.seg) })
	if !fl.long {
		fl.dead = true
	}
}

// breakFlow ends a flow at the caller, which retries if it is still waiting.
func (r *replay) breakFlow(fl *simFlow) {
	if fl.dead {
		return
	}
	fl.dead = true
	q := fl.waiting
	if q == nil {
		return
	}
	if q.tries >= r.retries || fl.open && fl.seg.Address == simNonIdempotent {
		r.failed++
		return
	}
	again := &simRequest{startedAt: q.startedAt, work: q.work, tries: q.tries + 1}
	r.after(10*time.Millisecond, func() { r.open(int(fl.b.centre), fl.long, again) })
}
