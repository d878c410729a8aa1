package direct

import (
	"net/netip"
	"slices"
	"time"
)

// pendingAnswer tracks one request until its outcome is known.
type pendingAnswer struct {
	open     bool          // the outcome is not known yet
	began    time.Duration // first packet of the request
	queuedAt time.Duration // last insertion into the queue
	from     uint32        // flow.maxAck when the request began
	took     time.Duration // time to the first acknowledgement of the answer
	last     time.Duration // latest acknowledgement, or began
}

// baselineOf returns the baseline of a route and creates it if needed.
func (f *Forwarder) baselineOf(address netip.AddrPort) *baseline {
	b := f.outcomes.baselines[address]
	if b == nil {
		b = &baseline{address: address}
		f.outcomes.baselines[address] = b
		f.outcomes.baselineList = append(f.outcomes.baselineList, b)
	}
	return b
}

// beginRequest starts tracking a request when a caller sends new data. While no byte of the
// previous answer has been acknowledged, the data counts as part of the previous request.
func (f *Forwarder) beginRequest(now time.Duration, fl *flow) {
	a := &fl.answer
	if a.open && fl.maxAck == a.from {
		return
	}
	f.finishRequest(now, fl)
	*a = pendingAnswer{open: true, began: now, queuedAt: now, last: now, from: fl.maxAck}
	f.outcomes.pendingAnswers.push(fl, now)
}

// acknowledge records that the caller has acknowledged more of the answer.
func (a *pendingAnswer) acknowledge(now time.Duration) {
	a.last = now
	if a.took == 0 {
		a.took = now - a.began
	}
}

// finishRequest classifies and records the outcome of the request in flight, if any.
func (f *Forwarder) finishRequest(now time.Duration, fl *flow) {
	a := &fl.answer
	if !a.open {
		return
	}
	a.open = false
	b := f.baselineOf(fl.key.Address)
	size := fl.maxAck - a.from
	outcome := b.classify(a.took, size)
	f.recordAnswer(now, fl.target, outcome)
	f.recordSpeed(now, fl.target, b, outcome, a.took)
	if b.samples >= minSamples && fl.target.group.service.saturated(now) {
		return // queues are full; the normal response times are not learnt from them
	}
	if size > 1 {
		b.learn(a.took, size)
	}
	if outcome == AnswerGood || outcome == AnswerSlow {
		b.learnLongTerm(a.took)
	}
}

// failedSpeed is the relative response time that a request without a useful answer counts as,
// so that fast failures do not look like speed.
const failedSpeed = 5

// recordSpeed records the response time of a request for the choice among unequal targets.
func (f *Forwarder) recordSpeed(now time.Duration, t *target, b *baseline, a Answer, took time.Duration) {
	g := t.activeGate()
	switch {
	case g == nil:
	case a == AnswerNone || a == AnswerShort:
		g.speeds.Answered(now, uint64(t.ID), failedSpeed)
	case b.samples >= minSamples:
		g.speeds.Answered(now, uint64(t.ID), float64(took)/b.longTermTime)
	}
}

// finishOverdue finishes requests whose answer has not begun or not progressed within the
// route's answer timeout.
func (f *Forwarder) finishOverdue(now time.Duration) {
	for w, ok := f.outcomes.pendingAnswers.pop(now - minAnswerTimeout); ok; w, ok = f.outcomes.pendingAnswers.pop(now - minAnswerTimeout) {
		fl := w.flow
		a := &fl.answer
		if fl.removed || !a.open || a.queuedAt != w.since {
			continue
		}
		if now-a.last < f.outcomes.baselines[fl.key.Address].answerTimeout() {
			a.queuedAt = now
			f.outcomes.pendingAnswers.push(fl, now)
			continue
		}
		f.finishRequest(now, fl)
	}
}

// dropBaselines removes the baselines of routes that the catalogue does not have.
func (f *Forwarder) dropBaselines() {
	for a := range f.outcomes.baselines {
		if _, ok := f.catalogue.Routes[a]; !ok {
			b := f.outcomes.baselines[a]
			f.outcomes.baselineList = slices.DeleteFunc(f.outcomes.baselineList, func(o *baseline) bool { return o == b })
			delete(f.outcomes.baselines, a)
		}
	}
}
