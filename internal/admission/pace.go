package admission

import (
	"math"
	"time"
)

// pace spaces the requests of a pool whose share is below 1: one is in flight, and the next
// one follows after a pause, so that the mean number in flight is the share.
type pace struct {
	took time.Duration // last response time
	next time.Duration // end of the pause
}

func (p *pace) allows(now time.Duration) bool { return now >= p.next }

// pause begins a pause for a share between 0 and 1.
func (p *pace) pause(now time.Duration, share float64) {
	pause := min((1/share-1)*float64(p.took), float64(maxPause))
	p.next = now + time.Duration(math.Round(pause))
}
