package direct

import (
	"math"
	"time"
)

const (
	// ratioWeight smooths the latency ratio over about eight answers.
	ratioWeight = 1.0 / 8
	// normalRatioWeight smooths the normal ratio of all data centres over about a thousand
	// answers, which one balancer sees in half a minute.
	normalRatioWeight = 1.0 / 1024
	// ratioTimeConstant is the time constant with which a ratio returns to normal without new
	// answers: half the length of a burst.
	ratioTimeConstant = time.Second
	// unansweredRatio is the ratio assumed for an unanswered opening, for example behind a
	// network cut.
	unansweredRatio = 5
)

// latencyRatio is the smoothed ratio of response times to the baselines of their routes: 1 is
// normal, 2 is twice as long.
type latencyRatio struct {
	ratio   float64
	samples float64 // number of answers, decaying like the ratio
	at      time.Duration
}

// current returns the ratio at a time. Without new answers it returns to normal.
func (r *latencyRatio) current(now time.Duration, normal float64) float64 {
	return normal + (r.ratio-normal)*r.weightLeft(now)
}

// weightLeft returns the remaining weight of the latest ratio, from 1 down to 0.
func (r *latencyRatio) weightLeft(now time.Duration) float64 {
	return math.Exp(-float64(max(now-r.at, 0)) / float64(ratioTimeConstant))
}

func (r *latencyRatio) add(now time.Duration, ratio float64) {
	r.samples *= r.weightLeft(now)
	r.samples++
	r.ratio += max(ratioWeight, 1/r.samples) * (ratio - r.ratio)
	r.at = now
}

// recordLatency records the response time of a request whose answer has begun. The normal ratio
// is not learnt while the service is saturated, as the targets' queues are full then.
func (f *Forwarder) recordLatency(now time.Duration, fl *flow) {
	b := f.baselineOf(fl.key.Address)
	if fl.answer.took > 0 || b.samples < minSamples {
		return
	}
	ratio := float64(now-fl.answer.began) / b.longTermTime
	fl.target.group.latency.add(now, ratio)
	s := fl.target.group.service
	if g := fl.target.activeGate(); g != nil {
		g.Answered(now, fl.target.group.pool, ratio/s.normalRatio)
		if g.Saturated(now) {
			return
		}
	}
	s.normalRatio += normalRatioWeight * (ratio - s.normalRatio)
}
