package rig2

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// entry is what an endpoint writes into the store, by field.
type entry map[string]any

// Endpoint serves requests that come in flows. A request is a text whose last word says how long
// the work takes, such as "note-7 52ms"; the answer is the text with the endpoint's name.
type Endpoint struct {
	ID   uint64
	Name string
	// Opened, if set, is called for each opening that it takes, with the copy's number.
	Opened func(from netip.AddrPort, copies uint32)

	record  *Record
	store   *Store
	replies uint16 // port at which requesters receive packets
	udp     *net.UDPConn
	tcp     net.Listener
	slots   chan struct{}
	done    chan struct{} // closed at the exit

	mu        sync.Mutex
	entry     entry
	sequence  int
	coldUntil time.Time
	leaving   bool
	listening bool
	working   sync.WaitGroup
	flows     map[[2]netip.AddrPort]*served
	nextISN   uint32
}

// served is a flow at an endpoint.
type served struct {
	key       [2]netip.AddrPort // requester, address of the route
	opening   uint32            // its sequence number
	isn       uint32
	open      bool
	ended     bool
	next      uint32 // next sequence number of the requester
	seq       uint32 // of the next data to send
	acked     uint32
	echo      uint32 // of the last packet received
	lastAsked string
}

// NewEndpoint starts an endpoint at a free port of an address and registers it. It writes its
// entry at each interval of heartbeats.
func NewEndpoint(r *Record, s *Store, id uint64, at netip.Addr, service, zone string, slots int, replies uint16, heartbeat time.Duration) (*Endpoint, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp4", udp.LocalAddr().String())
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		ID: id, Name: fmt.Sprintf("i-%010x", id), record: r, store: s, replies: replies,
		udp: udp, tcp: tcp, slots: make(chan struct{}, slots), done: make(chan struct{}), listening: true,
		flows: map[[2]netip.AddrPort]*served{}, nextISN: 1_000_000 * uint32(id%1000+1),
		entry: entry{"service": service, "address": udp.LocalAddr().String(), "zone": zone, "version": "v1", "slots": slots, "state": "ready"},
	}
	e.write()
	srv := &http.Server{Handler: http.HandlerFunc(e.health), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(tcp) }()
	go e.read()
	go e.beat(heartbeat)
	return e, nil
}

// write writes the entry.
func (e *Endpoint) write() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	e.entry["sequence"] = e.sequence
	e.entry[names.ColdLeft] = max(time.Until(e.coldUntil).Milliseconds(), 0)
	e.store.Put(names.Endpoints+e.Name, e.entry)
}

func (e *Endpoint) beat(every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-t.C:
			e.write()
		}
	}
}

// Cool makes the endpoint cold for some time. Its next entry says so.
func (e *Endpoint) Cool(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(d)
}

// Drain reports that the endpoint leaves. It goes on serving, and closes each flow after its next
// answer.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	e.leaving = true
	e.entry["state"] = "draining"
	e.mu.Unlock()
	e.write()
	e.record.Add("%s draining: acknowledged by the store", e.Name)
}

// Finish ends an endpoint: it takes no connection and no opening any more, works off the requests
// that it has, and exits. Its entry is removed when it has left.
func (e *Endpoint) Finish() {
	e.mu.Lock()
	e.listening = false
	e.mu.Unlock()
	_ = e.tcp.Close()
	e.record.Add("%s listens no more and finishes the requests that it has", e.Name)
	e.working.Wait()
	close(e.done)
	time.Sleep(50 * time.Millisecond) // for the last acknowledgements
	_ = e.udp.Close()
	e.store.Remove(names.Endpoints + e.Name)
	e.record.Add("%s has left", e.Name)
}

// Close ends the endpoint at the end of a play.
func (e *Endpoint) Close() {
	_ = e.tcp.Close()
	_ = e.udp.Close()
}

