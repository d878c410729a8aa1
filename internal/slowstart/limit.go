package slowstart

import "time"

// maxPause is the longest pause between two openings. A target has warmed up long before it
// ends.
const maxPause = time.Hour

// Limit spaces one balancer's openings at one target. Unused openings are not accumulated, so
// that all owners together open at most their rate plus one each in any second. The zero
// value allows none.
type Limit struct {
	rate float64       // openings a second
	next time.Duration // earliest time of the next opening
}

// Allows reports whether an opening is allowed now.
func (l *Limit) Allows(now time.Duration) bool { return l.rate > 0 && now >= l.next }

// Owned reports whether this balancer opens flows at the target.
func (l *Limit) Owned() bool { return l.rate > 0 }

// Take records an opening. An opening without a rate is one that no limit applied to, as when
// no other target was left, and delays no later one.
func (l *Limit) Take(now time.Duration) {
	if l.rate == 0 {
		return
	}
	l.next = now + time.Duration(min(float64(time.Second)/l.rate, float64(maxPause)))
}

// After returns the limit with the pause in progress of an earlier limit for the same target,
// whose rate has changed.
func (l Limit) After(before Limit) Limit {
	l.next = before.next
	return l
}
