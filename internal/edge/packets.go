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
	"rosedale.dev/rosedale/internal/readfail"
	"rosedale.dev/rosedale/platform"
)

// receiveBuffer is the size of the socket's receive buffer, in bytes. It holds a third of
// a second of 3,000 packets per second while the process is not scheduled.
const receiveBuffer = 2 << 20

// forwardSample is the number of packets of which the latency of one is measured, so that
// reading the clock costs little.
const forwardSample = 16

// packets is the socket of the data path.
type packets struct {
	edge       *Edge
	conn       *net.UDPConn
	loaded     chan struct{} // closed once targets are known
	once       sync.Once     // closes loaded
	early      earlyOpenings
	lastPacket atomic.Int64 // arrival of the last packet, as time.Duration since start

	handled atomic.Uint64 // number of packets; one that waited in early counts twice
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

func (p *packets) lastAt() time.Duration { return time.Duration(p.lastPacket.Load()) }

// start starts the handling of packets.
func (p *packets) start() { p.once.Do(func() { close(p.loaded) }) }

// run forwards packets until the socket is closed or cannot be read any more.
//
// Guards against dropping packets that a starting balancer receives before it knows any
// target and could forward a moment later. Packets wait in the socket's buffer until
// targets are known, and opening packets in a separate queue until the catalogue is
// known.
func (p *packets) run() {
	<-p.loaded
	buf := make([]byte, platform.MaxDatagram+1)
	body := buf[platform.PrefixSize:]
	var seg direct.Segment
	var failures readfail.Streak
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(body)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !p.edge.readFailed(&failures, "packets", err) {
				return
			}
			continue
		}
		failures.Succeeded()
		p.handle(buf, n, &seg)
	}
}

func (p *packets) handle(buf []byte, n int, seg *direct.Segment) {
	e := p.edge
	now := e.now()
	p.lastPacket.Store(int64(now))
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
	if seg.Flags.Has(direct.SYN) && p.early.add(packet) {
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
	if d.Verb == direct.Hold {
		e.holdPacket(seg, buf[:platform.PrefixSize+n])
	}
	first := d.Verb == direct.Hold && e.held.count == 1
	released := e.takeReleased(now)
	e.mu.Unlock()
	p.carryOut(d, buf[:platform.PrefixSize+n], seg, to, id)
	p.sendReleased(now, released)
	if first {
		e.control.releaseSoon()
	}
	if due {
		e.control.checkSoon()
	}
	e.logDecision(now, seg, d, id)
}

// reset sends a reset of a flow to its caller.
func (p *packets) reset(seg *direct.Segment) {
	var b [platform.HeaderSize]byte
	platform.PutReset(b[:], seg)
	p.send(b[:], netip.AddrPortFrom(seg.Caller.Addr(), p.edge.boot.Data.Port()))
}

func (p *packets) send(b []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(b, to); err != nil {
		p.edge.counts.sendErrors.Add(1)
	}
}
