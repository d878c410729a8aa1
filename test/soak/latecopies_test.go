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

// lateCopies returns a function for Caller.LateCopy that decides at random which openings
// are followed by a copy, after which delay and through which balancer.
func (w *world) lateCopies(rng *rand.Rand) func() (time.Duration, netip.AddrPort, bool) {
	return func() (time.Duration, netip.AddrPort, bool) {
		if rng.IntN(lateEvery) > 0 {
			return 0, netip.AddrPort{}, false
		}
		return time.Duration(rng.Int64N(int64(maxCopyDelay))), w.chooseBalancer(rng).data(), true
	}
}
