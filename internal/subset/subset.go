// Package subset chooses which targets of a service a balancer uses, so that each target is
// used by equally many balancers and the balancers need not exchange anything.
package subset

import (
	"cmp"
	"slices"
)

// Arc returns the targets that the balancer with a rank among so many balancers uses. The
// targets, sorted by a hash of their identifier, form a ring; the balancer uses size
// consecutive ones from position rank*n/balancers. Each target is in size*balancers/n arcs,
// rounded down or up, and one more or less.
//
// A target that comes or goes replaces at most two targets of an arc. A balancer that comes or
// goes moves an arc by at most n/balancers+1 positions.
//
// A rank outside 0 to balancers-1 is taken modulo balancers, as ranks and the number of
// balancers may come from different views. The input is not changed, and the result is a new
// slice in the order of the ring.
func Arc(targets []uint64, rank, balancers int, size int) []uint64 {
	n := len(targets)
	size = min(size, n)
	if size <= 0 {
		return nil
	}
	ring := make([]point, n)
	for i, id := range targets {
		ring[i] = point{hash(id), id}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	balancers = max(balancers, 1)
	rank %= balancers
	if rank < 0 {
		rank += balancers
	}
	start := rank * n / balancers
	arc := make([]uint64, size)
	for i := range arc {
		arc[i] = ring[(start+i)%n].id
	}
	return arc
}

// point is a target's place on the ring.
type point struct{ hash, id uint64 }

// hash returns the last steps of splitmix64. It maps different identifiers to different
// hashes, so the order of the ring needs no second criterion. Identifiers are not used
// directly because those of targets that started together are close to one another.
func hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
