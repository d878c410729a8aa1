package rig2

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of a flow.
var (
	ErrReset   = errors.New("reset")
	ErrTimeout = errors.New("no answer in time")
)

// Requester opens flows from one address, each from a port of its own.
type Requester struct {
	record *Record
	addr   netip.Addr
	udp    *net.UDPConn
	router *Router
	zone   string

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*Flow
}

// Flow is an open flow.
type Flow struct {
	Local netip.AddrPort
	// ResetByEndpoint is set if the reset that ended it came from an endpoint.
	ResetByEndpoint bool

	r    *Requester
	to   netip.AddrPort
	via  netip.AddrPort // the balancer to which it is sent, or none if the routers choose
	in   chan packet
	echo atomic.Uint32 // of the last packet received on the flow
	seq  uint32
	ack  uint32
	open bool
}

// NewRequester starts a requester of a zone that receives packets at a port of an address.
func NewRequester(r *Record, router *Router, zone string, at netip.AddrPort) (*Requester, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	q := &Requester{record: r, addr: at.Addr(), udp: udp, router: router, zone: zone, port: 1024, flows: map[uint16]*Flow{}}
	go q.read()
	return q, nil
}

// Close ends the requester.
func (q *Requester) Close() { _ = q.udp.Close() }

func (q *Requester) read() {
	buf := make([]byte, 2048)
	for {
		n, err := q.udp.Read(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		q.mu.Lock()
		fl := q.flows[p.dst.Port()]
		q.mu.Unlock()
		if fl == nil || fl.to != p.src {
			continue
		}
		if p.intact() {
			fl.echo.Store(p.echo)
		}
		select {
		case fl.in <- p:
		default:
		}
	}
}

// Open opens a flow to a route. It sends the opening and, after 200 and 600 ms, its copies, and
// gives up after 1.4 s.
func (q *Requester) Open(to netip.AddrPort) (*Flow, error) { return q.OpenVia(to, netip.AddrPort{}) }

// OpenVia is Open for a flow that is sent directly to a balancer.
func (q *Requester) OpenVia(to, via netip.AddrPort) (*Flow, error) {
	q.mu.Lock()
	q.port++
	fl := &Flow{via: via, Local: netip.AddrPortFrom(q.addr, q.port), r: q, to: to, in: make(chan packet, 64), seq: 7_000 * uint32(q.port)}
	q.flows[q.port] = fl
	q.mu.Unlock()
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		fl.send(packet{seq: fl.seq, ack: uint32(i), flags: flagSYN})
		p, err := fl.receive(wait)
		switch {
		case errors.Is(err, ErrTimeout):
			continue
		case err != nil:
			return fl, err
		}
		fl.open = true
		fl.seq++
		fl.ack = p.seq + 1
		fl.send(packet{seq: fl.seq, ack: fl.ack, flags: flagACK})
		return fl, nil
	}
	return fl, ErrTimeout
}

// Ask sends a request, and again after 200 ms, then after twice as long each time up to 1.6 s,
// until its answer has come or the deadline has passed. closed says that the endpoint has closed
// the flow behind the answer.
func (fl *Flow) Ask(text string, deadline time.Duration) (answer string, closed bool, err error) {
	end := time.Now().Add(deadline)
	wait := 200 * time.Millisecond
	for {
		fl.send(packet{seq: fl.seq, ack: fl.ack, flags: flagACK, data: []byte(text)})
		again := time.Now().Add(wait)
		for {
			p, err := fl.receive(min(time.Until(again), time.Until(end)))
			if errors.Is(err, ErrTimeout) {
				break
			}
			if err != nil {
				return "", false, err
			}
			if len(p.data) == 0 || p.seq != fl.ack {
				continue
			}
			fl.seq += uint32(len(text))
			fl.ack += uint32(len(p.data))
			if closed = p.has(flagFIN); closed {
				fl.ack++
			}
			fl.send(packet{seq: fl.seq, ack: fl.ack, flags: flagACK})
			return string(p.data), closed, nil
		}
		if !time.Now().Before(end) {
			return "", false, ErrTimeout
		}
		wait = min(2*wait, 1600*time.Millisecond)
	}
}

// Late returns the answer that comes on a flow within some time although the flow was reset.
func (fl *Flow) Late(within time.Duration) (string, bool) {
	end := time.After(within)
	for {
		select {
		case p := <-fl.in:
			if len(p.data) > 0 && p.seq == fl.ack {
				return string(p.data), true
			}
		case <-end:
			return "", false
		}
	}
}

// Close closes a flow.
func (fl *Flow) Close() {
	fl.send(packet{seq: fl.seq, ack: fl.ack, flags: flagFIN | flagACK})
	fl.r.mu.Lock()
	defer fl.r.mu.Unlock()
	delete(fl.r.flows, fl.Local.Port())
}

// receive returns the next packet. A reset ends the flow if it is near the last acknowledgement.
func (fl *Flow) receive(wait time.Duration) (packet, error) {
	end := time.After(max(wait, 0))
	for {
		select {
		case p := <-fl.in:
			if p.has(flagRST) {
				if d := int32(p.seq - fl.ack); !fl.open || -resetWindow <= d && d <= resetWindow {
					fl.ResetByEndpoint = p.sum != 0
					fl.r.record.Add("%s gets a reset, %s", fl.Local, origin(&p))
					return p, ErrReset
				}
				continue
			}
			if p.intact() {
				return p, nil
			}
		case <-end:
			return packet{}, ErrTimeout
		}
	}
}

// origin says who sent a reset: those of the system have the sum 0.
func origin(p *packet) string {
	if p.sum == 0 {
		return "by the system"
	}
	return "by an endpoint"
}

func (fl *Flow) send(p packet) {
	p.src, p.dst, p.echo = fl.Local, fl.to, fl.echo.Load()
	p.sign()
	if fl.via.IsValid() {
		_, _ = fl.r.udp.WriteToUDPAddrPort(p.encode(), fl.via)
		return
	}
	if to, ok := fl.r.router.pick(fl.r.zone, fl.Local, fl.to); ok {
		_, _ = fl.r.udp.WriteToUDPAddrPort(p.encode(), to)
	}
}
