// Package forward implements the I/O of the data path: it receives
// encapsulated packets in batches, passes them to the router, and sends the
// resulting actions.
package forward

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
	"golang.org/x/sys/unix"

	"rosedale.dev/rosedale/internal/sockopt"
)

// batcher sends and receives several datagrams in one system call.
type batcher interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

const socketBuffer = 4 << 20 // bytes

// listen opens one of several sockets with the same address. The kernel
// distributes datagrams over them by a hash of their outer addresses.
func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	lc := net.ListenConfig{Control: reusePort}
	pc, err := lc.ListenPacket(context.Background(), "udp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "forward: listen on %s", addr)
	}
	c := pc.(*net.UDPConn)
	// The kernel may limit the buffers to less, which can cause loss in bursts
	// but no errors.
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
	return c, nil
}

// reusePort lets several sockets listen on the same address.
func reusePort(_, _ string, c syscall.RawConn) error {
	return sockopt.Set(c, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}

// batch returns the batcher of c for the address family of addr.
func batch(c *net.UDPConn, addr netip.AddrPort) batcher {
	if addr.Addr().Is4() {
		return ipv4.NewPacketConn(c)
	}
	return ipv6.NewPacketConn(c)
}
