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
	if q.call != nil {
		fl.seg.Address = q.call.route.Address
	}
	q.flow = fl
	r.flows[fl.seg.Flow()] = fl
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
		r.send(fl, &seg, func(t *simTarget) {
			r.after(2*simCaller, func() { r.sendFirst(fl, t) })
		})
	})
}

// send passes a packet of a flow to its balancer. arrived is called when the packet reaches its
// target; it is nil if nothing depends on that.
func (r *replay) send(fl *simFlow, s *Segment, arrived func(*simTarget)) {
	d := fl.b.handle(r.now, fl, s)
	switch {
	case d.Verb == Hold:
		r.keep(fl, s, arrived)
	case arrived != nil:
		r.deliver(fl, d, arrived)
	}
	r.release(fl.b)
}

// deliver carries out a decision and calls arrived when the packet reaches its target. For a
// packet that a balancer has kept back, it is to be called with the decision that ends the wait
// and the same arrived.
func (r *replay) deliver(fl *simFlow, d Decision, arrived func(*simTarget)) {
	if fl.b.f.ChecksDue() {
		r.startChecks(fl.b)
	}
	if d.Reason == OpenedFar {
		r.far++
	}
	switch d.Verb {
	case Reset:
		fl.rejected = !fl.open
		if fl.rejected && fl.waiting.call != nil {
			r.noteRejection(fl.waiting.call)
		}
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
				fl.waiting.call.count(func(n *callCounts) { n.connections++ })
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
	r.send(fl, &fl.seg, func(t *simTarget) { r.arrive(t, q) })
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
		lost := fl.t.unreachable || fl.t.crashed || q.call != nil && !q.delivered
		if fl.dead || fl.waiting != q || !lost {
			return
		}
		r.send(fl, &fl.seg, func(t *simTarget) {
			if q.call != nil {
				r.arrive(t, q)
			}
		})
		r.retransmit(fl, q, min(2*d, simMaxRetransmit))
	})
}

// Timing of requests that fail.
const (
	simError    = 5 * time.Millisecond    // until a target answers with an error
	simDeadline = 2500 * time.Millisecond // from a request until its caller ends the flow
	// simMaxRetransmit bounds the interval of retransmissions.
	simMaxRetransmit = 1600 * time.Millisecond
)

// answer delivers the answer to the caller, which acknowledges it.
func (r *replay) answer(q *simRequest) {
	fl := q.flow
	if fl.dead || fl.waiting != q {
		return
	}
	fl.waiting = nil
	goal := r.goal
	if q.call != nil {
		goal = q.call.route.Goal
		q.call.settle(r.now)
	}
	if r.now-q.startedAt <= goal {
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
	r.after(simCaller, func() { r.send(fl, &fl.seg, nil) })
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
	if q.call != nil {
		r.callAgain(fl, q)
		return
	}
	if q.tries >= r.retries || fl.open && fl.seg.Address == simNonIdempotent {
		r.failed++
		return
	}
	again := &simRequest{startedAt: q.startedAt, work: q.work, tries: q.tries + 1}
	r.after(10*time.Millisecond, func() { r.open(int(fl.b.centre), fl.long, again) })
}
