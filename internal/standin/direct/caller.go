package direct

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Errors of a caller's flow.
var (
	ErrReset   = errors.New("flow was reset")
	ErrTimeout = errors.New("no answer in time")
)

// Caller is a stand-in caller with many flows.
type Caller struct {
	// Late says how much later a further copy of an opening arrives, and through which
	// balancer, if one does; nil for none.
	Late func() (after time.Duration, via netip.AddrPort, ok bool)

	addr netip.Addr
	udp  *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*Flow
}

// Flow is a caller's flow.
type Flow struct {
	c    *Caller
	port uint16
	to   netip.AddrPort
	// Via is the balancer that the fabric hands the flow's packets to.
	Via  netip.AddrPort
	seq  uint32
	ack  uint32
	echo uint32
	peer uint32 // the target's initial number
	in   chan packetIn
}

type packetIn struct {
	h    head
	body string
}

// NewCaller listens at addr, at the port at which callers are reached.
func NewCaller(addr netip.Addr, port uint16) (*Caller, error) {
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, port)))
	if err != nil {
		return nil, err
	}
	c := &Caller{addr: addr, udp: u, port: 1024, flows: map[uint16]*Flow{}}
	go c.read()
	return c, nil
}

// Close ends the caller.
func (c *Caller) Close() { _ = c.udp.Close() }

func (c *Caller) read() {
	buf := make([]byte, 2048)
	for {
		n, err := c.udp.Read(buf)
		if err != nil {
			return
		}
		h, body, ok := parse(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		fl := c.flows[h.dst.Port()]
		c.mu.Unlock()
		if fl == nil || fl.to != h.src {
			continue
		}
		select {
		case fl.in <- packetIn{h, string(body)}:
		default: // the flow's user has gone
		}
	}
}

// Open opens a flow to a service address through a balancer, with the copies of
// an opening that the protocol has.
func (c *Caller) Open(to, via netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.port++
	fl := &Flow{c: c, port: c.port, to: to, Via: via, seq: 100, in: make(chan packetIn, 32)}
	c.flows[c.port] = fl
	c.mu.Unlock()
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		opening := head{seq: fl.seq, ack: uint32(i), syn: true}
		fl.send(opening, nil)
		fl.repeatLate(opening)
		in, err := fl.next(wait)
		if errors.Is(err, ErrTimeout) {
			continue
		}
		if err != nil {
			return nil, err
		}
		fl.seq++
		fl.peer = in.h.seq
		fl.ack = in.h.seq + 1
		fl.echo = in.h.echo
		fl.send(head{seq: fl.seq, ack: fl.ack, ackOn: true}, nil)
		return fl, nil
	}
	return nil, ErrTimeout
}

// repeatLate has a further copy of an opening arrive later, if the caller says so.
func (fl *Flow) repeatLate(opening head) {
	if fl.c.Late == nil {
		return
	}
	if after, via, ok := fl.c.Late(); ok {
		time.AfterFunc(after, func() { fl.sendVia(via, 0, opening, nil) })
	}
}

// Ask sends a request and returns its answer, repeating what is lost.
func (fl *Flow) Ask(body string, timeout time.Duration) (string, error) {
	return fl.AskAnywhere(body, timeout, func() netip.AddrPort { return fl.Via })
}

// Local returns the caller's end of the flow.
func (fl *Flow) Local() netip.AddrPort { return netip.AddrPortFrom(fl.c.addr, fl.port) }

// Peer returns the target's initial number on the flow.
func (fl *Flow) Peer() uint32 { return fl.peer }

// Cookie returns what the flow's target and its balancers know it by.
func (fl *Flow) Cookie() uint32 { return fl.echo }

// AskAnywhere is Ask with a fabric that may choose another balancer for each
// repeat.
func (fl *Flow) AskAnywhere(body string, timeout time.Duration, via func() netip.AddrPort) (string, error) {
	end := time.Now().Add(timeout)
	for wait := 200 * time.Millisecond; ; wait *= 2 {
		fl.Via = via()
		fl.send(head{seq: fl.seq, ack: fl.ack, ackOn: true}, []byte(body))
		for {
			in, err := fl.next(min(wait, time.Until(end)))
			if errors.Is(err, ErrTimeout) {
				break
			}
			if err != nil {
				return "", err
			}
			if in.body == "" || in.h.seq != fl.ack {
				continue
			}
			fl.seq += uint32(len(body))
			fl.ack += uint32(len(in.body))
			fl.echo = in.h.echo
			fl.send(head{seq: fl.seq, ack: fl.ack, ackOn: true}, nil)
			return in.body, nil
		}
		if time.Now().After(end) {
			return "", ErrTimeout
		}
	}
}

// IsReset reports whether the flow is reset within a time in which nothing is asked
// on it. Nothing else may be under way.
func (fl *Flow) IsReset(within time.Duration) bool {
	_, err := fl.next(within)
	return errors.Is(err, ErrReset)
}

// Close closes the flow.
func (fl *Flow) Close() {
	fl.send(head{seq: fl.seq, ack: fl.ack, ackOn: true, fin: true}, nil)
	fl.c.mu.Lock()
	defer fl.c.mu.Unlock()
	delete(fl.c.flows, fl.port)
}

func (fl *Flow) next(wait time.Duration) (packetIn, error) {
	select {
	case in := <-fl.in:
		if in.h.rst {
			return in, ErrReset
		}
		return in, nil
	case <-time.After(wait):
		return packetIn{}, ErrTimeout
	}
}

func (fl *Flow) send(h head, body []byte) { fl.sendVia(fl.Via, fl.echo, h, body) }

func (fl *Flow) sendVia(via netip.AddrPort, echo uint32, h head, body []byte) {
	h.src, h.dst, h.echo = fl.Local(), fl.to, echo
	_, _ = fl.c.udp.WriteToUDPAddrPort(h.encode(body), via) // lost packets are part of the protocol
}
