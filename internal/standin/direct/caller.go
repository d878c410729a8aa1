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
	ErrTimeout = errors.New("no answer before the timeout")
	ErrNotRun  = errors.New("target did not run the request")
)

// resetWindow is how far the sequence number of a reset may be from the caller's last
// acknowledgement. Callers of the platform ignore other resets on an open flow, such as one
// that answers a late copy of the opening: its sequence number is that of the copy's
// acknowledgement field, 0 to 2.
const resetWindow = 76_800

// Caller is a stand-in caller. It opens flows from one address, each from a port of
// its own.
type Caller struct {
	// LateCopy decides whether a further copy of an opening is sent (ok), how long after
	// it and through which balancer. If it is nil, none is sent.
	LateCopy func() (after time.Duration, via netip.AddrPort, ok bool)

	addr netip.Addr
	udp  *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*Flow
}

// Flow is a caller's connection to a service address.
type Flow struct {
	c    *Caller
	port uint16
	to   netip.AddrPort
	// Via is the balancer to which the fabric sends the flow's packets.
	Via       netip.AddrPort
	seq       uint32 // of the next data to send
	ack       uint32 // next sequence number expected from the target
	open      bool   // the target has accepted the flow
	echo      uint32 // cookie from the last packet received, repeated in each packet sent
	targetISN uint32 // the target's initial sequence number
	received  chan receivedPacket
}

type receivedPacket struct {
	h    header
	body string
}

// NewCaller returns a caller that listens at addr on port, to which balancers and
// targets send packets for callers.
func NewCaller(addr netip.Addr, port uint16) (*Caller, error) {
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, port)))
	if err != nil {
		return nil, err
	}
	c := &Caller{addr: addr, udp: u, port: 1024, flows: map[uint16]*Flow{}}
	go c.read()
	return c, nil
}

// Close closes the caller's socket.
func (c *Caller) Close() { _ = c.udp.Close() }

func (c *Caller) read() {
	buf := make([]byte, 2048)
	for {
		n, err := c.udp.Read(buf)
		if err != nil {
			return
		}
		h, body, ok := parsePacket(buf[:n])
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
		case fl.received <- receivedPacket{h, string(body)}:
		default: // the buffer is full because the flow is not read any more; the packet is dropped
		}
	}
}

// Open opens a flow to a service address through a balancer. As callers of the platform
// do, it sends the opening up to three times, each time with the number of earlier copies
// in the acknowledgement field. It waits 200, 400 and 800 ms for an answer, and returns
// ErrTimeout if there is none or ErrReset if the flow is refused. With an error it also
// returns the flow, whose Local address identifies it in the balancers' logs.
func (c *Caller) Open(to, via netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.port++
	fl := &Flow{c: c, port: c.port, to: to, Via: via, seq: 100, received: make(chan receivedPacket, 32)}
	c.flows[c.port] = fl
	c.mu.Unlock()
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		opening := header{seq: fl.seq, ack: uint32(i), syn: true}
		fl.send(opening, nil)
		fl.sendLateCopy(opening)
		received, err := fl.receive(wait)
		if errors.Is(err, ErrTimeout) {
			continue
		}
		if err != nil {
			return fl, err
		}
		fl.seq++
		fl.open = true
		fl.targetISN = received.h.seq
		fl.ack = received.h.seq + 1
		fl.echo = received.h.echo
		fl.send(header{seq: fl.seq, ack: fl.ack, hasAck: true}, nil)
		return fl, nil
	}
	return fl, ErrTimeout
}

// sendLateCopy sends a further copy of an opening later, if the caller's LateCopy
// asks for one.
func (fl *Flow) sendLateCopy(opening header) {
	if fl.c.LateCopy == nil {
		return
	}
	if after, via, ok := fl.c.LateCopy(); ok {
		time.AfterFunc(after, func() { fl.sendVia(via, 0, opening, nil) })
	}
}

// Ask sends a request and returns its answer. It retransmits the request with
// increasing intervals until the timeout, and then returns ErrTimeout. It returns
// ErrNotRun if the target answered that it did not run the request.
func (fl *Flow) Ask(body string, timeout time.Duration) (string, error) {
	return fl.AskVia(body, timeout, func() netip.AddrPort { return fl.Via })
}

// Local returns the flow's address and port at the caller.
func (fl *Flow) Local() netip.AddrPort { return netip.AddrPortFrom(fl.c.addr, fl.port) }

// TargetISN returns the target's initial sequence number on the flow.
func (fl *Flow) TargetISN() uint32 { return fl.targetISN }

// Cookie returns the flow's cookie, by which its target and the balancers identify it.
func (fl *Flow) Cookie() uint32 { return fl.echo }

// AskVia is like Ask, but via chooses the balancer for each transmission of the request,
// as the fabric may.
func (fl *Flow) AskVia(body string, timeout time.Duration, via func() netip.AddrPort) (string, error) {
	end := time.Now().Add(timeout)
	for wait := 200 * time.Millisecond; ; wait *= 2 {
		fl.Via = via()
		fl.send(header{seq: fl.seq, ack: fl.ack, hasAck: true}, []byte(body))
		for {
			received, err := fl.receive(min(wait, time.Until(end)))
			if errors.Is(err, ErrTimeout) {
				break
			}
			if err != nil {
				return "", err
			}
			if received.body == "" || received.h.seq != fl.ack {
				continue
			}
			fl.seq += uint32(len(body))
			fl.ack += uint32(len(received.body))
			fl.echo = received.h.echo
			fl.send(header{seq: fl.seq, ack: fl.ack, hasAck: true}, nil)
			if received.body == notRun {
				return "", ErrNotRun
			}
			return received.body, nil
		}
		if time.Now().After(end) {
			return "", ErrTimeout
		}
	}
}

// IsReset reports whether the flow is reset within the given time. No request may be
// in flight on it.
func (fl *Flow) IsReset(within time.Duration) bool {
	_, err := fl.receive(within)
	return errors.Is(err, ErrReset)
}

// Close sends a FIN. Packets of the flow that arrive later are ignored.
func (fl *Flow) Close() {
	fl.send(header{seq: fl.seq, ack: fl.ack, hasAck: true, fin: true}, nil)
	fl.c.mu.Lock()
	defer fl.c.mu.Unlock()
	delete(fl.c.flows, fl.port)
}

// receive returns the next packet, with ErrReset if it is a reset, or ErrTimeout. Resets that
// callers of the platform ignore are skipped.
func (fl *Flow) receive(wait time.Duration) (receivedPacket, error) {
	end := time.After(wait)
	for {
		select {
		case received := <-fl.received:
			switch {
			case !received.h.rst:
				return received, nil
			case fl.acceptsReset(received.h):
				return received, ErrReset
			}
		case <-end:
			return receivedPacket{}, ErrTimeout
		}
	}
}

// acceptsReset reports whether a reset ends the flow.
func (fl *Flow) acceptsReset(h header) bool {
	distance := int32(h.seq - fl.ack) // sequence numbers wrap
	return !fl.open || -resetWindow <= distance && distance <= resetWindow
}

func (fl *Flow) send(h header, body []byte) { fl.sendVia(fl.Via, fl.echo, h, body) }

func (fl *Flow) sendVia(via netip.AddrPort, echo uint32, h header, body []byte) {
	h.src, h.dst, h.echo = fl.Local(), fl.to, echo
	_, _ = fl.c.udp.WriteToUDPAddrPort(h.encode(body), via) // packet loss is part of the protocol
}
