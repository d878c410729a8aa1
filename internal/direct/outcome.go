package direct

import (
	"math"
	"time"
)

// Outcome holds the numbers of recent good and bad requests. A slow answer counts half in each.
// Both counts decay with outcomeTimeConstant.
type Outcome struct {
	Good float64 // answered in line with the route's baseline
	Bad  float64 // not answered, or a short or slow answer
}

const (
	// outcomeTimeConstant is the time constant with which requests are forgotten. A target
	// avoided for its failures gets requests again after about that time.
	outcomeTimeConstant = 4 * time.Second
	// outcomePrior is the number of good requests added to the total when the share of bad ones
	// is computed, so that a single bad one has little effect.
	outcomePrior = 2
)

// Plus returns the sum of two outcomes.
func (o Outcome) Plus(x Outcome) Outcome { return Outcome{o.Good + x.Good, o.Bad + x.Bad} }

// Decayed returns the counts as they are after a time.
func (o Outcome) Decayed(after time.Duration) Outcome {
	w := math.Exp(-float64(after) / float64(outcomeTimeConstant))
	return Outcome{o.Good * w, o.Bad * w}
}

// record is an Outcome as of a time.
type record struct {
	Outcome
	at time.Duration
}

// decay brings the counts up to now.
func (r *record) decay(now time.Duration) {
	if now > r.at {
		r.Outcome = r.Decayed(now - r.at)
		r.at = now
	}
}

func (r *record) add(now time.Duration, a Answer) {
	r.decay(now)
	bad := a.weight()
	r.Bad += bad
	r.Good += 1 - bad
}

// share returns the share of bad requests, assuming at least the given number of requests and
// outcomePrior more.
func (o Outcome) share(minTotal float64) float64 {
	return o.Bad / (max(o.Good+o.Bad, minTotal) + outcomePrior)
}
