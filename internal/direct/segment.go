package direct

import (
	"cmp"
	"net/netip"
)

// Flags are the control bits of a Segment.
type Flags uint8

// The bits of Flags, in the numbering of this project.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Has reports whether all bits of want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Segment is the header of a caller's packet, without the payload.
type Segment struct {
	Caller  netip.AddrPort // caller's address and port
	Address netip.AddrPort // service address
	Seq     uint32
	Ack     uint32 // on a SYN, the number of earlier copies
	Len     int    // payload length in bytes
	Cookie  Cookie // as returned by the caller
	Flags   Flags
}

// Flow returns the key of the segment's flow.
func (s *Segment) Flow() FlowKey { return FlowKey{s.Caller, s.Address} }

// FlowKey identifies a flow by its two endpoints.
type FlowKey struct {
	Caller  netip.AddrPort
	Address netip.AddrPort
}

// compare orders flows by caller, then by service address.
func (k FlowKey) compare(o FlowKey) int {
	return cmp.Or(k.Caller.Compare(o.Caller), k.Address.Compare(o.Address))
}

// hash returns a uniformly distributed hash of the flow.
func (k FlowKey) hash() uint64 {
	a, b := k.Caller.Addr().As4(), k.Address.Addr().As4()
	x := uint64(a[0])<<56 | uint64(a[1])<<48 | uint64(a[2])<<40 | uint64(a[3])<<32 |
		uint64(b[0])<<24 | uint64(b[1])<<16 | uint64(b[2])<<8 | uint64(b[3])
	x ^= uint64(k.Caller.Port())<<17 ^ uint64(k.Address.Port())<<41
	return mix(x)
}

// mix maps numbers to uniformly distributed ones; it is the last step of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Cookie is the part of a target's identifier that every packet of a flow carries after the
// target's first answer. It lets any balancer forward the flow without state. Zero means
// none.
type Cookie uint32
