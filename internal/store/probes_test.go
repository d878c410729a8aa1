package store

import (
	"context"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// A blocking query waits on a connection that is lost without a reset. Nothing is sent on it, so
// that without keep-alive probes a change would be missed until the end of the query.
func TestStoreConnectionsAreProbed(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, err := newTransport().DialContext(context.Background(), "tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(level, name int) (v int) {
		if err := raw.Control(func(fd uintptr) { v, err = unix.GetsockoptInt(int(fd), level, name) }); err != nil {
			t.Fatal(err)
		}
		return v
	}
	if option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 0 {
		t.Fatal("connections are not probed")
	}
	idle, count := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	if timeout := option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); timeout == 0 || timeout > 3000 {
		t.Errorf("unacknowledged data closes a connection after %d ms, want 3000 at most", timeout)
	}
	if interval := option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL); idle+count*interval > 3 {
		t.Errorf("a lost connection is noticed after %d s + %d probes of %d s, want 3 s at most", idle, count, interval)
	}
}
