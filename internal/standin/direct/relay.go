package direct

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Relay carries the TCP connections of one balancer to the store and harms them
// on request.
type Relay struct {
	Addr netip.AddrPort
	to   netip.AddrPort
	ln   net.Listener

	mu     sync.Mutex
	refuse bool
	delay  time.Duration
	open   map[net.Conn]*carried
}

// carried is a connection under way. A silenced one takes bytes and passes none,
// without an end.
type carried struct {
	peer     net.Conn
	silenced bool
}

// NewRelay listens on a free port and relays to the given address.
func NewRelay(to netip.AddrPort) (*Relay, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: ln.Addr().(*net.TCPAddr).AddrPort(), to: to, ln: ln, open: map[net.Conn]*carried{}}
	go r.accept()
	return r, nil
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Reset()
}

// Refuse ends all connections and refuses new ones while on is set.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	r.refuse = on
	r.mu.Unlock()
	if on {
		r.Reset()
	}
}

// Delay holds each piece of data back.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset breaks all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, x := range r.open {
		_ = c.Close()
		_ = x.peer.Close()
	}
}

// Silence makes all open connections silent for good; new ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.open {
		x.silenced = true
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
		up, err := net.Dial("tcp4", r.to.String())
		if err != nil || refuse {
			_ = c.Close()
			if err == nil {
				_ = up.Close()
			}
			continue
		}
		x := &carried{peer: up}
		r.mu.Lock()
		r.open[c] = x
		r.mu.Unlock()
		go r.carry(c, up, x)
		go r.carry(up, c, x)
	}
}

func (r *Relay) carry(from, to net.Conn, x *carried) {
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
		delay, silenced := r.delay, x.silenced
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
