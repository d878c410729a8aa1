// Package speed estimates how fast each target of a service answers, from the response times
// that one balancer sees.
package speed

import (
	"math"
	"time"
)

const (
	// answerWeight is how far one answer moves an estimate towards it. With a quarter, one
	// long request among normal ones would raise the estimate by 0.75 instead of 0.375.
	answerWeight = 1.0 / 8
	// maxRatio is what one answer counts as at most, so that one long request does not mark a
	// target as slow.
	maxRatio = 4
	// minRatio is what one answer counts as at least. A smaller estimate would draw all
	// openings to one target, whatever is in flight there.
	minRatio = 0.1
	// timeConstant is that of an estimate's return to the mean without answers.
	timeConstant = 2 * time.Second
	// retention is how long an estimate without answers is kept. By then 0.7 % of its
	// difference from the mean is left.
	retention = 5 * timeConstant
	// maxTargets bounds the memory if identifiers change faster than estimates expire. The
	// largest deployment has 6,400 targets.
	maxTargets = 1 << 14
)

// Tracker keeps the smoothed response time of each target relative to the usual one: 1 is
// usual, 2 is twice as long. The response time includes the target's queue. All times are
// readings of one monotonic clock. A Tracker is not safe for concurrent use.
type Tracker struct {
	targets map[uint64]*estimate
	sum     float64 // of the ratios in targets
	swept   time.Duration
}

// estimate is the state of one target as of its last answer.
type estimate struct {
	ratio   float64
	answers float64 // number of answers, decaying with timeConstant
	at      time.Duration
}

// New returns a Tracker without answers.
func New() *Tracker { return &Tracker{targets: map[uint64]*estimate{}} }

// Answered takes in the response time of one answer of a target relative to the route's usual
// one. Failed, short and missing answers are to be reported with a ratio of at least maxRatio, so
// that fast failures do not look like speed.
func (t *Tracker) Answered(now time.Duration, id uint64, ratio float64) {
	if math.IsNaN(ratio) {
		return
	}
	if now-t.swept >= retention {
		t.sweep(now)
	}
	e := t.targets[id]
	if e == nil {
		if len(t.targets) >= maxTargets {
			return
		}
		e = &estimate{ratio: t.mean(), at: now}
		t.targets[id] = e
		t.sum += e.ratio
	}
	weight := e.weight(now)
	current := e.current(t.mean(), weight)
	current += (min(max(ratio, minRatio), maxRatio) - current) * answerWeight
	t.sum += current - e.ratio
	*e = estimate{ratio: current, answers: e.answers*weight + 1, at: max(now, e.at)}
}

// Ratio returns the estimate of a target. Without answers it returns to the mean of all
// targets, which is 1 if there are none.
func (t *Tracker) Ratio(now time.Duration, id uint64) float64 {
	e := t.targets[id]
	if e == nil {
		return t.mean()
	}
	return e.current(t.mean(), e.weight(now))
}

// Known returns how many answers of a target the estimate rests on, decaying like the
// estimate, and the time since the last one. It returns 0, 0 for a target without answers.
func (t *Tracker) Known(now time.Duration, id uint64) (answers float64, age time.Duration) {
	e := t.targets[id]
	if e == nil {
		return 0, 0
	}
	return e.answers * e.weight(now), max(now-e.at, 0)
}

// Forget removes a target, as after a restart.
func (t *Tracker) Forget(id uint64) {
	if e := t.targets[id]; e != nil {
		t.sum -= e.ratio
		delete(t.targets, id)
	}
}

// mean returns the mean of the latest estimates.
func (t *Tracker) mean() float64 {
	if len(t.targets) == 0 {
		return 1
	}
	return t.sum / float64(len(t.targets))
}

// sweep removes estimates without recent answers and adds up the others again, which removes
// the rounding errors in sum.
func (t *Tracker) sweep(now time.Duration) {
	t.swept = now
	t.sum = 0
	for id, e := range t.targets {
		if now-e.at >= retention {
			delete(t.targets, id)
			continue
		}
		t.sum += e.ratio
	}
}

// weight returns the remaining weight of an estimate, from 1 at its last answer down to 0.
func (e *estimate) weight(now time.Duration) float64 {
	return math.Exp(-max(now-e.at, 0).Seconds() / timeConstant.Seconds())
}

// current returns the ratio of an estimate that has the given remaining weight.
func (e *estimate) current(mean, weight float64) float64 { return mean + (e.ratio-mean)*weight }
