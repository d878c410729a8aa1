// Package target is the stand-in for the services' targets. Each endpoint has
// its own TCP stack behind a decapsulating socket, accepts connections and
// requests up to its limits, counts the requests that it executes, and injects
// faults on request.
package target

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
	"rosedale.dev/rosedale/internal/standin/netstack"
)

// Endpoint is the stand-in for one target of one service.
type Endpoint struct {
	Service   *catalogue.Service
	Target    catalogue.Target
	fabric    *net.UDPAddr
	sock      *net.UDPConn
	net       *netstack.Net
	rec       *Records
	classes   map[netip.AddrPort]catalogue.Class
	listeners map[netip.AddrPort]*listener

	mu       sync.Mutex
	injected Behaviour
	silenced map[connection]bool // connections whose packets are dropped in both directions
	pending  handshakes          // connections whose handshake has not ended
	stats    Stats
}

// Behaviour holds the faults that an experiment can inject at an endpoint.
type Behaviour struct {
	Shed    bool          `json:"shed"`    // reset every opening
	Paused  bool          `json:"paused"`  // drop every packet
	Slow    time.Duration `json:"slow"`    // added to the work of each request
	Lie     bool          `json:"lie"`     // report healthy and idle regardless of the real state
	Sick    bool          `json:"sick"`    // report unhealthy
	CutFrom []string      `json:"cutFrom"` // prefixes of outer source addresses whose packets are dropped
}

// Stats holds an endpoint's counters.
type Stats struct {
	Service     string `json:"service"`
	Target      string `json:"target"`
	DataCenter  string `json:"dataCenter"`
	Streams     int    `json:"streams"`     // open at present
	Slots       int    `json:"slots"`       // in use at present
	MaxSlots    int    `json:"maxSlots"`    // largest value of Slots so far
	Opened      int    `json:"opened"`      // connections accepted
	Shed        int    `json:"shed"`        // openings reset for lack of capacity or by Behaviour.Shed
	Executed    int    `json:"executed"`    // requests executed
	WrongNumber int    `json:"wrongNumber"` // packets dropped because they carried another service's number
}

func newEndpoint(ctx context.Context, s *catalogue.Service, t catalogue.Target, fabric *net.UDPAddr, rec *Records) (*Endpoint, error) {
	sock, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(t.Address, geneve.Port)))
	if err != nil {
		return nil, errors.Wrapf(err, "target: listen for %s", t.Address)
	}
	e := &Endpoint{
		Service: s, Target: t, fabric: fabric, sock: sock, rec: rec,
		classes:   map[netip.AddrPort]catalogue.Class{},
		listeners: map[netip.AddrPort]*listener{},
		silenced:  map[connection]bool{},
		pending:   handshakes{},
	}
	e.stats = Stats{Service: s.Name, Target: t.Address.String(), DataCenter: t.DataCenter}
	var addrs []netip.Addr
	seen := map[netip.Addr]bool{}
	for _, a := range s.Addresses {
		e.classes[a.Address] = a.Class
		if !seen[a.Address.Addr()] {
			seen[a.Address.Addr()] = true
			addrs = append(addrs, a.Address.Addr())
		}
	}
	if e.net, err = netstack.New(ctx, addrs, e.sendInner); err != nil {
		return nil, err
	}
	const maxInFlight = 1024 // openings in progress, and connections that wait for an http.Server
	f := tcp.NewForwarder(e.net.Stack, 0, maxInFlight, e.accept)
	e.net.Stack.SetTransportProtocolHandler(tcp.ProtocolNumber, f.HandlePacket)
	for a, c := range e.classes {
		l := &listener{addr: a, accepted: make(chan net.Conn, maxInFlight)}
		e.listeners[a] = l
		srv := &http.Server{Handler: e.handler(c)}
		go func() { _ = srv.Serve(l) }()
	}
	go e.receive()
	return e, nil
}

// accept accepts or resets an opening packet. It resets it when the endpoint is
// at its limit or set to shed load, as a listener with a full backlog or a
// load-shedding policy would, and when the address is not one of the service's.
func (e *Endpoint) accept(r *tcp.ForwarderRequest) {
	id := r.ID()
	local, _ := netip.AddrFromSlice(id.LocalAddress.AsSlice())
	address := netip.AddrPortFrom(local, id.LocalPort)
	class, ok := e.classes[address]
	if !ok || !e.admit(class) {
		r.Complete(true)
		return
	}
	var wq waiter.Queue
	ep, terr := r.CreateEndpoint(&wq)
	if terr != nil {
		r.Complete(true)
		e.release(class)
		return
	}
	r.Complete(false)
	c := &countedConn{TCPConn: gonet.NewTCPConn(&wq, ep), onClose: func() { e.release(class) }}
	e.listeners[address].accepted <- c
}

