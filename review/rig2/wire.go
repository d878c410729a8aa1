// Package rig2 has the stand-ins of the second review's scripts: the platform's store, endpoints,
// requesters, routers and the operator, as the users' pages describe them, and what starts the
// balancers. It uses nothing of the project's own code.
package rig2

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN = 2
	flagFIN = 4
	flagACK = 8
	flagRST = 16
)

const (
	headSize = 31
	// resetWindow is how far the sequence number of a reset may be from the last
	// acknowledgement on an open flow.
	resetWindow = 76_800
)

// packet is one datagram between a requester and an endpoint.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	sum      uint32
	echo     uint32
	flags    byte
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the datagram of a packet, behind room for a prefix.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	le := binary.LittleEndian
	le.PutUint32(b[0:], p.seq)
	le.PutUint32(b[4:], p.ack)
	putAddr(b[8:], p.dst.Addr())
	le.PutUint16(b[12:], p.src.Port())
	putAddr(b[14:], p.src.Addr())
	le.PutUint16(b[18:], p.dst.Port())
	le.PutUint32(b[20:], p.sum)
	le.PutUint16(b[24:], uint16(len(p.data)))
	le.PutUint32(b[26:], p.echo)
	b[30] = p.flags
	return append(b, p.data...)
}

// decode decodes a datagram.
func decode(b []byte) (packet, bool) {
	le := binary.LittleEndian
	if len(b) < headSize || len(b) != headSize+int(le.Uint16(b[24:])) {
		return packet{}, false
	}
	return packet{
		src:   netip.AddrPortFrom(addrAt(b[14:]), le.Uint16(b[12:])),
		dst:   netip.AddrPortFrom(addrAt(b[8:]), le.Uint16(b[18:])),
		seq:   le.Uint32(b[0:]),
		ack:   le.Uint32(b[4:]),
		sum:   le.Uint32(b[20:]),
		echo:  le.Uint32(b[26:]),
		flags: b[30],
		data:  append([]byte(nil), b[headSize:]...),
	}, true
}

// sign sets the keyed sum. Resets of the system have the sum 0.
func (p *packet) sign() { p.sum = p.keyedSum() }

// intact reports whether the packet is as its sender wrote it.
func (p *packet) intact() bool { return p.sum == p.keyedSum() }

func (p *packet) keyedSum() uint32 {
	q := *p
	q.sum, q.echo = 0, 0
	h := fnv.New32a()
	_, _ = h.Write([]byte("a key that the system does not know"))
	_, _ = h.Write(q.encode())
	return h.Sum32() | 1
}

func addrAt(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }

func putAddr(b []byte, a netip.Addr) {
	v := a.As4()
	b[0], b[1], b[2], b[3] = v[3], v[2], v[1], v[0]
}

// after reports whether sequence number a comes after b.
func after(a, b uint32) bool { return int32(a-b) > 0 }
