package direct

import (
	"net"
	"sync"
	"time"
)

// Listener accepts connections that can be silenced: they stay open, and all further data
// on them is discarded in both directions. They can also be slowed.
type Listener struct {
	net.Listener

	mu             sync.Mutex
	deaf           bool
	bytesPerSecond int // of each connection, 0: no limit
	open           map[*listenedConn]bool
}

// listenedConn is an accepted connection.
type listenedConn struct {
	net.Conn
	l        *Listener
	silenced bool // guarded by the listener's mu
}

// Listen listens like net.Listen.
func Listen(network, address string) (*Listener, error) {
	ln, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: ln, open: map[*listenedConn]bool{}}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lc := &listenedConn{Conn: c, l: l, silenced: l.deaf}
	l.open[lc] = true
	return lc, nil
}

// Silence silences the connections that are open, and returns their number. New ones are
// not affected.
func (l *Listener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.open {
		if !c.silenced {
			c.silenced = true
			n++
		}
	}
	return n
}

// Deafen silences the connections that are open and, until it is set off, all new ones.
func (l *Listener) Deafen(on bool) {
	l.mu.Lock()
	l.deaf = on
	l.mu.Unlock()
	if on {
		l.Silence()
	}
}

// Slow limits what is written to each connection from now on, in bytes per second. 0 ends the
// limit.
func (l *Listener) Slow(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
}

// Close implements net.Listener. It also closes the silenced connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.silenced {
			_ = c.Conn.Close()
		}
	}
	return l.Listener.Close()
}

func (c *listenedConn) isSilenced() bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	return c.silenced
}

// Read implements net.Conn. On a silenced connection it returns only errors.
func (c *listenedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilenced() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *listenedConn) Write(b []byte) (int, error) {
	if c.isSilenced() {
		return len(b), nil
	}
	c.l.mu.Lock()
	speed := c.l.bytesPerSecond
	c.l.mu.Unlock()
	if speed == 0 {
		return c.Conn.Write(b)
	}
	return c.writeSlowly(b, max(1, int(float64(speed)*paceStep.Seconds())))
}

// writeSlowly writes data in chunks that are paceStep apart.
func (c *listenedConn) writeSlowly(b []byte, chunk int) (int, error) {
	written := 0
	for len(b) > 0 {
		n, err := c.Conn.Write(b[:min(chunk, len(b))])
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
		time.Sleep(paceStep)
	}
	return written, nil
}

// Close implements net.Conn. A silenced connection stays open for the other end.
func (c *listenedConn) Close() error {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.silenced {
		return nil
	}
	delete(c.l.open, c)
	return c.Conn.Close()
}
