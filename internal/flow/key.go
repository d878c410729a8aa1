// Package flow implements the bounded table in which a balancer records the
// target of each flow.
package flow

import (
	"hash/maphash"
	"net/netip"
)

// Key identifies a flow at one balancer: the caller's address and port, and
// the service address it called. Address is an identifier that this process
// assigned to a pair of service number and address; identifiers are not
// reused.
type Key struct {
	Caller  [16]byte
	Address uint32
	Port    uint32 // caller's port; 32 bits wide to leave the struct without padding
}

// NewKey returns the key of the flow from caller to the service address with
// the given identifier.
func NewKey(caller netip.AddrPort, address uint32) Key {
	return Key{Caller: caller.Addr().As16(), Address: address, Port: uint32(caller.Port())}
}

// CallerAddr returns the caller's address and port.
func (k Key) CallerAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Caller).Unmap(), uint16(k.Port))
}

var seed = maphash.MakeSeed()

// Hash returns the key's hash. The seed is random for each process, so that
// callers cannot choose ports whose entries collide.
func (k Key) Hash() uint64 { return maphash.Comparable(seed, k) }
