package packet

import (
	"net/netip"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/checksum"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// initialTTL is the TTL or hop limit of the packets that Build returns.
const initialTTL = 64

// ResetTo returns the reset with which a host without the connection answers s
// (RFC 9293, section 3.10.7.1).
func ResetTo(s *Segment) []byte {
	if s.HasAck() {
		return reset(s.Dst, s.Src, s.Ack, 0, header.TCPFlagRst)
	}
	n := uint32(s.PayloadLen)
	if s.Flags&header.TCPFlagSyn != 0 {
		n++
	}
	if s.IsFin() {
		n++
	}
	return reset(s.Dst, s.Src, 0, s.Seq+n, header.TCPFlagRst|header.TCPFlagAck)
}

// ResetAlong returns a reset from the sender of s to its receiver, with a
// sequence number that the receiver accepts as the next one. For an opening
// packet that is the number after its SYN.
func ResetAlong(s *Segment) []byte {
	seq := s.Seq
	if s.Flags&header.TCPFlagSyn != 0 {
		seq++
	}
	if s.HasAck() {
		return reset(s.Src, s.Dst, seq, s.Ack, header.TCPFlagRst|header.TCPFlagAck)
	}
	return reset(s.Src, s.Dst, seq, 0, header.TCPFlagRst)
}

func reset(src, dst netip.AddrPort, seq, ack uint32, flags header.TCPFlags) []byte {
	return Build(src, dst, seq, ack, flags, nil)
}

// Build returns an IP packet with one TCP segment and no options.
func Build(src, dst netip.AddrPort, seq, ack uint32, flags header.TCPFlags, payload []byte) []byte {
	sa := tcpip.AddrFromSlice(src.Addr().AsSlice())
	da := tcpip.AddrFromSlice(dst.Addr().AsSlice())
	n := header.TCPMinimumSize + len(payload)
	b, off := buildIP(src.Addr().Is4(), sa, da, n)
	t := header.TCP(b[off:])
	t.Encode(&header.TCPFields{
		SrcPort:    src.Port(),
		DstPort:    dst.Port(),
		SeqNum:     seq,
		AckNum:     ack,
		DataOffset: header.TCPMinimumSize,
		Flags:      flags,
		WindowSize: buildWindow,
	})
	copy(t[header.TCPMinimumSize:], payload)
	sum := header.PseudoHeaderChecksum(header.TCPProtocolNumber, sa, da, uint16(n))
	t.SetChecksum(^checksum.Checksum(t, sum))
	return b
}

const buildWindow = 65535 // bytes

// buildIP returns a packet with room for n bytes of TCP and a complete IP
// header, and the length of that header.
func buildIP(v4 bool, sa, da tcpip.Address, n int) ([]byte, int) {
	if !v4 {
		b := make([]byte, header.IPv6MinimumSize+n)
		header.IPv6(b).Encode(&header.IPv6Fields{
			PayloadLength:     uint16(n),
			TransportProtocol: header.TCPProtocolNumber,
			HopLimit:          initialTTL,
			SrcAddr:           sa,
			DstAddr:           da,
		})
		return b, header.IPv6MinimumSize
	}
	b := make([]byte, header.IPv4MinimumSize+n)
	ip := header.IPv4(b)
	ip.Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)),
		TTL:         initialTTL,
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     sa,
		DstAddr:     da,
	})
	ip.SetChecksum(^ip.CalculateChecksum())
	return b, header.IPv4MinimumSize
}