// health answers 200 while the endpoint is not leaving.
func (e *Endpoint) health(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	e.slots <- struct{}{}
	time.Sleep(time.Millisecond)
	<-e.slots
	w.Header().Set(names.EndpointHeader, e.Name)
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Endpoint) read() {
	buf := make([]byte, 2048)
	for {
		n, err := e.udp.Read(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if id := binary.BigEndian.Uint64(buf); id != 0 && id != e.ID {
			continue
		}
		if p, ok := decode(buf[8:n]); ok && p.intact() {
			e.handle(&p)
		}
	}
}

func (e *Endpoint) handle(p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := [2]netip.AddrPort{p.src, p.dst}
	fl := e.flows[key]
	switch {
	case p.has(flagSYN):
		e.accept(key, fl, p)
	case p.has(flagRST):
		delete(e.flows, key)
	case fl == nil || fl.ended || !fl.open && (!p.has(flagACK) || p.ack != fl.isn+1):
		if fl != nil && fl.ended && p.has(flagFIN) {
			e.send(fl, packet{seq: fl.seq, ack: p.seq + 1, flags: flagACK})
			return
		}
		e.record.Add("%s resets %s, a flow that it does not hold", e.Name, p.src)
		e.reply(p, packet{seq: p.ack, flags: flagRST})
	default:
		e.follow(fl, p)
	}
}

// accept answers an opening. A copy gets the same answer.
func (e *Endpoint) accept(key [2]netip.AddrPort, fl *served, p *packet) {
	if !e.listening {
		e.reply(p, packet{seq: p.ack, flags: flagRST})
		return
	}
	if e.Opened != nil {
		e.Opened(p.src, p.ack)
	}
	if fl != nil && fl.opening == p.seq {
		fl.echo = p.echo
		e.send(fl, packet{seq: fl.isn, ack: fl.next, flags: flagSYN | flagACK})
		return
	}
	e.nextISN += 100_000
	fl = &served{key: key, opening: p.seq, isn: e.nextISN, next: p.seq + 1, seq: e.nextISN + 1, acked: e.nextISN, echo: p.echo}
	e.flows[key] = fl
	e.transmit(fl, packet{seq: fl.isn, ack: fl.next, flags: flagSYN | flagACK})
}

// follow handles a packet of a flow that the endpoint holds.
func (e *Endpoint) follow(fl *served, p *packet) {
	fl.echo = p.echo
	fl.open = true
	if p.has(flagACK) && after(p.ack, fl.acked) {
		fl.acked = p.ack
	}
	if len(p.data) > 0 && p.seq == fl.next {
		fl.next += uint32(len(p.data))
		fl.lastAsked = string(p.data)
		e.working.Add(1)
		go e.run(fl, fl.lastAsked)
		return
	}
	if p.has(flagFIN) && p.seq == fl.next {
		fl.next++
		e.send(fl, packet{seq: fl.seq, ack: fl.next, flags: flagACK})
		e.transmit(fl, packet{seq: fl.seq, ack: fl.next, flags: flagFIN | flagACK})
		fl.ended = true
	}
}

// run works on a request and answers it.
func (e *Endpoint) run(fl *served, text string) {
	defer e.working.Done()
	e.slots <- struct{}{}
	e.record.Add("%s begins to run %q", e.Name, text)
	work, _ := time.ParseDuration(text[strings.LastIndexByte(text, ' ')+1:])
	time.Sleep(work)
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := packet{seq: fl.seq, ack: fl.next, flags: flagACK, data: []byte(text + " by " + e.Name)}
	if e.leaving {
		answer.flags |= flagFIN
		fl.ended = true
	}
	fl.seq += uint32(len(answer.data))
	e.transmit(fl, answer)
	e.record.Add("%s has run %q and answers", e.Name, text)
}

// transmit sends a packet, and again until it is acknowledged: after 200 ms, then after twice as
// long each time up to 1.6 s, 8 times. e.mu is held.
func (e *Endpoint) transmit(fl *served, p packet) {
	e.send(fl, p)
	end := p.seq + uint32(len(p.data))
	if p.has(flagSYN) || p.has(flagFIN) {
		end++
	}
	go func() {
		wait := 200 * time.Millisecond
		for range 8 {
			time.Sleep(wait)
			wait = min(2*wait, 1600*time.Millisecond)
			e.mu.Lock()
			if !after(end, fl.acked) || e.flows[fl.key] != fl {
				e.mu.Unlock()
				return
			}
			e.send(fl, p)
			e.mu.Unlock()
		}
	}()
}

func (e *Endpoint) send(fl *served, p packet) {
	p.echo = fl.echo
	e.sendTo(fl.key[1], fl.key[0], p)
}

// reply answers a packet of a flow that the endpoint does not hold.
func (e *Endpoint) reply(to *packet, p packet) {
	p.echo = to.echo
	e.sendTo(to.dst, to.src, p)
}

func (e *Endpoint) sendTo(from, to netip.AddrPort, p packet) {
	p.src, p.dst = from, to
	p.sign()
	_, _ = e.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(to.Addr(), e.replies))
}
