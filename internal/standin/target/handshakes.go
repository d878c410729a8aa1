package target

import "rosedale.dev/rosedale/internal/packet"

// handshakes are the connections that wait for the caller's acknowledgement, by
// the number that it has to carry. It is for one goroutine at a time.
//
// Failure: the userspace TCP stack takes any acknowledgement for the end of a
// handshake that it did not start from a listening socket. It shows as a request
// that runs at two targets: the second one had got a copy of the opening, and takes
// the request meant for the first. RFC 9293, section 3.10.7.4, has it reset.
type handshakes map[connection]uint32

// sent notes a packet that the target sends.
func (h handshakes) sent(s *packet.Segment) {
	c := connection{caller: s.Dst, address: s.Src}
	switch {
	case s.IsAccept():
		h[c] = s.Seq + 1
	case s.IsReset():
		delete(h, c)
	}
}

// strange reports whether a packet that the target gets acknowledges something
// that it never sent.
func (h handshakes) strange(s *packet.Segment) bool {
	c := connection{caller: s.Src, address: s.Dst}
	want, waits := h[c]
	if !waits || !s.HasAck() || s.IsReset() {
		return false
	}
	if s.Ack != want {
		return true
	}
	delete(h, c)
	return false
}
