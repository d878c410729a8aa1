package peer

import (
	"cmp"
	"maps"
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
	stale    bool              // the lists below lack a change
	revision int               // counts changes of the lists
	order    map[string]int    // by name; see update
	rank     int               // members of the own data centre that come first
	centre   int               // data centres that come first
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
	f.stale = true
}

// Remove takes the end of a registration.
func (f *Fleet) Remove(key string) {
	delete(f.members, key)
	f.stale = true
}

// Registered returns the registration under key.
func (f *Fleet) Registered(key string) (Member, bool) {
	m, ok := f.members[key]
	return m, ok
}

// Members returns all registered balancers.
func (f *Fleet) Members() []Member { return slices.Collect(maps.Values(f.members)) }

// Small reports whether all balancers exchange heartbeats.
func (f *Fleet) Small() bool { return len(f.members) <= Small }

// Rank returns how many balancers of the own data centre come before this one.
func (f *Fleet) Rank() int {
	f.update()
	return f.rank
}

// DataCenterRank returns how many data centres come before the own one.
func (f *Fleet) DataCenterRank() int {
	f.update()
	return f.centre
}

// Before reports whether a balancer, by its name, comes before this one among
// all: the first of each data centre come first, then the second ones.
func (f *Fleet) Before(vm string) bool {
	f.update()
	n, ok := f.order[vm]
	return ok && n < f.order[f.self.VM]
}

// Near returns the control addresses of the others of the own data centre.
func (f *Fleet) Near() []netip.AddrPort {
	f.update()
	return f.near
}

// Far returns those of all other data centres.
func (f *Fleet) Far() []netip.AddrPort {
	f.update()
	return f.far
}

// Relays returns those that speak for the other data centres.
func (f *Fleet) Relays() []netip.AddrPort {
	f.update()
	return f.speakers
}

// Revision changes whenever the lists of balancers do.
func (f *Fleet) Revision() int {
	f.update()
	return f.revision
}

// BootstrapSources returns the sources of the own data centre: the first ones in rank.
func (f *Fleet) BootstrapSources() BootstrapSources {
	f.update()
	all := slices.Insert(slices.Clone(f.near), f.rank, f.self.Control)
	return BootstrapSources{Balancers: all[:min(len(all), MaxSources)], Size: len(all)}
}

// update derives all lists from the registrations if these have changed. A
// listing brings hundreds of them, whose order is only needed in the end.
func (f *Fleet) update() {
	if !f.stale {
		return
	}
	f.stale = false
	f.revision++
	all := []Member{f.self}
	for _, m := range f.members {
		if m.VM != f.self.VM {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, compare)
	ranks := rank(all)
	f.near, f.far, f.speakers = nil, nil, nil
	centres := map[string]bool{}
	for _, m := range all {
		switch {
		case m.VM == f.self.VM:
			f.rank = ranks[m.VM]
		case m.DataCenter == f.self.DataCenter:
			f.near = append(f.near, m.Control)
		default:
			f.far = append(f.far, m.Control)
			centres[m.DataCenter] = centres[m.DataCenter] || m.DataCenter < f.self.DataCenter
			if ranks[m.VM] < speakers {
				f.speakers = append(f.speakers, m.Control)
			}
		}
	}
	f.centre = 0
	for _, first := range centres {
		if first {
			f.centre++
		}
	}
	f.order = order(all, ranks)
}

// rank returns each member's place in its data centre.
func rank(sorted []Member) map[string]int {
	out := make(map[string]int, len(sorted))
	next := map[string]int{}
	for _, m := range sorted {
		out[m.VM] = next[m.DataCenter]
		next[m.DataCenter]++
	}
	return out
}

// order returns each member's place among all.
func order(all []Member, ranks map[string]int) map[string]int {
	byRank := slices.Clone(all)
	slices.SortFunc(byRank, func(a, b Member) int {
		return cmp.Or(cmp.Compare(ranks[a.VM], ranks[b.VM]), cmp.Compare(a.DataCenter, b.DataCenter))
	})
	out := make(map[string]int, len(all))
	for i, m := range byRank {
		out[m.VM] = i
	}
	return out
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
