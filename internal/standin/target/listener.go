package target

import (
	"net"
	"net/netip"
	"sync"

	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
)

// listener hands accepted connections to an http.Server. It stays open until the
// process ends: Close does nothing.
type listener struct {
	addr     netip.AddrPort
	accepted chan net.Conn
}

func (l *listener) Accept() (net.Conn, error) { return <-l.accepted, nil }
func (l *listener) Close() error              { return nil }
func (l *listener) Addr() net.Addr            { return net.TCPAddrFromAddrPort(l.addr) }

// countedConn releases its slot or connection when it is closed.
type countedConn struct {
	*gonet.TCPConn
	once    sync.Once
	onClose func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(c.onClose)
	return err
}
