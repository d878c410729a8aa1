package balance

import (
	"math"
	"time"
)

const (
	// lengthDecay is the time constant of the decaying sums for the length of
	// requests, and recentDecay the one for the rate at which requests end.
	lengthDecay = 10 * time.Second
	recentDecay = 3 * time.Second
	// minEnded is the (decayed) number of ended requests below which the rate
	// is unknown.
	minEnded = 10
	// negligible is the (decayed) number of ended requests below which the
	// estimate of an idle service is not updated.
	negligible = 0.01
)

// slotRate estimates how fast slots become free, in two ways. The mean length
// of requests is, by Little's law, slots in use integrated over time divided
// by the requests that ended; this is right whether or not slots are free, but
// includes slots that hang at unreachable targets. The rate at which requests
// end is right while all slots are busy. The highest estimate of the last
// seconds is used.
//
// When a data centre is cut off, the requests at its targets keep their slots in
// use until it is reachable again or their flows end. For a few seconds hardly
// any slots become free, and an estimate from those seconds alone would refuse
// callers who can still be admitted.
type slotRate struct {
	slotSeconds float64 // slots in use times seconds, decaying
	ended       float64 // requests that ended, decaying
	recent      float64 // the same with a shorter time constant
	bestRate    float64 // highest estimate in slots per second, decaying
	updatedAt   time.Duration
}

// active reports whether the estimate can change. Most services are idle and
// need no updates.
func (r *slotRate) active(used int) bool { return used > 0 || r.ended >= negligible }

// advance updates the estimate for the time since the last call, in which used
// of the given number of slots were in use.
func (r *slotRate) advance(now time.Duration, used, slots int) {
	dt := (now - r.updatedAt).Seconds()
	r.updatedAt = now
	if dt <= 0 {
		return
	}
	decay := math.Exp(-dt / lengthDecay.Seconds())
	r.slotSeconds = r.slotSeconds*decay + float64(used)*dt
	r.ended *= decay
	r.recent *= math.Exp(-dt / recentDecay.Seconds())
	r.bestRate *= decay
	if r.ended >= minEnded {
		byLength := float64(slots) * r.ended / r.slotSeconds
		r.bestRate = max(r.bestRate, byLength, r.recent/recentDecay.Seconds())
	}
}

func (r *slotRate) requestEnded() {
	r.ended++
	r.recent++
}

// rate returns how many slots become free per second when all are busy, or
// zero while too few requests have ended.
func (r *slotRate) rate() float64 {
	if r.ended < minEnded {
		return 0
	}
	return r.bestRate
}
