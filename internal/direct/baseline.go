package direct

import (
	"net/netip"
	"time"
)

const (
	// initialAnswerTimeout is how long a request may stay unanswered while its route's
	// baseline is unknown.
	initialAnswerTimeout = time.Second
	// minAnswerTimeout is the minimum of that time once the baseline is known: a request of
	// 15 ms waits for as much in a full queue.
	minAnswerTimeout = 150 * time.Millisecond
	// answerTimeoutFactor times the baseline is that time: of 2,951 answers of healthy
	// targets none took longer than 4.5 times the median.
	answerTimeoutFactor = 6
	// slowFactor times the baseline makes an answer slow. One of 170 answers of healthy
	// targets took that long.
	slowFactor = 3
	// shortFactor is how many times shorter than the baseline a short answer is. Error
	// responses had 158 to 175 bytes; normal ones had 795 and 1,900, with 1 in 100 below 686.
	shortFactor = 4
	// minSamples is the number of answers after which a route's baseline counts as known.
	minSamples = 32
	// medianStep is the relative step of a median at each answer.
	medianStep = 1.0 / 30
	// minLongTermTime is the minimum of the long-term median. Packets that were read together
	// show response times of zero, and a latency ratio relative to zero would never recover.
	minLongTermTime = time.Millisecond
	// longTermStep is the step of the long-term median. A burst of ten seconds with 40
	// answers a second moves it by a third.
	longTermStep = 1.0 / 1200
	// tailQuantile is the quantile of response times that baseline.tailTime estimates.
	tailQuantile = 0.99
	// tailStep is the relative step of that estimate. It moves up by a quarter for an answer
	// that takes longer and down by 1/400 for any other, so that with 3 % of answers seven
	// times as long it reaches them within some 500 answers, half a minute at 15 a second.
	tailStep = 1.0 / 4
	// maxTailFactor times the median is the maximum of that estimate: answers that take seven
	// times as long, at a target of 0.6 of the normal speed, stay below it.
	maxTailFactor = 20
)

// baseline describes the normal answers on a route. Its medians move by a fixed relative step
// at each answer, so that a minority of bad answers does not shift them.
type baseline struct {
	address      netip.AddrPort // of the route
	medianTime   float64        // median in nanoseconds
	longTermTime float64        // long-term median in nanoseconds
	medianSize   float64        // median in bytes
	samples      int
	tailTime     float64 // moving estimate of tailQuantile in nanoseconds; see learnTail
	tailSamples  int
	// pendingRequests are requests without an acknowledged answer.
	pendingRequests waitQueue
}

// learn updates the medians of the response time and size from an answer.
func (b *baseline) learn(took time.Duration, size uint32) {
	if b.samples == 0 {
		b.medianTime, b.medianSize, b.longTermTime = float64(took), float64(size), float64(took)
	}
	b.samples++
	b.medianTime = moveMedian(b.medianTime, float64(took), medianStep)
	b.medianSize = moveMedian(b.medianSize, float64(size), medianStep)
}

// learnLongTerm updates the long-term median from a complete answer. Error responses are left
// out, as they come sooner.
func (b *baseline) learnLongTerm(took time.Duration) {
	if b.samples <= minSamples {
		b.longTermTime = max(b.medianTime, float64(minLongTermTime))
		return
	}
	b.longTermTime = max(moveMedian(b.longTermTime, float64(took), longTermStep), float64(minLongTermTime))
}

// learnTail updates the estimate of the tail of the response times from an answer. Unlike the
// medians, it takes answers that come after the route's answer timeout too: they are part of
// the tail.
//
// The longest of the first answers is the initial value, as the estimate would take hundreds of
// answers to rise from the median.
func (b *baseline) learnTail(took time.Duration) {
	x := float64(took)
	b.tailSamples++
	switch {
	case b.tailSamples <= minSamples:
		b.tailTime = max(b.tailTime, x)
	case x > b.tailTime:
		b.tailTime *= 1 + tailQuantile*tailStep
	default:
		b.tailTime *= 1 - (1-tailQuantile)*tailStep
	}
	if b.samples >= minSamples {
		b.tailTime = min(max(b.tailTime, b.medianTime), maxTailFactor*b.medianTime)
	}
}

// moveMedian moves a median by a relative step towards x.
func moveMedian(median, x, by float64) float64 {
	if x > median {
		return median * (1 + by)
	}
	return median * (1 - by)
}

// answerTimeout returns how long a request may stay without an answer, or its answer without
// progress.
func (b *baseline) answerTimeout() time.Duration {
	if b == nil || b.samples < minSamples {
		return initialAnswerTimeout
	}
	return max(minAnswerTimeout, time.Duration(answerTimeoutFactor*b.medianTime))
}

// classify returns the outcome of a request.
func (b *baseline) classify(took time.Duration, size uint32) Answer {
	switch {
	case size <= 1: // the end of the flow counts as one byte
		return AnswerNone
	case b.samples < minSamples:
		return AnswerGood
	case float64(size)*shortFactor < b.medianSize:
		return AnswerShort
	case float64(took) > slowFactor*b.medianTime:
		return AnswerSlow
	}
	return AnswerGood
}
