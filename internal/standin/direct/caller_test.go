package direct

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"
)

// callerPeer receives a caller's packets in place of a balancer and answers them in place of
// a target.
type callerPeer struct {
	t    *testing.T
	conn *net.UDPConn
	addr netip.AddrPort
}

func newCallerPeer(t *testing.T) (*Caller, callerPeer) {
	t.Helper()
	addr := netip.MustParseAddrPort("127.88.2.2:18598")
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	c, err := NewCaller(netip.MustParseAddr("127.88.2.1"), addr.Port())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, callerPeer{t, conn, addr}
}

// read returns the header of the caller's next packet.
func (p callerPeer) read() header {
	buf := make([]byte, 2048)
	_ = p.conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	n, err := p.conn.Read(buf)
	if err != nil {
		p.t.Error(err)
		return header{}
	}
	h, _, ok := parsePacket(buf[:n])
	if !ok {
		p.t.Error("packet cannot be parsed")
	}
	return h
}

// answer sends a packet to the caller that sent received.
func (p callerPeer) answer(received, h header) {
	h.src, h.dst = received.dst, received.src
	if _, err := p.conn.WriteToUDPAddrPort(h.encode(nil), netip.AddrPortFrom(received.src.Addr(), p.addr.Port())); err != nil {
		p.t.Error(err)
	}
}

// open opens a flow that the target accepts with an initial sequence number.
func (p callerPeer) open(c *Caller, isn uint32) (*Flow, header) {
	p.t.Helper()
	accepted := make(chan header, 1)
	go func() {
		h := p.read()
		p.answer(h, header{seq: isn, ack: h.seq + 1, syn: true, hasAck: true})
		accepted <- h
	}()
	fl, err := c.Open(opening.dst, p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	h := <-accepted
	p.read() // the acknowledgement
	return fl, h
}

// Guards against a caller that gives an open flow up because of a reset that answers a late
// copy of its opening, and against one that ignores resets of the flow itself. Sequence
// numbers wrap.
func TestResetsOnAnOpenFlow(t *testing.T) {
	c, peer := newCallerPeer(t)
	for _, x := range []struct {
		name     string
		isn, seq uint32
		want     bool
	}{
		{"first opening", 1 << 24, 0, false},
		{"third opening", 1 << 24, 2, false},
		{"by the target", 1 << 24, 1<<24 + 1, true},
		{"end of the window", 1 << 24, 1<<24 + 1 + resetWindow, true},
		{"beyond the window", 1 << 24, 1<<24 + 2 + resetWindow, false},
		{"start of the window", 1 << 24, 1<<24 + 1 - resetWindow, true},
		{"before the window", 1 << 24, 1<<24 - resetWindow, false},
		{"window that wraps", 1<<32 - 10, 100, true},
	} {
		fl, h := peer.open(c, x.isn)
		peer.answer(h, header{seq: x.seq, rst: true})
		if got := fl.IsReset(100 * time.Millisecond); got != x.want {
			t.Errorf("%s: flow with initial sequence number %d ended by a reset with %d: %v, want %v", x.name, x.isn, x.seq, got, x.want)
		}
	}
}

// Guards against a caller that waits for its timeout although its opening is rejected.
func TestResetOfAnOpening(t *testing.T) {
	c, peer := newCallerPeer(t)
	go func() {
		h := peer.read()
		peer.answer(h, header{seq: h.ack, ack: h.seq + 1, rst: true, hasAck: true})
	}()
	if _, err := c.Open(opening.dst, peer.addr); !errors.Is(err, ErrReset) {
		t.Errorf("error %v, want %v", err, ErrReset)
	}
}
