package router

import (
	"encoding/binary"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/rendezvous"
)

// View is a balancer's knowledge of its group and of the catalogue. The
// control loop publishes a new View for each change; a published View is not
// modified. Changes reach the balancers at different times, so that for a while
// their views may differ, also about the home of a flow.
//
// A group is the balancers of one or several data centres that share the flows
// of these data centres.
type View struct {
	Self    int // index in Nodes
	Nodes   []Node
	Partial bool // at least one data centre may be cut off: none of its balancers that have not left is reachable
	// Remotes are the serving balancers of other groups, by data centre.
	Remotes   map[string][]Node
	Addresses map[netip.AddrPort]Address
	Services  map[uint32]Service   // by number
	TargetIDs map[TargetKey]uint32 // includes removed targets that flows may still use
	Targets   []Target             // by identifier; 0 is unused

	byID   map[uint32]serviceAddress
	byAddr addressIndex
}

// Node is a reachable balancer of the group.
type Node struct {
	Name       string
	DataCenter string
	Data       netip.AddrPort // receives encapsulated packets
	Seed       uint64         // rendezvous seed
	Serving    bool           // may be a flow's home: not starting, suspected or leaving
}

// Address is a service address.
type Address struct {
	ID         uint32 // see flow.Key
	Service    uint32 // number
	Class      catalogue.Class
	Idempotent bool          // a request may be processed twice
	Deadline   time.Duration // how long an opening may wait for room; 0 means defaultDeadline
	Withdrawn  bool          // no longer in the catalogue: no new flows
}

// Unit returns the unit that a flow of the address uses at its target.
func (a *Address) Unit() balance.Unit {
	if a.Class.UsesSlots() {
		return balance.Slot
	}
	return balance.Connection
}

// Service holds the balancing parameters and targets of one service.
type Service struct {
	Name    string
	Slack   float64 // see balance.SlackFor
	Policy  balance.Policy
	Targets []balance.Target
	// SpillTo lists the data centres of other groups that have healthy targets,
	// while no target of this group can take flows.
	SpillTo []string
}

// canSpill reports whether new flows of a service are to go to another group.
func (v *View) canSpill(service uint32) bool { return len(v.Services[service].SpillTo) > 0 }

// TargetKey identifies a target. The same address with another service's
// number is another target, so that its packets never carry the wrong VNI.
type TargetKey struct {
	Service uint32
	Addr    netip.Addr
}

// Target describes the target of an identifier.
type Target struct {
	TargetKey
	DataCenter string
	// Answered is the time of the target's last answer to any flow, in steps
	// of answeredResolution. It is shared by all views and written by the
	// traffic goroutines.
	Answered *atomic.Int64
}

// addressIndex maps the address and port of a packet to the service address.
// The keys are cheap to build, as the lookup is made for every packet.
type addressIndex struct {
	v4 map[uint64]*Address
	v6 map[vip6]*Address
}

// vip6 is an IPv6 service address and port as a map key without pointers.
type vip6 struct {
	addr [16]byte
	port uint64
}

// vip4 returns an IPv4 service address and port as a map key.
func vip4(a netip.AddrPort) uint64 {
	b := a.Addr().As4()
	return uint64(binary.BigEndian.Uint32(b[:]))<<16 | uint64(a.Port())
}

func newAddressIndex(n int) addressIndex {
	return addressIndex{make(map[uint64]*Address, n), map[vip6]*Address{}}
}

func (x *addressIndex) add(ap netip.AddrPort, a *Address) {
	if ap.Addr().Is4() {
		x.v4[vip4(ap)] = a
		return
	}
	x.v6[vip6{ap.Addr().As16(), uint64(ap.Port())}] = a
}

// address returns the service address that a packet is sent to or comes from,
// or nil.
func (v *View) address(ap netip.AddrPort) *Address {
	if ap.Addr().Is4() {
		return v.byAddr.v4[vip4(ap)]
	}
	return v.byAddr.v6[vip6{ap.Addr().As16(), uint64(ap.Port())}]
}

// hashFlow returns the hash of a flow's endpoints, which is the same in every
// process.
func hashFlow(caller, address netip.AddrPort) uint64 {
	var b [36]byte
	c, a := caller.Addr().As16(), address.Addr().As16()
	copy(b[:16], c[:])
	copy(b[16:32], a[:])
	binary.BigEndian.PutUint16(b[32:], caller.Port())
	binary.BigEndian.PutUint16(b[34:], address.Port())
	return xxhash.Sum64(b[:])
}

// homeKey returns the rendezvous key for a flow's home. Flows that use slots
// share their service's home, which therefore knows the exact use of every
// slot; other flows are distributed over all balancers.
func (a *Address) homeKey(flowHash uint64) uint64 {
	if a.Class.UsesSlots() {
		// Score serves as a hash here, with a seed that all balancers share.
		return rendezvous.Score(uint64(a.Service), 0x5e71)
	}
	return flowHash
}

// home returns the index of the node that decides for key: the first serving
// one in rendezvous order. With excludeSelf this node is skipped while another
// one serves.
func (v *View) home(key uint64, excludeSelf bool) int {
	best, at := uint64(0), -1
	for i := range v.Nodes {
		n := &v.Nodes[i]
		if !n.Serving || excludeSelf && i == v.Self {
			continue
		}
		if s := rendezvous.Score(key, n.Seed); at < 0 || s > best {
			best, at = s, i
		}
	}
	if at < 0 {
		return v.Self
	}
	return at
}

func nodeSeeds(nodes []Node) []uint64 {
	seeds := make([]uint64, len(nodes))
	for i := range nodes {
		seeds[i] = nodes[i].Seed
	}
	return seeds
}

// nextAfter returns the index of the reachable node at position n, from 0, in
// the rendezvous order of key without home and this node, or -1. For a node
// that has just become home, position 0 is the former home, which may be
// leaving or still serving.
func (v *View) nextAfter(key uint64, home, n int) int {
	// The first n+3 nodes suffice, since at most two of them are skipped.
	for _, i := range rendezvous.Order(nil, key, nodeSeeds(v.Nodes), n+3) {
		if i == home || i == v.Self {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}
