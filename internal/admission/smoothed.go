package admission

import (
	"math"
	"time"
)

const (
	// smoothedAnswers is the number of answers that are smoothed over.
	smoothedAnswers = 16
	// maxRatio is what one answer counts at most, so that a long request does not look like
	// a queue.
	maxRatio = 4
	// forgetAfter is the time constant of the return to 1 without answers.
	forgetAfter = time.Second
	// maxGap is the gap between answers that does not count as being without answers. Without
	// it, 10 answers a second of 4 times normal would be smoothed to 2.2 instead of 4.
	maxGap = 200 * time.Millisecond
)

// smoothed is a smoothed response time relative to normal.
type smoothed struct {
	value float64
	last  time.Duration // time of the last answer
}

func newSmoothed() smoothed { return smoothed{value: 1} }

// at returns the value at a time: it approaches 1 without answers.
func (s *smoothed) at(now time.Duration) float64 {
	silent := now - s.last - maxGap
	if silent <= 0 || s.value == 1 {
		return s.value
	}
	return 1 + (s.value-1)*math.Exp(-silent.Seconds()/forgetAfter.Seconds())
}

// add includes one answer. Nonsensical ratios are ignored.
func (s *smoothed) add(now time.Duration, ratio float64) {
	if !(ratio >= 0) { // also NaN
		return
	}
	v := s.at(now)
	s.value = v + (min(ratio, maxRatio)-v)/smoothedAnswers
	s.last = now
}
