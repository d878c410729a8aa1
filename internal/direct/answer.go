package direct

import (
	"net/netip"
	"time"
)

const (
	// firstLost is how long a request may stay without an answer on a route whose
	// usual time is not known yet.
	firstLost = time.Second
	// leastLost is that time at least: a target's work of 15 ms waits for as much
	// in a full queue.
	leastLost = 150 * time.Millisecond
	// lostFactor times the usual is that time later: of 2,951 answers of healthy
	// targets none took longer than 4 times the median.
	lostFactor = 6
	// slowFactor times the usual makes an answer slow: 1 of 100 answers of
	// healthy targets took so long.
	slowFactor = 3
	// shortFactor is how much shorter than usual a short answer is: errors had
	// 158 to 175 bytes, usual answers 795 and 1,900, of which 1 in 100 had less
	// than 686.
	shortFactor = 4
	// learnt is the number of answers after which a route's usual ones are known.
	learnt = 32
	// learnStep moves a median by a thirtieth at each answer.
	learnStep = 1.0 / 30
)

// pendingAnswer follows one request to its answer.
type pendingAnswer struct {
	open   bool          // not judged yet
	began  time.Duration // the request's first packet
	looked time.Duration // when it was last put into the queue
	from   uint32        // acknowledged when it began
	took   time.Duration // until the first acknowledgement of the answer
}

// usual is what the answers on a route are like. The medians follow each answer
// by a step, so that a minority of bad ones does not move them.
type usual struct {
	took float64 // median in nanoseconds
	size float64 // median in bytes
	n    int
}

func (u *usual) learn(took time.Duration, size uint32) {
	if u.n == 0 {
		u.took, u.size = float64(took), float64(size)
	}
	u.n++
	u.took = step(u.took, float64(took))
	u.size = step(u.size, float64(size))
}

func step(median, x float64) float64 {
	if x > median {
		return median * (1 + learnStep)
	}
	return median * (1 - learnStep)
}

// lost returns how long a request may stay without an answer.
func (u *usual) lost() time.Duration {
	if u == nil || u.n < learnt {
		return firstLost
	}
	return max(leastLost, time.Duration(lostFactor*u.took))
}

// judge says how a request ended.
func (u *usual) judge(took time.Duration, size uint32) Answer {
	switch {
	case size <= 1: // the end of the flow counts as a byte
		return AnswerNone
	case u.n < learnt:
		return AnswerGood
	case float64(size)*shortFactor < u.size:
		return AnswerShort
	case float64(took) > slowFactor*u.took:
		return AnswerSlow
	}
	return AnswerGood
}

// usualOf returns what is usual on a route.
func (f *Forwarder) usualOf(address netip.AddrPort) *usual {
	u := f.usuals[address]
	if u == nil {
		u = &usual{}
		f.usuals[address] = u
	}
	return u
}

// asks notes new data of a caller: a new request, unless the one before has not
// been answered at all, as then it is more of the same.
func (f *Forwarder) asks(now time.Duration, fl *flow) {
	a := &fl.answer
	if a.open && fl.maxAck == a.from {
		return
	}
	f.judge(now, fl)
	*a = pendingAnswer{open: true, began: now, looked: now, from: fl.maxAck}
	f.answerQueue.push(fl, now)
}

// judge notes how the request under way on a flow has ended.
func (f *Forwarder) judge(now time.Duration, fl *flow) {
	a := &fl.answer
	if !a.open {
		return
	}
	a.open = false
	u := f.usualOf(fl.key.Address)
	size := fl.maxAck - a.from
	f.noted(now, fl.target, u.judge(a.took, size))
	if size > 1 {
		u.learn(a.took, size)
	}
}

// judgeOverdue judges requests that have had their time.
func (f *Forwarder) judgeOverdue(now time.Duration) {
	for w, ok := f.answerQueue.pop(now - leastLost); ok; w, ok = f.answerQueue.pop(now - leastLost) {
		fl := w.flow
		a := &fl.answer
		if fl.gone || !a.open || a.looked != w.since {
			continue
		}
		if now-a.began < f.usuals[fl.key.Address].lost() {
			a.looked = now
			f.answerQueue.push(fl, now)
			continue
		}
		f.judge(now, fl)
	}
}

// forgetUsuals drops what is known of routes that the catalogue no longer has.
func (f *Forwarder) forgetUsuals() {
	for a := range f.usuals {
		if _, ok := f.catalogue.Routes[a]; !ok {
			delete(f.usuals, a)
		}
	}
}
