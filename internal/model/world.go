// Package model explores the core protocol exhaustively within bounds: a few
// balancers that run the real router, targets and a caller reduced to what TCP
// decides, and a network that loses, doubles and reorders packets and hands
// each to any balancer, while views change at different moments and balancers
// die. docs/spec/core.md states what is checked.
package model

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/netip"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
	"rosedale.dev/rosedale/internal/router"
)

// Bounds limits what may happen in one run of the model.
type Bounds struct {
	Balancers int
	Targets   int
	Losses    int
	Doubles   int
	Ticks     int // for each balancer, of tickStep
	Resends   int // of the caller
	Sheds     int
	Crashes   int
	Joins     int // the last balancers join one by one, seen at different times
	Depth     int
	States    int // stop after this many
	Class     catalogue.Class
	Callers   int  // 1 if zero
	Slots     int  // of each target, 2 if zero
	Drains    int  // the first targets drain one by one, seen at different times
	BareAcks  bool // targets answer repeated openings with bare acknowledgements
	Alone     bool // a broken variant: no balancer knows of the others
	Hasty     bool // a broken variant: a target is reset as soon as its SYN-ACK is dropped
}

func (b Bounds) defaults() Bounds {
	b.Callers = max(b.Callers, 1)
	if b.Slots == 0 {
		b.Slots = 2
	}
	return b
}

// views is the number of changes of the view.
func (b Bounds) views() int { return max(b.Joins, b.Drains) }

// serving is how many balancers serve in view n.
func (b Bounds) serving(n int) int { return b.Balancers - b.Joins + min(n, b.Joins) }

const (
	tickStep = 260 * time.Millisecond
	deadline = 2 * time.Second
	service  = 101
	// maxFlows is far more than a run's flows, which share few parts of the table.
	maxFlows = 1 << 16
)

var serviceAddress = netip.MustParseAddrPort("203.0.113.10:80")

// where a packet in flight is going.
type where int

const (
	toFabric  where = iota // from the caller: any balancer may get it
	fromPeer               // to the balancer index
	toTarget               // to the target index
	answering              // from the target index: any balancer may get it
	toCaller
	handover // to the balancer index
)

// flight is a packet or handover in flight.
type flight struct {
	where  where
	index  int
	vni    uint32
	hop    geneve.Hop
	hasHop bool
	sender int // the target that built it, -1 otherwise
	b      []byte
	moved  []router.Moved
}

func (f *flight) key() string {
	return fmt.Sprintf("%d %d %d %v %d %x %v", f.where, f.index, f.vni, f.hop, f.sender, f.b, f.moved)
}

// balancer is a router with its own clock and its own view.
type balancer struct {
	r        *router.Router
	now      time.Duration
	view     int
	ticks    int
	dead     bool
	answered []*atomic.Int64 // by target identifier
	// sawDeaths: its view leaves dead balancers out.
	sawDeaths bool
}

func newBalancer(targets int) *balancer {
	b := &balancer{now: time.Second, r: router.New(router.Settings{MaxFlows: maxFlows, AliveInterval: time.Hour})}
	for range targets + 1 {
		b.answered = append(b.answered, new(atomic.Int64))
	}
	return b
}

// world is one state of the model.
type world struct {
	b         Bounds
	balancers []*balancer
	targets   []*target
	callers   []*caller
	net       []flight
	budget    Bounds // what is left
	out       router.Output
}

func newWorld(b Bounds) *world {
	b = b.defaults()
	w := &world{b: b, budget: b}
	for i := range b.Callers {
		w.callers = append(w.callers, newCaller(i))
	}
	for i := range b.Targets {
		w.targets = append(w.targets, &target{
			index: i, number: service, addr: netip.AddrFrom4([4]byte{127, 10, 1, byte(i + 1)}),
			conns: map[netip.AddrPort]conn{}, runs: map[netip.AddrPort]int{}, closes: b.Class.UsesSlots(), bareAcks: b.BareAcks,
		})
	}
	for range b.Balancers {
		w.balancers = append(w.balancers, newBalancer(b.Targets))
	}
	for i := range w.balancers {
		w.setView(i, 0)
	}
	for _, c := range w.callers {
		c.phase = synSent
		w.send(flight{where: toFabric, sender: -1, b: c.syn()})
	}
	return w
}

