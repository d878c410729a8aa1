package admission

import (
	"math"
	"time"
)

const (
	// Admissions are counted in rateBuckets intervals of bucketTime each, half a second in all.
	rateBuckets = 10
	bucketTime  = 50 * time.Millisecond
	// minRateTime is how long openings must have been waiting before a rate is known. Earlier
	// admissions show the demand, not what can be served.
	minRateTime = 100 * time.Millisecond
	// bestDecay is the time constant with which the highest rate is forgotten.
	bestDecay = 2 * time.Second
	// minRateCount is the number of admissions from which a rate is known.
	minRateCount = 4
)

// rate counts the admissions of the last half second by priority, since openings wait.
type rate struct {
	since   time.Duration
	buckets [rateBuckets]bucket
	best    float64 // highest rate of the last seconds, in admissions a second, decaying
	bestAt  time.Duration
}

// bucket counts the admissions in one interval of bucketTime.
type bucket struct {
	number int64 // of the interval since time 0
	counts [Priorities]int
}

// restart forgets all admissions: openings have just begun to wait.
func (r *rate) restart(now time.Duration) {
	*r = rate{since: now, best: r.best, bestAt: r.bestAt}
}

// atLeastBest raises a rate to the highest of the last seconds.
//
// While no answers come for a moment, as when a target falls silent or this process is paused,
// hardly any places become free. The rate of that moment alone would reject all waiting openings
// when the first place becomes free.
func (r *rate) atLeastBest(now time.Duration, perSecond float64) float64 {
	r.best *= math.Exp(-float64(now-r.bestAt) / float64(bestDecay))
	r.bestAt = now
	r.best = max(r.best, perSecond)
	return r.best
}

// add counts an admission.
func (r *rate) add(now time.Duration, priority int) {
	n := int64(now / bucketTime)
	b := &r.buckets[uint64(n)%rateBuckets]
	if b.number != n {
		*b = bucket{number: n}
	}
	b.counts[level(priority)]++
}

// speeds returns the rates of admission that each priority can expect, in admissions a second.
// It returns false as long as they are not known.
func (r *rate) speeds(now time.Duration) (speeds, bool) {
	oldest := int64(now/bucketTime) - rateBuckets + 1
	window := now - max(r.since, time.Duration(oldest)*bucketTime)
	var s speeds
	total := 0.0
	for i := range r.buckets {
		if r.buckets[i].number < oldest {
			continue
		}
		for p, n := range r.buckets[i].counts {
			s[p] += float64(n)
			total += float64(n)
		}
	}
	if window < minRateTime || total < minRateCount {
		return speeds{}, false
	}
	total = r.atLeastBest(now, total/window.Seconds()) * window.Seconds()
	s.distribute(total)
	for p := range s {
		s[p] /= window.Seconds()
	}
	return s, true
}
