package direct

import "time"

const (
	// openingRetention is how long an unanswered opening is kept. Callers give up after
	// 1.4 s.
	openingRetention = 1500 * time.Millisecond
	// endedRetention is how long an ended flow is kept for late packets.
	endedRetention = 2 * time.Second
)

// addFlow adds the flow of an opening to the table. It returns nil if that is full.
func (f *Forwarder) addFlow(now time.Duration, s *Segment, t *target, tried [2]TargetID) *flow {
	f.forget(s.Flow())
	if len(f.flows) >= f.maxFlows {
		return nil
	}
	fl := &flow{key: s.Flow(), target: t, triedTargets: tried, firstSeen: now, lastSeen: now, requestedAt: now, sawOpening: true, opening: s.Seq, maxEnd: s.Seq + 1}
	// A request follows the opening, so the target counts as busy with it until the caller's
	// next packet, which may begin it.
	fl.busy = true
	t.busy++
	f.pendingOpenings.push(fl, now)
	f.busyRequests.push(fl, now)
	f.flows[fl.key] = fl
	return fl
}

// adopt adds an open flow that is not in the table, mostly one that another balancer opened. It
// returns nil if the table is full.
func (f *Forwarder) adopt(now time.Duration, s *Segment, t *target) *flow {
	if len(f.flows) >= f.maxFlows {
		return nil
	}
	fl := &flow{key: s.Flow(), target: t, open: true, firstSeen: now, lastSeen: now, maxEnd: s.Seq, maxAck: s.Ack}
	t.flows++
	f.flows[fl.key] = fl
	return fl
}

// forget removes a flow and its counts at the target.
func (f *Forwarder) forget(k FlowKey) {
	fl := f.flows[k]
	if fl == nil {
		return
	}
	f.endBusy(fl)
	f.abandonPlace(fl)
	if fl.held != nil {
		f.cancelHeld(k, fl.held)
	}
	fl.removed = true
	if fl.open && !fl.ended {
		fl.target.flows--
	}
	delete(f.flows, k)
}

func (f *Forwarder) endBusy(fl *flow) {
	if fl.busy {
		fl.busy = false
		fl.target.busy--
	}
}

// observe updates a flow and its target from a packet: whether a request begins or ends, and
// whether the target still answers.
func (f *Forwarder) observe(now time.Duration, fl *flow, s *Segment) {
	fl.lastSeen = now
	if !fl.open {
		f.confirmOpening(now, fl, s)
	}
	f.observeAck(now, fl, s)
	end := s.Seq + uint32(s.Len)
	switch {
	case s.Len > 0 && after(end, fl.maxEnd):
		fl.maxEnd = end
		f.beginRequest(now, fl)
		f.countRequest(now, fl)
	case s.Len > 0:
		f.recordStall(now, fl)
	}
	if s.Flags.Has(FIN) {
		f.finishRequest(now, fl)
	}
	if s.Flags.Has(FIN) || s.Flags.Has(RST) {
		fl.countEnd()
		f.closeFlow(fl)
	}
}

// observeAck updates a flow from the acknowledgement of a packet.
func (f *Forwarder) observeAck(now time.Duration, fl *flow, s *Segment) {
	if !s.Flags.Has(ACK) || !after(s.Ack, fl.maxAck) {
		return
	}
	fl.maxAck = s.Ack
	if fl.pending {
		f.recordAnswerTime(now, fl, s)
		fl.countEnd()
		f.completePlace(now, fl, now-fl.requestedAt)
	}
	if fl.answer.open {
		f.recordLatency(now, fl)
		fl.answer.acknowledge(now)
	}
	fl.pending = false
	f.endBusy(fl)
	f.recordAck(now, fl.target, s)
}

// recordAck takes an acknowledgement of the target's data as a sign of life, if the packet
// carries no data.
//
// The end of an answer may be acknowledged only by the next request, seconds later. If that
// counted as a sign of life, the request would be forwarded to a target that has left
// meanwhile (see resetReason), and the caller would retransmit it after 200 ms. Only
// acknowledgements without data are prompt.
func (f *Forwarder) recordAck(now time.Duration, t *target, s *Segment) {
	if s.Len == 0 {
		f.markAlive(now, t)
	}
}

// confirmOpening handles the first packet after the opening, which shows that the target has
// answered.
func (f *Forwarder) confirmOpening(now time.Duration, fl *flow, s *Segment) {
	f.endBusy(fl)
	if t := f.cookies[s.Cookie]; t != nil {
		fl.target = t
		fl.followTarget()
	}
	if fl.triedTargets == [2]TargetID{} {
		f.recordOpeningTime(now - fl.requestedAt)
	}
	fl.open = true
	fl.maxEnd = s.Seq
	fl.maxAck = s.Ack
	fl.target.flows++
	f.markAlive(now, fl.target)
}

func (f *Forwarder) countRequest(now time.Duration, fl *flow) {
	f.takePlace(now, fl)
	fl.requestedAt = now
	fl.pending = true
	f.baselineOf(fl.key.Address).pendingRequests.push(fl, now)
	f.busyRequests.push(fl, now)
	if !fl.busy && !fl.ended {
		fl.busy = true
		fl.target.busy++
	}
}

func (f *Forwarder) closeFlow(fl *flow) {
	f.endBusy(fl)
	f.abandonPlace(fl)
	if !fl.ended {
		fl.ended = true
		fl.target.flows--
	}
}

func (f *Forwarder) markAlive(now time.Duration, t *target) {
	f.lastAlive, f.showedLife = now, true
	t.lastAlive, t.showedLife = now, true
	t.clearSuspicion()
	t.recordLife(now)
}

// expire removes flows that have been without packets for longer than their retention.
func (f *Forwarder) expire(now time.Duration) {
	for k, fl := range f.flows {
		if now-fl.lastSeen > f.retention(fl) {
			f.expirePlace(fl)
			f.forget(k)
		}
	}
}

// retention returns how long a flow is kept without packets.
func (f *Forwarder) retention(fl *flow) time.Duration {
	switch {
	case fl.ended:
		return endedRetention
	case !fl.open:
		return openingRetention
	case f.catalogue != nil && f.catalogue.IdleTimeout > 0:
		return min(f.catalogue.IdleTimeout, f.flowMaxAge)
	}
	return f.flowMaxAge
}
