// Package geneve encodes and decodes the Geneve header (RFC 8926) that carries
// whole IP packets between the fabric, the balancers and the targets, and the
// experimental option for packets between balancers.
package geneve

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"
)

const (
	// HeaderLen is the length in bytes of the header without options.
	HeaderLen = 8
	// Port is the UDP port assigned to Geneve by IANA.
	Port = 6081
	// MaxVNI is the largest virtual network identifier, which has 24 bits.
	MaxVNI = 1<<24 - 1

	protoIPv4 = 0x0800
	protoIPv6 = 0x86DD

	optionClass  = 0xFFF0 // experimental range, RFC 8926 section 3.5
	optionType   = 1
	optionHead   = 4  // bytes before an option's body
	hopBodyLen   = 24 // bytes
	hopOptionLen = optionHead + hopBodyLen

	flagCritical = 0x40
	flagOAM      = 0x80
)

// Errors returned by Parse, one for each kind of malformed datagram.
var (
	ErrShort    = errors.New("geneve: datagram shorter than its header")
	ErrVersion  = errors.New("geneve: unknown version")
	ErrProtocol = errors.New("geneve: payload is neither IPv4 nor IPv6")
	ErrOption   = errors.New("geneve: malformed option")
	ErrCritical = errors.New("geneve: unknown critical option or control packet")
)

// Datagram is a decoded encapsulation. Inner is the IP packet and aliases the
// parsed buffer.
type Datagram struct {
	VNI    uint32
	Hop    Hop
	HasHop bool
	Inner  []byte
}

// Parse decodes b without allocating. Options of other classes are ignored
// unless they are marked as critical.
func Parse(b []byte) (Datagram, error) {
	var d Datagram
	if len(b) < HeaderLen {
		return d, ErrShort
	}
	if b[0]>>6 != 0 {
		return d, ErrVersion
	}
	if b[1]&flagOAM != 0 {
		return d, ErrCritical
	}
	proto := binary.BigEndian.Uint16(b[2:])
	if proto != protoIPv4 && proto != protoIPv6 {
		return d, ErrProtocol
	}
	end := HeaderLen + int(b[0]&0x3f)*4
	if len(b) < end {
		return d, ErrShort
	}
	d.VNI = binary.BigEndian.Uint32(b[4:]) >> 8
	d.Inner = b[end:]
	err := d.parseOptions(b[HeaderLen:end])
	return d, err
}

func (d *Datagram) parseOptions(b []byte) error {
	for len(b) > 0 {
		if len(b) < optionHead {
			return ErrOption
		}
		class := binary.BigEndian.Uint16(b)
		kind := b[2]
		n := optionHead + int(b[3]&0x1f)*4
		if len(b) < n {
			return ErrOption
		}
		switch {
		case class == optionClass && kind&0x7f == optionType:
			if n < hopOptionLen {
				return ErrOption
			}
			d.Hop = decodeHop(b[optionHead:n])
			d.HasHop = true
		case kind&0x80 != 0:
			return ErrCritical
		}
		b = b[n:]
	}
	return nil
}

// Append appends the encapsulation of inner to dst. No option is added if hop
// is nil.
func Append(dst []byte, vni uint32, hop *Hop, inner []byte) []byte {
	return append(AppendHeader(dst, vni, hop, inner), inner...)
}

// AppendHeader appends only the header and the option, without inner itself.
func AppendHeader(dst []byte, vni uint32, hop *Hop, inner []byte) []byte {
	opts := byte(0)
	flags := byte(0)
	if hop != nil {
		opts = hopOptionLen / 4
		flags = flagCritical
	}
	proto := uint16(protoIPv4)
	if len(inner) > 0 && inner[0]>>4 == 6 {
		proto = protoIPv6
	}
	dst = append(dst, opts, flags, byte(proto>>8), byte(proto))
	dst = binary.BigEndian.AppendUint32(dst, vni<<8)
	if hop != nil {
		dst = hop.append(dst)
	}
	return dst
}

// Unmap converts an IPv4-mapped IPv6 address, as dual-stack sockets return it,
// to IPv4.
func Unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
