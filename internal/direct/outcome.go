package direct

import (
	"math"
	"time"
)

// Outcome counts recent requests by how they ended. Both numbers fade with
// outcomeMemory.
type Outcome struct {
	Good float64 // answered like others on their route
	Bad  float64 // not answered, or short or slowly
}

const (
	// outcomeMemory is the time constant with which requests are forgotten. A
	// target that is left alone gets requests again after about that time.
	outcomeMemory = 4 * time.Second
	// outcomePrior is the number of good requests that every target starts
	// with, so that one bad one proves little.
	outcomePrior = 2
)

// Plus returns the sum of two counts.
func (o Outcome) Plus(x Outcome) Outcome { return Outcome{o.Good + x.Good, o.Bad + x.Bad} }

// Decayed returns the counts after a time.
func (o Outcome) Decayed(after time.Duration) Outcome {
	w := math.Exp(-float64(after) / float64(outcomeMemory))
	return Outcome{o.Good * w, o.Bad * w}
}

// record is an Outcome at a time.
type record struct {
	Outcome
	at time.Duration
}

// fade lets the counts fade until now.
func (r *record) fade(now time.Duration) {
	if now > r.at {
		r.Outcome = r.Decayed(now - r.at)
		r.at = now
	}
}

func (r *record) add(now time.Duration, a Answer) {
	r.fade(now)
	bad := a.weight()
	r.Bad += bad
	r.Good += 1 - bad
}

// share returns the share of bad requests among so many at least.
func (o Outcome) share(least float64) float64 {
	return o.Bad / (max(o.Good+o.Bad, least) + outcomePrior)
}
