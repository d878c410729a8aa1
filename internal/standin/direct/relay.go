package direct

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Relay forwards the TCP connections of one balancer to the store and injects faults
// into them on request.
type Relay struct {
	Addr netip.AddrPort
	to   netip.AddrPort
	ln   net.Listener

	mu     sync.Mutex
	refuse bool
	stall  bool
	delay  time.Duration
	open   map[net.Conn]*relayedConn // by the balancer's connection
}

// relayedConn is the state of an open connection. A silenced one stays open, but its
// data is discarded.
type relayedConn struct {
	peer     net.Conn // connection to the store
	silenced bool
	stalled  bool // is silenced after the present chunk
}

// NewRelay returns a relay from a free port of loopback to the given address.
func NewRelay(to netip.AddrPort) (*Relay, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: ln.Addr().(*net.TCPAddr).AddrPort(), to: to, ln: ln, open: map[net.Conn]*relayedConn{}}
	go r.accept()
	return r, nil
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Reset()
}

// Refuse sets whether new connections are refused. When it is set on, open ones are
// closed as well.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	r.refuse = on
	r.mu.Unlock()
	if on {
		r.Reset()
	}
}

// stalledTail is how many bytes at the end of a response Stall withholds.
const stalledTail = 2

// Stall sets whether the next response on each connection stops shortly before its end, and
// the connection is silent from then on.
func (r *Relay) Stall(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stall = on
}

// Delay sets how long each chunk of data is delayed before it is forwarded.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset closes all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, rc := range r.open {
		_ = c.Close()
		_ = rc.peer.Close()
	}
}

// Silence discards all further data on the connections that are open. New connections
// are not affected.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rc := range r.open {
		rc.silenced = true
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		refuse := r.refuse
		r.mu.Unlock()
		upstream, err := net.Dial("tcp4", r.to.String())
		if err != nil || refuse {
			_ = c.Close()
			if err == nil {
				_ = upstream.Close()
			}
			continue
		}
		rc := &relayedConn{peer: upstream}
		r.mu.Lock()
		r.open[c] = rc
		r.mu.Unlock()
		go r.copyData(c, upstream, rc)
		go r.copyData(upstream, c, rc)
	}
}

func (r *Relay) copyData(from, to net.Conn, rc *relayedConn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, from)
		delete(r.open, to)
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.stall && !rc.silenced && from == rc.peer && n > stalledTail {
			n -= stalledTail
			rc.stalled = true
		}
		delay, silenced := r.delay, rc.silenced
		rc.silenced = rc.silenced || rc.stalled
		r.mu.Unlock()
		time.Sleep(delay)
		if silenced {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
