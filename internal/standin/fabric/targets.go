package fabric

import (
	"net"
	"net/netip"
)

// sourceSocket returns the socket from which packets of the target at address a
// are sent, or nil if it cannot be opened. A routed fabric preserves a packet's
// outer source address, by which balancers identify the target; here the socket is
// bound to that address.
func (f *Fabric) sourceSocket(a netip.Addr) *net.UDPConn {
	if c, ok := f.sourceSockets.Load(a); ok {
		return c.(*net.UDPConn)
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, 0)))
	if err != nil {
		return nil
	}
	if other, loaded := f.sourceSockets.LoadOrStore(a, c); loaded {
		_ = c.Close()
		return other.(*net.UDPConn)
	}
	return c
}
