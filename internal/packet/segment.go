// Package packet parses the inner IP packets that balancers forward, and
// builds the TCP resets that they send. The header layouts come from gvisor's
// header package; this package only checks lengths and extracts the fields
// that forwarding decisions need.
package packet

import (
	"net/netip"

	"github.com/pkg/errors"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// Errors returned by Parse, one for each kind of packet that is rejected.
var (
	ErrShort    = errors.New("packet: truncated")
	ErrVersion  = errors.New("packet: neither IPv4 nor IPv6")
	ErrLength   = errors.New("packet: length field disagrees with the datagram")
	ErrFragment = errors.New("packet: IP fragment")
	ErrProtocol = errors.New("packet: not TCP")
	ErrTCP      = errors.New("packet: malformed TCP header")
)

// Segment is a TCP segment with its addresses. Raw is the whole IP packet and
// aliases the parsed buffer.
type Segment struct {
	Src, Dst   netip.AddrPort
	Seq, Ack   uint32
	Flags      header.TCPFlags
	PayloadLen int
	Raw        []byte
}

// Parse decodes the IP packet b without allocating.
func Parse(b []byte) (Segment, error) {
	var s Segment
	err := s.Decode(b)
	return s, err
}

// Decode decodes the IP packet b into s. After an error s is partly filled.
func (s *Segment) Decode(b []byte) error {
	if len(b) < 1 {
		return ErrShort
	}
	switch b[0] >> 4 {
	case 4:
		return s.decode4(b)
	case 6:
		return s.decode6(b)
	}
	return ErrVersion
}

func (s *Segment) decode4(b []byte) error {
	if len(b) < header.IPv4MinimumSize {
		return ErrShort
	}
	ip := header.IPv4(b)
	hl, tl := int(ip.HeaderLength()), int(ip.TotalLength())
	if hl < header.IPv4MinimumSize || tl < hl || tl != len(b) {
		return ErrLength
	}
	if ip.More() || ip.FragmentOffset() != 0 {
		return ErrFragment
	}
	if ip.Protocol() != uint8(header.TCPProtocolNumber) {
		return ErrProtocol
	}
	src := netip.AddrFrom4([4]byte(b[12:16]))
	dst := netip.AddrFrom4([4]byte(b[16:20]))
	return s.decodeTCP(b, hl, src, dst)
}

func (s *Segment) decode6(b []byte) error {
	if len(b) < header.IPv6MinimumSize {
		return ErrShort
	}
	ip := header.IPv6(b)
	if int(ip.PayloadLength())+header.IPv6MinimumSize != len(b) {
		return ErrLength
	}
	if ip.NextHeader() == uint8(header.IPv6FragmentHeader) {
		return ErrFragment
	}
	if ip.NextHeader() != uint8(header.TCPProtocolNumber) {
		return ErrProtocol
	}
	src := netip.AddrFrom16([16]byte(b[8:24]))
	dst := netip.AddrFrom16([16]byte(b[24:40]))
	return s.decodeTCP(b, header.IPv6MinimumSize, src, dst)
}

func (s *Segment) decodeTCP(b []byte, off int, src, dst netip.Addr) error {
	if len(b) < off+header.TCPMinimumSize {
		return ErrShort
	}
	t := header.TCP(b[off:])
	do := int(t.DataOffset())
	if do < header.TCPMinimumSize || do > len(t) {
		return ErrTCP
	}
	s.Src = netip.AddrPortFrom(src, t.SourcePort())
	s.Dst = netip.AddrPortFrom(dst, t.DestinationPort())
	s.Seq = t.SequenceNumber()
	s.Ack = t.AckNumber()
	s.Flags = t.Flags()
	s.PayloadLen = len(t) - do
	s.Raw = b
	return nil
}

// IsOpening reports whether s is an opening packet (SYN without ACK).
func (s *Segment) IsOpening() bool {
	return s.Flags&(header.TCPFlagSyn|header.TCPFlagAck|header.TCPFlagRst) == header.TCPFlagSyn
}

// IsAccept reports whether s accepts a connection (SYN-ACK).
func (s *Segment) IsAccept() bool {
	const both = header.TCPFlagSyn | header.TCPFlagAck
	return s.Flags&(both|header.TCPFlagRst) == both
}

// IsReset reports whether s resets its connection.
func (s *Segment) IsReset() bool { return s.Flags&header.TCPFlagRst != 0 }

// IsFin reports whether s ends its sender's direction of the connection.
func (s *Segment) IsFin() bool { return s.Flags&header.TCPFlagFin != 0 }

// HasAck reports whether the acknowledgement number is valid.
func (s *Segment) HasAck() bool { return s.Flags&header.TCPFlagAck != 0 }
