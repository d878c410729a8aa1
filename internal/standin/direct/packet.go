package direct

import (
	"encoding/binary"
	"net/netip"
)

// header is the header of the platform's packets. Bytes 20 to 23 are sent as 0 and ignored.
// The stand-ins have their own codec, so that tests detect faults in the product's codec.
type header struct {
	seq, ack    uint32
	dst, src    netip.AddrPort
	length      int    // size of the body in bytes
	echo        uint32 // the flow's cookie
	syn, hasAck bool
	fin, rst    bool
}

const headerSize = 31 // bytes

// Bits of the header's flags byte.
const (
	bitSYN = 2
	bitFIN = 4
	bitACK = 8
	bitRST = 16
)

// parsePacket decodes a packet into header and body. It returns false if the packet's
// size does not match its header.
func parsePacket(b []byte) (header, []byte, bool) {
	if len(b) < headerSize {
		return header{}, nil, false
	}
	le := binary.LittleEndian
	h := header{
		seq: le.Uint32(b), ack: le.Uint32(b[4:]),
		dst:    netip.AddrPortFrom(ip(b[8:]), le.Uint16(b[18:])),
		src:    netip.AddrPortFrom(ip(b[14:]), le.Uint16(b[12:])),
		length: int(le.Uint16(b[24:])), echo: le.Uint32(b[26:]),
		syn: b[30]&bitSYN != 0, fin: b[30]&bitFIN != 0, hasAck: b[30]&bitACK != 0, rst: b[30]&bitRST != 0,
	}
	return h, b[headerSize:], len(b) == headerSize+h.length
}

func (h header) encode(body []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(body))
	le := binary.LittleEndian
	le.PutUint32(b, h.seq)
	le.PutUint32(b[4:], h.ack)
	putIP(b[8:], h.dst.Addr())
	le.PutUint16(b[12:], h.src.Port())
	putIP(b[14:], h.src.Addr())
	le.PutUint16(b[18:], h.dst.Port())
	le.PutUint16(b[24:], uint16(len(body)))
	le.PutUint32(b[26:], h.echo)
	for bit, on := range map[byte]bool{bitSYN: h.syn, bitFIN: h.fin, bitACK: h.hasAck, bitRST: h.rst} {
		if on {
			b[30] |= bit
		}
	}
	return append(b, body...)
}

func ip(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }

func putIP(b []byte, a netip.Addr) {
	v := a.As4()
	b[0], b[1], b[2], b[3] = v[3], v[2], v[1], v[0]
}
