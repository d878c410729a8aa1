package forward

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/readfail"
	"rosedale.dev/rosedale/internal/router"
)

// worker is one traffic goroutine with its buffers.
type worker struct {
	plane   *Plane
	conn    batcher
	in      []ipv4.Message // receive buffers
	send    []ipv4.Message
	headers [][]byte                        // Geneve headers of send
	addrs   map[netip.AddrPort]*net.UDPAddr // reused, to send without allocating
	out     router.Output
	errors  readfail.Streak // of reads
}

// maxCachedAddrs is the maximum number of entries of worker.addrs.
const maxCachedAddrs = 1 << 16

func newWorker(p *Plane, c *net.UDPConn) *worker {
	w := &worker{plane: p, conn: batch(c, p.cfg.Listen), addrs: map[netip.AddrPort]*net.UDPAddr{}}
	w.in = make([]ipv4.Message, batchSize)
	for i := range w.in {
		w.in[i].Buffers = [][]byte{make([]byte, maxDatagram)}
	}
	return w
}

func (w *worker) run() {
	for {
		n, err := w.conn.ReadBatch(w.in, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !w.readFailed(err) {
				return
			}
			continue
		}
		w.errors.Succeeded()
		w.out.Reset()
		w.plane.Received.Add(uint64(n))
		for i := range n {
			w.handle(&w.in[i])
		}
		w.flush()
		w.report()
	}
}

// readFailed handles a read error. It returns false if the process is to end.
func (w *worker) readFailed(err error) bool {
	w.plane.ReadErrors.Add(1)
	v := w.errors.Failed(w.plane.Now())
	if v.First && w.plane.cfg.ReadFailed != nil {
		w.plane.cfg.ReadFailed(err)
	}
	if v.GiveUp {
		w.plane.fail(err)
		return false
	}
	time.Sleep(v.Pause)
	return true
}

func (w *worker) handle(m *ipv4.Message) {
	b := m.Buffers[0][:m.N]
	if w.plane.cfg.Relay.IsValid() {
		w.out.Actions = append(w.out.Actions, router.Action{To: router.ToPeer, Packet: b})
		return
	}
	d, err := geneve.Parse(b)
	if err != nil {
		w.plane.router.Increment(router.GeneveReason(err))
		return
	}
	ua, ok := m.Addr.(*net.UDPAddr)
	if !ok {
		return
	}
	src, _ := netip.AddrFromSlice(ua.IP)
	src = src.Unmap()
	if !w.plane.trusted(src, &d) {
		w.plane.router.Increment(router.DropForeignSource)
		return
	}
	now := w.plane.Now()
	if !d.HasHop {
		w.plane.lastFabric.Store(int64(now))
	}
	w.plane.router.Handle(now, src, &d, &w.out)
}

// report passes the collected decisions to Config.Decided.
func (w *worker) report() {
	if w.plane.cfg.Decided == nil {
		return
	}
	for i := range w.out.Decisions {
		w.plane.cfg.Decided(&w.out.Decisions[i])
	}
}

// flush sends the collected actions in batches.
func (w *worker) flush() {
	acts := w.out.Actions
	for len(acts) > 0 {
		n := min(len(acts), batchSize)
		w.fill(acts[:n])
		w.write(w.send[:n])
		acts = acts[n:]
	}
}

func (w *worker) fill(acts []router.Action) {
	for len(w.send) < len(acts) {
		w.send = append(w.send, ipv4.Message{Buffers: make([][]byte, 2)})
		w.headers = append(w.headers, make([]byte, 0, 64))
	}
	for i := range acts {
		a := &acts[i]
		head, dst := w.encode(w.headers[i][:0], a)
		w.headers[i] = head
		m := &w.send[i]
		m.Buffers[0], m.Buffers[1] = head, a.Packet
		m.Addr = w.addr(dst)
	}
}

// encode returns the Geneve header of an action and the address to send it to.
func (w *worker) encode(head []byte, a *router.Action) ([]byte, netip.AddrPort) {
	switch {
	case w.plane.cfg.Relay.IsValid():
		return head, w.plane.cfg.Relay
	case a.To == router.ToTarget:
		return geneve.AppendHeader(head, a.VNI, nil, a.Packet), netip.AddrPortFrom(a.Target, geneve.Port)
	case a.To == router.ToCaller:
		return geneve.AppendHeader(head, 0, nil, a.Packet), w.plane.cfg.Fabric
	}
	return geneve.AppendHeader(head, a.VNI, &a.Hop, a.Packet), a.Peer
}

func (w *worker) addr(ap netip.AddrPort) *net.UDPAddr {
	if a := w.addrs[ap]; a != nil {
		return a
	}
	if len(w.addrs) >= maxCachedAddrs {
		clear(w.addrs)
	}
	a := net.UDPAddrFromAddrPort(ap)
	w.addrs[ap] = a
	return a
}

// write sends ms. A datagram that cannot be sent is counted and skipped, so
// that one bad destination does not delay the others.
func (w *worker) write(ms []ipv4.Message) {
	for len(ms) > 0 {
		n, err := w.conn.WriteBatch(ms, 0)
		if n < 0 {
			n = 0
		}
		w.plane.Sent.Add(uint64(n))
		ms = ms[n:]
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil && len(ms) > 0 {
			w.plane.SendErrors.Add(1)
			ms = ms[1:]
		}
	}
}
