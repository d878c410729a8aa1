// Package sockopt sets options of sockets that net does not offer.
package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer.Control function that makes the kernel close a connection
// whose peer has acknowledged nothing for the given time.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return Set(c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}
}

// Set sets an option of a socket to an integer.
func Set(c syscall.RawConn, level, option, value int) error {
	var optErr error
	err := c.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), level, option, value) })
	if err != nil {
		return err
	}
	return optErr
}
