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
	// negligible is the sum below which decay need not continue.
	negligible = 0.01
)

// slotRate estimates how fast slots become free, in two ways. The mean length
// of requests is, by Little's law, slots in use integrated over time divided
// by the requests that ended; this is right whether or not slots are free, but
// includes slots that hang at unreachable targets. The rate at which requests
// end is right while all slots are busy. The highest estimate of the last
// seconds is used.
//
// When a data centre is cut off, the requests at its targets hold their slots
// until it comes back or they are abandoned. For a few seconds hardly any
// slots become free, and an estimate from those seconds alone would refuse
// callers who can still be admitted.
type slotRate struct {
	slotSeconds float64 // slots in use times seconds, decaying
	ended       float64 // requests that ended, decaying
	recent      float64 // the same with a shorter time constant
	bestRate    float64 // highest estimate in slots per second, decaying
	updatedAt   time.Duration
}

// active reports whether the estimate can change; most services are idle.
func (p *slotRate) active(used int) bool { return used > 0 || p.ended >= negligible }

// advance accounts for used of the given number of slots in use since the last
// call.
func (p *slotRate) advance(now time.Duration, used, slots int) {
	dt := (now - p.updatedAt).Seconds()
	p.updatedAt = now
	if dt <= 0 {
		return
	}
	decay := math.Exp(-dt / lengthDecay.Seconds())
	p.slotSeconds = p.slotSeconds*decay + float64(used)*dt
	p.ended *= decay
	p.recent *= math.Exp(-dt / recentDecay.Seconds())
	p.bestRate *= decay
	if p.ended >= minEnded {
		byLength := float64(slots) * p.ended / p.slotSeconds
		p.bestRate = max(p.bestRate, byLength, p.recent/recentDecay.Seconds())
	}
}

func (p *slotRate) requestEnded() {
	p.ended++
	p.recent++
}

// rate returns how many slots become free per second when all are busy, or
// zero while too few requests have ended.
func (p *slotRate) rate() float64 {
	if p.ended < minEnded {
		return 0
	}
	return p.bestRate
}
