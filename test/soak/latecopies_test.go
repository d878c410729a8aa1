package soak

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// lateEvery is the mean number of openings for each one that is followed by a late copy.
	lateEvery = 4
	// maxCopyDelay bounds the delay of a late copy.
	maxCopyDelay = 3 * time.Second
)

// lateCopies returns a function for Caller.Late that delays copies of some openings at
// random and sends them through any balancer.
func (w *world) lateCopies(rng *rand.Rand) func() (time.Duration, netip.AddrPort, bool) {
	return func() (time.Duration, netip.AddrPort, bool) {
		if rng.IntN(lateEvery) > 0 {
			return 0, netip.AddrPort{}, false
		}
		return time.Duration(rng.Int64N(int64(maxCopyDelay))), w.chooseBalancer(rng), true
	}
}
