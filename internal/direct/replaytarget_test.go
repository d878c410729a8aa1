package direct

import "time"

// arrive handles a request at its target, which resets the flow if its queue is full. Market
// requests are refused instead as long as few are.
func (r *replay) arrive(t *simTarget, q *simRequest) {
	if q.delivered {
		return // a retransmission
	}
	q.delivered = true
	if r.admit(t, q) {
		return
	}
	r.refused++
	if q.call != nil && t.refusing < simQueue {
		r.refuse(t, q)
		return
	}
	r.after(simCaller, func() { r.breakFlow(q.flow) })
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
		wasFull := t.running == simSlots
		t.running--
		if q.check == nil {
			t.served++
		}
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			r.start(t, next)
		}
		if wasFull && t.running < simSlots {
			t.freeSince = r.now
		}
		if q.check != nil {
			q.check()
			return
		}
		r.after(simCaller, func() { r.answer(q) })
	})
}

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
	r.after(simCaller, func() { r.send(fl, &last, nil) })
	r.breakFlow(fl)
}
