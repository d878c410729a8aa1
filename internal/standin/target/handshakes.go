package target

import "rosedale.dev/rosedale/internal/packet"

// handshakes holds the connections that wait for the caller's acknowledgement,
// with the acknowledgement number that it must carry. It is not safe for
// concurrent use.
//
// Without this check, the userspace TCP stack would accept any acknowledgement as
// the end of a handshake that did not start from a listening socket. A target that
// received a copy of an opening would then execute the request that its caller
// sent to another target, and the request would run twice. RFC 9293, section
// 3.10.7.4, requires a reset.
type handshakes map[connection]uint32

// recordSent updates the handshakes from a packet that the target sends.
func (h handshakes) recordSent(s *packet.Segment) {
	c := connection{caller: s.Dst, address: s.Src}
	switch {
	case s.IsAccept():
		h[c] = s.Seq + 1
	case s.IsReset():
		delete(h, c)
	}
}

// unexpectedAck reports whether a received packet acknowledges a sequence number
// that the target did not send. A correct acknowledgement ends the handshake.
func (h handshakes) unexpectedAck(s *packet.Segment) bool {
	c := connection{caller: s.Src, address: s.Dst}
	want, pending := h[c]
	if !pending || !s.HasAck() || s.IsReset() {
		return false
	}
	if s.Ack != want {
		return true
	}
	delete(h, c)
	return false
}
