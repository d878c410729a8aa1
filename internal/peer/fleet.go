package peer

import (
	"cmp"
	"net/netip"
	"slices"
)

const (
	// Small is the number of balancers up to which all of them exchange
	// heartbeats. In larger fleets a data centre's readers speak for it: 7
	// balancers cost one another 60 heartbeats a second each, 85 would cost 800.
	Small = 16
	// speakers are the first balancers in rank of a data centre, which hear
	// from the others.
	speakers = 2
)

// Fleet is the registered balancers as one of them sees them. It is pure, and
// not safe for concurrent use.
type Fleet struct {
	self     Member
	members  map[string]Member // by the key of their registration
	rank     int               // members of the own data centre that come first
	near     []netip.AddrPort  // the others of the own data centre
	far      []netip.AddrPort  // all others
	speakers []netip.AddrPort  // the first of each other data centre
}

// NewFleet returns a fleet of self alone.
func NewFleet(self Member) *Fleet {
	return &Fleet{self: self, members: map[string]Member{}}
}

// Put takes a registration.
func (f *Fleet) Put(key string, m Member) {
	f.members[key] = m
	f.update()
}

// Remove takes the end of a registration.
func (f *Fleet) Remove(key string) {
	delete(f.members, key)
	f.update()
}

// Small reports whether all balancers exchange heartbeats.
func (f *Fleet) Small() bool { return len(f.members) <= Small }

// Size returns the number of registered balancers.
func (f *Fleet) Size() int { return len(f.members) }

// Rank returns how many balancers of the own data centre come before this one.
func (f *Fleet) Rank() int { return f.rank }

// Before reports whether a balancer of the own data centre, by its name, comes
// before this one.
func (f *Fleet) Before(vm string) bool {
	for _, m := range f.members {
		if m.VM == vm {
			return m.DataCenter == f.self.DataCenter && m.before(f.self)
		}
	}
	return false
}

// Near returns the control addresses of the others of the own data centre.
func (f *Fleet) Near() []netip.AddrPort { return f.near }

// Far returns those of all other data centres.
func (f *Fleet) Far() []netip.AddrPort { return f.far }

// Speakers returns those that speak for the other data centres.
func (f *Fleet) Speakers() []netip.AddrPort { return f.speakers }

func (f *Fleet) update() {
	all := make([]Member, 0, len(f.members))
	for _, m := range f.members {
		if m.VM != f.self.VM {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, compare)
	f.rank, f.near, f.far, f.speakers = 0, nil, nil, nil
	place := map[string]int{}
	for _, m := range all {
		if m.DataCenter == f.self.DataCenter {
			f.near = append(f.near, m.Control)
			if m.before(f.self) {
				f.rank++
			}
			continue
		}
		f.far = append(f.far, m.Control)
		if place[m.DataCenter] < speakers {
			f.speakers = append(f.speakers, m.Control)
		}
		place[m.DataCenter]++
	}
}

func compare(a, b Member) int {
	switch {
	case a.before(b):
		return -1
	case b.before(a):
		return 1
	}
	return cmp.Compare(a.DataCenter, b.DataCenter)
}
