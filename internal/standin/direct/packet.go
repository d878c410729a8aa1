package direct

import (
	"encoding/binary"
	"net/netip"
)

// head is a packet's head; the stand-ins decode it on their own, so that a
// mistake in the product's decoder shows.
type head struct {
	seq, ack   uint32
	dst, src   netip.AddrPort
	length     int
	echo       uint32
	syn, ackOn bool
	fin, rst   bool
}

const headSize = 31

// Bits of a head's flags.
const (
	bitSYN = 2
	bitFIN = 4
	bitACK = 8
	bitRST = 16
)

func parse(b []byte) (head, []byte, bool) {
	if len(b) < headSize {
		return head{}, nil, false
	}
	le := binary.LittleEndian
	h := head{
		seq: le.Uint32(b), ack: le.Uint32(b[4:]),
		dst:    netip.AddrPortFrom(ip(b[8:]), le.Uint16(b[18:])),
		src:    netip.AddrPortFrom(ip(b[14:]), le.Uint16(b[12:])),
		length: int(le.Uint16(b[24:])), echo: le.Uint32(b[26:]),
		syn: b[30]&bitSYN != 0, fin: b[30]&bitFIN != 0, ackOn: b[30]&bitACK != 0, rst: b[30]&bitRST != 0,
	}
	return h, b[headSize:], len(b) == headSize+h.length
}

func (h head) encode(body []byte) []byte {
	b := make([]byte, headSize, headSize+len(body))
	le := binary.LittleEndian
	le.PutUint32(b, h.seq)
	le.PutUint32(b[4:], h.ack)
	putIP(b[8:], h.dst.Addr())
	le.PutUint16(b[12:], h.src.Port())
	putIP(b[14:], h.src.Addr())
	le.PutUint16(b[18:], h.dst.Port())
	le.PutUint16(b[24:], uint16(len(body)))
	le.PutUint32(b[26:], h.echo)
	for bit, on := range map[byte]bool{bitSYN: h.syn, bitFIN: h.fin, bitACK: h.ackOn, bitRST: h.rst} {
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