// admit reserves a slot or connection and reports whether one was free.
func (e *Endpoint) admit(c catalogue.Class) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	full := e.stats.Slots >= e.Service.Limits.Slots
	if !c.UsesSlots() {
		full = e.stats.Streams >= e.Service.Limits.Connections
	}
	if full || e.injected.Shed {
		e.stats.Shed++
		return false
	}
	e.stats.Opened++
	if c.UsesSlots() {
		e.stats.Slots++
		e.stats.MaxSlots = max(e.stats.MaxSlots, e.stats.Slots)
	} else {
		e.stats.Streams++
	}
	return true
}

// release frees what admit reserved.
func (e *Endpoint) release(c catalogue.Class) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.UsesSlots() {
		e.stats.Slots--
	} else {
		e.stats.Streams--
	}
}

func (e *Endpoint) behaviour() Behaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.injected
}

func (e *Endpoint) receive() {
	b := make([]byte, 1<<16)
	for {
		n, from, err := e.sock.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		d, err := geneve.Parse(b[:n])
		if err != nil {
			continue
		}
		seg, err := packet.Parse(d.Inner)
		if err != nil || e.shouldDrop(from.Addr().Unmap(), d.VNI, &seg) || e.resetUnexpected(&seg) {
			continue
		}
		e.net.Inject(d.Inner)
	}
}

// shouldDrop reports whether a received packet is dropped, because it carries
// another service's number (Geneve VNI) or an injected fault applies to it.
func (e *Endpoint) shouldDrop(from netip.Addr, number uint32, seg *packet.Segment) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number != e.Service.Number {
		e.stats.WrongNumber++
		return true
	}
	for _, p := range e.injected.CutFrom {
		if pre, err := netip.ParsePrefix(p); err == nil && pre.Contains(from) {
			return true
		}
	}
	return e.injected.Paused || e.silenced[connection{caller: seg.Src, address: seg.Dst}]
}

// resetUnexpected answers a packet with a reset and returns true if it
// acknowledges a sequence number that the endpoint did not send, so that it
// belongs to another target's connection.
func (e *Endpoint) resetUnexpected(seg *packet.Segment) bool {
	e.mu.Lock()
	unexpectedAck := e.pending.unexpectedAck(seg)
	e.mu.Unlock()
	if unexpectedAck {
		e.logReset("unexpected acknowledgement", seg.Src, seg.Ack, 0)
		e.transmit(packet.ResetTo(seg))
	}
	return unexpectedAck
}

// logReset reports on standard output a reset that the target sends to a caller.
func (e *Endpoint) logReset(reason string, caller netip.AddrPort, seq, ack uint32) {
	fmt.Printf("%s target %s resets %s: %s, seq %d ack %d\n", time.Now().Format(time.StampMicro), e.Target.Address, caller, reason, seq, ack)
}

// sendInner sends a packet that the TCP stack produced, unless a fault drops it.
func (e *Endpoint) sendInner(b []byte) {
	seg, err := packet.Parse(b)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.pending.recordSent(&seg)
	if seg.IsReset() {
		e.logReset("sent by the TCP stack", seg.Dst, seg.Seq, seg.Ack)
	}
	drop := e.injected.Paused || e.silenced[connection{caller: seg.Dst, address: seg.Src}]
	e.mu.Unlock()
	if !drop {
		e.transmit(b)
	}
}

// transmit encapsulates a packet and sends it to the fabric.
func (e *Endpoint) transmit(b []byte) {
	_, _ = e.sock.WriteToUDP(geneve.Append(nil, e.Service.Number, nil, b), e.fabric)
}

// silenceStreams drops all further packets of n open streams in both directions.
// If fewer than n are open, it silences none and returns false.
func (e *Endpoint) silenceStreams(n int) bool {
	openStreams := e.rec.openStreams(e)
	if len(openStreams) < n {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range openStreams[:n] {
		e.silenced[c] = true
	}
	return true
}
