package direct

import "time"

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
)

// baseline describes the normal answers on a route. Its medians move by a fixed relative step
// at each answer, so that a minority of bad answers does not shift them.
type baseline struct {
	medianTime   float64 // median in nanoseconds
	longTermTime float64 // long-term median in nanoseconds
	medianSize   float64 // median in bytes
	samples      int
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
