package edge

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/platform"
)

// receiveBuffer holds the packets of a third of a second at 3,000 a second
// while the process does not run.
const receiveBuffer = 2 << 20

// forwardSample is how many packets go by for each whose time is taken, so that
// reading the clock costs nothing.
const forwardSample = 16

// packets is the data path's socket.
type packets struct {
	edge   *Edge
	conn   *net.UDPConn
	loaded chan struct{} // closed once targets are known
	once   sync.Once     // closes loaded
	early  earlyOpenings
	last   atomic.Int64 // time of the last packet

	handled atomic.Uint64 // packets so far
}

func listenPackets(e *Edge) (*packets, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.boot.Data))
	if err != nil {
		return nil, errors.Wrapf(err, "packets: listen on %s", e.boot.Data)
	}
	if err := c.SetReadBuffer(receiveBuffer); err != nil {
		e.log.Warn("packets: receive buffer stays at its default", zap.Error(err))
	}
	return &packets{edge: e, conn: c, loaded: make(chan struct{})}, nil
}

func (p *packets) close() { _ = p.conn.Close() }

func (p *packets) lastAt() time.Duration { return time.Duration(p.last.Load()) }

// begin lets packets in.
func (p *packets) begin() { p.once.Do(func() { close(p.loaded) }) }

// run forwards packets until the socket is closed.
//
// Failure: a balancer that has just started gets packets before it knows any
// target. It would drop what it could forward a moment later. Packets wait in
// the socket's buffer until targets are known, and openings beside it until the
// catalogue is.
func (p *packets) run() {
	<-p.loaded
	buf := make([]byte, platform.MaxDatagram+1)
	body := buf[platform.PrefixSize:]
	var seg direct.Segment
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(body)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.edge.counts.readErrors.Add(1)
			continue
		}
		p.handle(buf, n, &seg)
	}
}

func (p *packets) handle(buf []byte, n int, seg *direct.Segment) {
	e := p.edge
	now := e.now()
	p.last.Store(int64(now))
	if p.handled.Add(1)%forwardSample == 0 {
		defer func() { e.times.forward.RecordDuration(e.now() - now) }()
	}
	packet := buf[platform.PrefixSize : platform.PrefixSize+n]
	if err := platform.ParsePacket(packet, seg); err != nil {
		e.mu.Lock()
		e.forward.Malformed()
		e.mu.Unlock()
		return
	}
	if seg.Flags.Has(direct.SYN) && p.early.keep(packet) {
		return
	}
	e.mu.Lock()
	d := e.forward.Handle(now, seg)
	due := e.forward.ChecksDue()
	var to netip.AddrPort
	var id direct.TargetID
	if d.Target != nil {
		to, id = d.Target.Addr, d.Target.ID
	}
	e.mu.Unlock()
	switch d.Verb {
	case direct.Forward:
		platform.PutTarget(buf, id)
		if d.SetCookie {
			platform.SetCookie(packet, id.Cookie())
		}
		p.send(buf[:platform.PrefixSize+n], to)
	case direct.Reset:
		p.reset(seg)
	}
	if due {
		e.control.lookSoon()
	}
	e.logDecision(now, seg, d, id)
}

// reset ends a flow at its caller.
func (p *packets) reset(seg *direct.Segment) {
	var b [platform.HeadSize]byte
	platform.Reset(b[:], seg)
	p.send(b[:], netip.AddrPortFrom(seg.Caller.Addr(), p.edge.boot.Data.Port()))
}

func (p *packets) send(b []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(b, to); err != nil {
		p.edge.counts.sendErrors.Add(1)
	}
}