func nodeName(i int) string { return fmt.Sprintf("vault-a-%d", i+1) }

func nodeAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 10, 0, byte(i + 1)}) }

func (w *world) send(f flight) { w.net = append(w.net, f) }

// deliver hands a packet to balancer i.
func (w *world) deliver(i int, f flight) {
	b := w.balancers[i]
	if b.dead {
		return
	}
	w.out.Reset()
	if f.where == handover {
		b.r.Take(b.now, f.moved, &w.out)
		w.apply(f.sender)
		return
	}
	d := geneve.Datagram{VNI: f.vni, Hop: f.hop, HasHop: f.hasHop, Inner: f.b}
	src := netip.MustParseAddr("127.0.9.1")
	if f.where == answering {
		src = w.targets[f.index].addr
	}
	b.r.Alive(b.now)
	dropped := b.r.Count(router.DropLateAccept)
	b.r.Handle(b.now, src, &d, &w.out)
	w.apply(f.sender)
	if w.b.Hasty && b.r.Count(router.DropLateAccept) > dropped {
		w.resetSender(&f)
	}
}

// resetSender resets the target that sent a SYN-ACK.
func (w *world) resetSender(f *flight) {
	if seg, err := packet.Parse(f.b); err == nil {
		w.send(flight{where: toTarget, index: f.sender, vni: service, sender: -1, b: packet.ResetTo(&seg)})
	}
}

// apply puts a router's actions on the network. Packets that a router built
// itself have no target as their sender.
func (w *world) apply(sender int) {
	for _, a := range w.out.Actions {
		f := flight{vni: a.VNI, sender: sender, b: append([]byte(nil), a.Packet...)}
		switch a.To {
		case router.ToCaller:
			f.where = toCaller
		case router.ToTarget:
			f.where = toTarget
			for _, t := range w.targets {
				if t.addr == a.Target {
					f.index = t.index
				}
			}
		case router.ToPeer:
			f.where, f.hop, f.hasHop = fromPeer, a.Hop, true
			for j := range w.balancers {
				if nodeAddr(j) == a.Peer.Addr() {
					f.index = j
				}
			}
		}
		w.send(f)
	}
}

func (w *world) atTarget(f flight, shed bool) {
	t := w.targets[f.index]
	if f.vni != t.number {
		t.wrong++
		return
	}
	seg, err := packet.Parse(f.b)
	if err != nil {
		return
	}
	for _, b := range t.receive(&seg, shed) {
		w.send(flight{where: answering, index: t.index, vni: t.number, sender: t.index, b: b})
	}
}

func (w *world) atCaller(f flight) {
	seg, err := packet.Parse(f.b)
	if err != nil {
		return
	}
	for _, c := range w.callers {
		if c.addr != seg.Dst {
			continue
		}
		for _, b := range c.receive(&seg, f.sender) {
			w.send(flight{where: toFabric, sender: -1, b: b})
		}
	}
}

// key identifies the state.
func (w *world) key() [sha256.Size]byte {
	h := sha256.New()
	for _, b := range w.balancers {
		_, _ = fmt.Fprintf(h, "b%d %v %v;", b.view, b.now, b.dead)
		if !b.dead {
			b.r.Fingerprint(h)
		}
	}
	for _, t := range w.targets {
		_, _ = io.WriteString(h, t.key())
	}
	for _, c := range w.callers {
		_, _ = io.WriteString(h, c.key())
	}
	var ks []string
	for i := range w.net {
		ks = append(ks, w.net[i].key())
	}
	sort.Strings(ks)
	_, _ = io.WriteString(h, strings.Join(ks, "\n"))
	l := w.budget
	_, _ = fmt.Fprintf(h, "l%d %d %d %d %d %d", l.Losses, l.Doubles, l.Resends, l.Sheds, l.Crashes, l.Joins)
	return [sha256.Size]byte(h.Sum(nil))
}
