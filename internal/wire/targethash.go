package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// TargetHash returns the identifier of a target in heartbeats. A collision would only mix
// the load reports of two targets.
func TargetHash(service uint32, addr netip.Addr) uint32 {
	var b [20]byte
	a := addr.As16()
	copy(b[:], a[:])
	binary.BigEndian.PutUint32(b[16:], service)
	return uint32(xxhash.Sum64(b[:]))
}
