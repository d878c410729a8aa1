// Package target is the stand-in for the services' targets: each endpoint has
// its own TCP stack behind a decapsulating socket, takes as many connections
// and requests as its limits say, counts what it runs, and misbehaves on
// demand.
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

// Endpoint is one target of one service.
type Endpoint struct {
	Service *catalogue.Service
	Target  catalogue.Target
	fabric  *net.UDPAddr
	sock    *net.UDPConn
	net     *netstack.Net
	rec     *Records
	classes map[netip.AddrPort]catalogue.Class
	conns   map[netip.AddrPort]*listener

	mu    sync.Mutex
	set   Behaviour
	lost  map[connection]bool // forgotten connections
	begun handshakes
	stats Stats
}

// Behaviour is what an experiment can set at an endpoint.
type Behaviour struct {
	Shed    bool          `json:"shed"`    // reset every opening
	Paused  bool          `json:"paused"`  // drop every packet
	Slow    time.Duration `json:"slow"`    // added to the work of each request
	Lie     bool          `json:"lie"`     // report healthy and idle whatever happens
	Sick    bool          `json:"sick"`    // report unhealthy
	CutFrom []string      `json:"cutFrom"` // outer sources whose packets are lost, as prefixes
}

// Stats counts an endpoint's work.
type Stats struct {
	Service     string `json:"service"`
	Target      string `json:"target"`
	DataCenter  string `json:"dataCenter"`
	Streams     int    `json:"streams"` // open now
	Slots       int    `json:"slots"`   // in use now
	MaxSlots    int    `json:"maxSlots"`
	Opened      int    `json:"opened"`
	Shed        int    `json:"shed"`
	Executed    int    `json:"executed"`
	WrongNumber int    `json:"wrongNumber"`
}

func newEndpoint(ctx context.Context, s *catalogue.Service, t catalogue.Target, fabric *net.UDPAddr, rec *Records) (*Endpoint, error) {
	sock, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(t.Address, geneve.Port)))
	if err != nil {
		return nil, errors.Wrapf(err, "target: listen for %s", t.Address)
	}
	e := &Endpoint{
		Service: s, Target: t, fabric: fabric, sock: sock, rec: rec,
		classes: map[netip.AddrPort]catalogue.Class{},
		conns:   map[netip.AddrPort]*listener{},
		lost:    map[connection]bool{},
		begun:   handshakes{},
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
	if e.net, err = netstack.New(ctx, addrs, e.send); err != nil {
		return nil, err
	}
	const maxInFlight = 1024
	f := tcp.NewForwarder(e.net.Stack, 0, maxInFlight, e.accept)
	e.net.Stack.SetTransportProtocolHandler(tcp.ProtocolNumber, f.HandlePacket)
	for a, c := range e.classes {
		l := &listener{addr: a, ch: make(chan net.Conn, maxInFlight)}
		e.conns[a] = l
		srv := &http.Server{Handler: e.handler(c)}
		go func() { _ = srv.Serve(l) }()
	}
	go e.receive()
	return e, nil
}

// accept decides on an opening packet as a listener with a full backlog or a
// load-shedding policy would.
func (e *Endpoint) accept(r *tcp.ForwarderRequest) {
	id := r.ID()
	local, _ := netip.AddrFromSlice(id.LocalAddress.AsSlice())
	at := netip.AddrPortFrom(local, id.LocalPort)
	class, ok := e.classes[at]
	if !ok || !e.take(class) {
		r.Complete(true)
		return
	}
	var wq waiter.Queue
	ep, terr := r.CreateEndpoint(&wq)
	if terr != nil {
		r.Complete(true)
		e.give(class)
		return
	}
	r.Complete(false)
	c := &countedConn{TCPConn: gonet.NewTCPConn(&wq, ep), done: func() { e.give(class) }}
	e.conns[at].ch <- c
}

func (e *Endpoint) take(c catalogue.Class) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	full := e.stats.Slots >= e.Service.Limits.Slots
	if !c.UsesSlots() {
		full = e.stats.Streams >= e.Service.Limits.Connections
	}
	if full || e.set.Shed {
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

func (e *Endpoint) give(c catalogue.Class) {
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
	return e.set
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
		if err != nil || e.drops(from.Addr().Unmap(), d.VNI, &seg) || e.resets(&seg) {
			continue
		}
		e.net.Inject(d.Inner)
	}
}

func (e *Endpoint) drops(from netip.Addr, number uint32, seg *packet.Segment) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number != e.Service.Number {
		e.stats.WrongNumber++
		return true
	}
	for _, p := range e.set.CutFrom {
		if pre, err := netip.ParsePrefix(p); err == nil && pre.Contains(from) {
			return true
		}
	}
	return e.set.Paused || e.lost[connection{caller: seg.Src, address: seg.Dst}]
}

// resets answers a packet with a reset if it belongs to another target's
// connection.
func (e *Endpoint) resets(seg *packet.Segment) bool {
	e.mu.Lock()
	strange := e.begun.strange(seg)
	e.mu.Unlock()
	if strange {
		e.logReset("strange acknowledgement", seg.Src, seg.Ack, 0)
		e.transmit(packet.ResetTo(seg))
	}
	return strange
}

// logReset tells on standard output of a reset that the target sends to a caller.
func (e *Endpoint) logReset(why string, caller netip.AddrPort, seq, ack uint32) {
	fmt.Printf("%s target %s resets %s: %s, seq %d ack %d\n", time.Now().Format(time.StampMicro), e.Target.Address, caller, why, seq, ack)
}

// send takes a packet of the TCP stack.
func (e *Endpoint) send(b []byte) {
	seg, err := packet.Parse(b)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.begun.sent(&seg)
	if seg.IsReset() {
		e.logReset("by its stack", seg.Dst, seg.Seq, seg.Ack)
	}
	drop := e.set.Paused || e.lost[connection{caller: seg.Dst, address: seg.Src}]
	e.mu.Unlock()
	if !drop {
		e.transmit(b)
	}
}

func (e *Endpoint) transmit(b []byte) {
	_, _ = e.sock.WriteToUDP(geneve.Append(nil, e.Service.Number, nil, b), e.fabric)
}

// lose makes n open streams go silent: nothing about them passes any more. It
// loses none and returns false if fewer are open.
func (e *Endpoint) lose(n int) bool {
	open := e.rec.open(e)
	if len(open) < n {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range open[:n] {
		e.lost[c] = true
	}
	return true
}
