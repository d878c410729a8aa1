package link

import "net"

// headerSize is the size of the UDP and IPv4 headers of a datagram in bytes.
const headerSize = 28

// countingConn counts the bytes on the wire, including handshakes and acknowledgements.
// It embeds net.PacketConn rather than net.UDPConn, because quic-go would use the batch
// methods of the latter, which are not counted.
type countingConn struct {
	net.PacketConn
	count *Counts
}

// SetReadBuffer sets the size of the receive buffer. quic-go looks for this method and
// SetWriteBuffer.
func (c *countingConn) SetReadBuffer(n int) error {
	return c.PacketConn.(*net.UDPConn).SetReadBuffer(n)
}

// SetWriteBuffer sets the size of the send buffer.
func (c *countingConn) SetWriteBuffer(n int) error {
	return c.PacketConn.(*net.UDPConn).SetWriteBuffer(n)
}

// ReadFrom implements net.PacketConn.
func (c *countingConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, a, err := c.PacketConn.ReadFrom(b)
	if err == nil {
		c.count.BytesIn.Add(uint64(n) + headerSize)
	}
	return n, a, err
}

// WriteTo implements net.PacketConn.
func (c *countingConn) WriteTo(b []byte, a net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(b, a)
	if err == nil {
		c.count.BytesOut.Add(uint64(n) + headerSize)
	}
	return n, err
}
