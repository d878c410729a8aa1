package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// TargetHash returns the identifier of a target in control messages. A collision would only
// mix the connection counts, loads and findings of two targets, which affect new flows but
// no established one.
func TargetHash(service uint32, addr netip.Addr) uint32 {
	var b [20]byte
	a := addr.As16()
	copy(b[:], a[:])
	binary.BigEndian.PutUint32(b[16:], service)
	return uint32(xxhash.Sum64(b[:]))
}
