package soak

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// lateOf openings one is followed by a late copy.
	lateOf = 4
	// latestCopy is how much later it arrives at most.
	latestCopy = 3 * time.Second
)

// lateCopies has further copies of some openings arrive late, through any balancer.
func (w *world) lateCopies(rng *rand.Rand) func() (time.Duration, netip.AddrPort, bool) {
	return func() (time.Duration, netip.AddrPort, bool) {
		if rng.IntN(lateOf) > 0 {
			return 0, netip.AddrPort{}, false
		}
		return time.Duration(rng.Int64N(int64(latestCopy))), w.balancer(rng), true
	}
}
