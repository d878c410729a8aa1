package peer

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
)

const (
	// SmallFleet is the largest number of balancers among which each sends
	// heartbeats to every other: each of 7 balancers handles 60 heartbeats a
	// second, each of 85 would handle 800. In larger fleets only the balancers
	// that read the store and the first in rank of each data centre send regular
	// heartbeats to their data centre, and only the former send them to the
	// relays of other data centres.
	SmallFleet = 16
	// relaysPerDataCenter is the number of balancers, the first in rank of their
	// data centre, that receive heartbeats from other data centres.
	relaysPerDataCenter = 2
)

// Fleet holds the registered balancers and the ranks and lists that one of them
// derives from their registrations. It does no I/O and is not safe for
// concurrent use.
type Fleet struct {
	self           Member
	members        map[string]Member // by key of the registration
	stale          bool              // members changed since the last update
	revision       int               // incremented by each update
	globalRank     map[string]int    // by VM; see globalRanks
	rank           int               // members of the own data centre that rank before self
	dataCenterRank int               // data centres that rank before the own one
	near           []netip.AddrPort  // other members of the own data centre
	far            []netip.AddrPort  // members of all other data centres
	relays         []netip.AddrPort  // first members in rank of each other data centre
	dataCenters    map[string]int    // members by data centre
}

// NewFleet returns a fleet that contains only self.
func NewFleet(self Member) *Fleet {
	return &Fleet{self: self, members: map[string]Member{}}
}

// Put adds or replaces the registration under key.
func (f *Fleet) Put(key string, m Member) {
	f.members[key] = m
	f.stale = true
}

// Remove deletes the registration under key.
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

// Small reports whether every balancer exchanges heartbeats with every other.
func (f *Fleet) Small() bool { return len(f.members) <= SmallFleet }

// Rank returns how many balancers of the own data centre rank before this one.
func (f *Fleet) Rank() int {
	f.update()
	return f.rank
}

// DataCenterRank returns how many data centres rank before the own one, in the order
// of their names.
func (f *Fleet) DataCenterRank() int {
	f.update()
	return f.dataCenterRank
}

// Before reports whether the balancer named vm ranks before this one in the whole
// fleet. The first balancer of every data centre ranks before the second of any.
func (f *Fleet) Before(vm string) bool {
	f.update()
	n, ok := f.globalRank[vm]
	return ok && n < f.globalRank[f.self.VM]
}

// Near returns the control addresses of the other balancers of the own data centre.
func (f *Fleet) Near() []netip.AddrPort {
	f.update()
	return f.near
}

// Far returns the control addresses of the balancers of all other data centres.
func (f *Fleet) Far() []netip.AddrPort {
	f.update()
	return f.far
}

// DataCenters returns the number of balancers in each data centre, including this one. The
// caller must not change the map.
func (f *Fleet) DataCenters() map[string]int {
	f.update()
	return f.dataCenters
}

// Relays returns the control addresses of the relays of the other data centres.
func (f *Fleet) Relays() []netip.AddrPort {
	f.update()
	return f.relays
}

// Revision returns a number that grows after registrations have changed, as the lists
// of balancers may then differ.
func (f *Fleet) Revision() int {
	f.update()
	return f.revision
}

// BootstrapSources returns the bootstrap sources of the own data centre: its first
// balancers in rank.
func (f *Fleet) BootstrapSources() BootstrapSources {
	f.update()
	all := slices.Insert(slices.Clone(f.near), f.rank, f.self.Control)
	return BootstrapSources{Balancers: all[:min(len(all), MaxBootstrapSources)], Size: len(all)}
}

// update derives all lists from the registrations if these have changed. It runs
// on the first read rather than on each Put, as a listing of the store adds
// hundreds of registrations in a row.
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
	slices.SortFunc(all, compareMembers)
	ranks := localRanks(all)
	f.near, f.far, f.relays = nil, nil, nil
	f.dataCenters = map[string]int{}
	ranksBefore := map[string]bool{} // by other data centre: whether it ranks before the own one
	for _, m := range all {
		f.dataCenters[m.DataCenter]++
		switch {
		case m.VM == f.self.VM:
			f.rank = ranks[m.VM]
		case m.DataCenter == f.self.DataCenter:
			f.near = append(f.near, m.Control)
		default:
			f.far = append(f.far, m.Control)
			ranksBefore[m.DataCenter] = ranksBefore[m.DataCenter] || m.DataCenter < f.self.DataCenter
			if ranks[m.VM] < relaysPerDataCenter {
				f.relays = append(f.relays, m.Control)
			}
		}
	}
	f.dataCenterRank = 0
	for _, before := range ranksBefore {
		if before {
			f.dataCenterRank++
		}
	}
	f.globalRank = globalRanks(all, ranks)
}

// localRanks returns the rank of each member in its data centre, by VM.
func localRanks(sorted []Member) map[string]int {
	out := make(map[string]int, len(sorted))
	next := map[string]int{}
	for _, m := range sorted {
		out[m.VM] = next[m.DataCenter]
		next[m.DataCenter]++
	}
	return out
}

// globalRanks returns the rank of each member in the whole fleet, by VM: first by the
// rank in its data centre, then by the name of the data centre.
func globalRanks(all []Member, ranks map[string]int) map[string]int {
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

func compareMembers(a, b Member) int {
	switch {
	case a.before(b):
		return -1
	case b.before(a):
		return 1
	}
	return cmp.Compare(a.DataCenter, b.DataCenter)
}
