// Package slowstart bounds how many flows a fleet of balancers opens at a target that has
// just started, without a coordinator. Each such target is owned by a few balancers of its
// data centre, which share its rate; the others open none there until it has warmed up.
package slowstart

import "rosedale.dev/rosedale/internal/rendezvous"

const (
	// minOwners is the minimum number of balancers that share a target's rate. With one, the
	// target would stay idle if that balancer failed.
	minOwners = 3
	// ownersPerRate is the number of additional owners for each opening a second that a
	// target can take, because the callers of a few balancers would not use up a large rate.
	// Each owner may add one simultaneous opening, which is negligible next to a large rate.
	//
	// At 100 openings a second, 60 balancers use 0.79 of the rate with it and 0.63 without
	// (TestColdTargetsAreNotOverrun).
	ownersPerRate = 0.2
	// maxOwners is the maximum number of additional owners, larger than any data centre.
	maxOwners = 10000
	// usedShare is the share of a target's rate that is distributed. Balancers that have just
	// joined are owners in their own view before they are in that of the others: if they are a
	// fifth, all together open at 1.2 times the rate plus four. The requirement is 1.5 times
	// the rate plus five.
	usedShare = 0.8
)

// Owners determines which targets this balancer owns. The zero value owns none, as it does not
// know the other balancers.
type Owners struct {
	self  uint64
	seeds []uint64 // of all balancers of the data centre, including this one
}

// NewOwners returns the Owners of the balancer self. others are the names of the other
// balancers of its data centre.
func NewOwners(self string, others []string) Owners {
	o := Owners{self: rendezvous.Seed(self)}
	o.seeds = append(o.seeds, o.self)
	for _, name := range others {
		if s := rendezvous.Seed(name); s != o.self {
			o.seeds = append(o.seeds, s)
		}
	}
	return o
}

// ownerCount returns how many balancers own a target that can take rate openings a second.
func ownerCount(rate float64) int { return minOwners + int(min(ownersPerRate*rate, maxOwners)) }

// Limit returns this balancer's limit for a target that can take rate openings a second.
func (o Owners) Limit(target uint64, rate float64) Limit {
	owners := rendezvous.Order(nil, target, o.seeds, ownerCount(rate))
	for _, i := range owners {
		if o.seeds[i] == o.self {
			return Limit{rate: usedShare * rate / float64(len(owners))}
		}
	}
	return Limit{}
}
