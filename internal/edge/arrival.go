package edge

import (
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"rosedale.dev/rosedale/internal/sockopt"
)

// heartbeatConn is the socket for heartbeats. The kernel records when a datagram arrives, so
// that the time for which it waited in the socket, as while this process was paused, is not
// taken for the present.
type heartbeatConn struct {
	*net.UDPConn
	control []byte // buffer for the kernel's record
}

// timestampSize is the size in bytes of a kernel timestamp: seconds and nanoseconds.
const timestampSize = 16

// listenHeartbeats opens the socket. If the kernel does not record arrivals, heartbeats count
// as just arrived.
func listenHeartbeats(addr netip.AddrPort, log *zap.Logger) (*heartbeatConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "control: listen on %s", addr)
	}
	if err := recordArrivals(c); err != nil {
		log.Warn("arrival times of heartbeats are not recorded", zap.Error(err))
	}
	return &heartbeatConn{c, make([]byte, unix.CmsgSpace(timestampSize))}, nil
}

// recordArrivals makes the kernel return the arrival time with each datagram.
func recordArrivals(c *net.UDPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return sockopt.Set(raw, unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
}

// read reads a datagram into b and returns its size and how long it waited in the socket.
func (c *heartbeatConn) read(b []byte) (n int, waited time.Duration, err error) {
	n, size, _, _, err := c.ReadMsgUDPAddrPort(b, c.control)
	if err != nil {
		return 0, 0, err
	}
	return n, waitedSince(c.control[:size], time.Now()), nil
}

// waitedSince returns the time from the arrival that the kernel recorded until now, or 0 if
// there is no record or the clock was set back.
func waitedSince(control []byte, now time.Time) time.Duration {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0
	}
	for _, m := range messages {
		if m.Header.Level != unix.SOL_SOCKET || m.Header.Type != unix.SCM_TIMESTAMPNS || len(m.Data) < timestampSize {
			continue
		}
		seconds, nanoseconds := binary.NativeEndian.Uint64(m.Data), binary.NativeEndian.Uint64(m.Data[8:])
		return max(now.Sub(time.Unix(int64(seconds), int64(nanoseconds))), 0)
	}
	return 0
}
