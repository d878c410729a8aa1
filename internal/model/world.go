// Package model is a bounded model checker for the core protocol. A few
// balancers run the real router; targets and callers are reduced to their TCP
// state machines. The network loses, duplicates and reorders packets and may
// deliver each to any balancer, while balancers change views at different times
// and crash. docs/spec/core.md states the checked properties.
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

// Bounds limits the size of the deployment and the number of faults in one run.
type Bounds struct {
	Balancers         int
	Targets           int
	Losses            int // of messages
	Duplicates        int // of packets
	Ticks             int // of tickStep, for each balancer
	Retransmissions   int // of each caller
	Sheds             int // openings that targets refuse
	Crashes           int // of balancers
	Joins             int // number of last balancers that join, one with each view
	Leaves            int // number of first balancers that stop serving, one with each view
	Depth             int // steps from the initial state
	States            int // stop after this number of states
	Class             catalogue.Class
	Callers           int  // 1 if zero
	Slots             int  // of each target, 2 if zero
	Drains            int  // number of first targets that drain, one with each view
	BareAcks          bool // targets answer retransmitted openings with bare acknowledgements
	ClosedCallers     bool // callers reset what comes after the end of their connections
	NoPeers           bool // broken variant: no balancer knows any other
	ResetOnLateAccept bool // broken variant: a target is reset as soon as its SYN-ACK is dropped
}

func (b Bounds) defaults() Bounds {
	b.Callers = max(b.Callers, 1)
	if b.Slots == 0 {
		b.Slots = 2
	}
	return b
}

// views returns the number of view changes.
func (b Bounds) views() int { return max(b.Joins, b.Leaves, b.Drains) }

// joined reports whether balancer i has joined in view n.
func (b Bounds) joined(i, n int) bool { return i < b.Balancers-b.Joins+min(n, b.Joins) }

// serves reports whether balancer i has joined and does not leave in view n.
func (b Bounds) serves(i, n int) bool { return b.joined(i, n) && i >= min(n, b.Leaves) }

const (
	tickStep = 260 * time.Millisecond // time between two ticks of a router
	deadline = 2 * time.Second        // for an opening that waits for a slot
	service  = 101                    // number of the only service
	// maxFlows leaves each shard of the flow table room for far more entries than
	// a run has flows, which may all be in few shards.
	maxFlows = 1 << 16
)

var serviceAddress = netip.MustParseAddrPort("203.0.113.10:80")

// leg is the part of its path that a message is on.
type leg int

const (
	callerToFabric     leg = iota // any balancer may receive it
	balancerToBalancer            // index is the receiving balancer
	balancerToTarget              // index is the target
	targetToFabric                // index is the target; any balancer may receive it
	balancerToCaller
	handover // index is the receiving balancer
)

// message is a packet or handover in flight.
type message struct {
	leg    leg
	index  int
	vni    uint32
	hop    geneve.Hop
	hasHop bool
	sender int // index of the target that built the packet, or sent the one that a router built it from; or -1
	b      []byte
	moved  []router.Moved
}

func (m *message) key() string {
	return fmt.Sprintf("%d %d %d %v %d %x %v", m.leg, m.index, m.vni, m.hop, m.sender, m.b, m.moved)
}

// balancer is a router with its own clock and view.
type balancer struct {
	r        *router.Router
	now      time.Duration
	view     int
	ticks    int
	dead     bool
	answered []*atomic.Int64 // time of each target's last answer, by target identifier
	// excludesDead makes its view leave out dead balancers.
	excludesDead bool
}

func newBalancer(targets int) *balancer {
	b := &balancer{now: time.Second, r: router.New(router.Settings{MaxFlows: maxFlows, AliveInterval: time.Hour})}
	for range targets + 1 {
		b.answered = append(b.answered, new(atomic.Int64))
	}
	return b
}

// world is one state of the model: all endpoints, and the messages in flight.
type world struct {
	bounds    Bounds
	balancers []*balancer
	targets   []*target
	callers   []*caller
	network   []message
	budget    Bounds // faults that may still occur
	out       router.Output
}

func newWorld(b Bounds) *world {
	b = b.defaults()
	w := &world{bounds: b, budget: b}
	for i := range b.Callers {
		c := newCaller(i)
		c.closes = b.ClosedCallers
		w.callers = append(w.callers, c)
	}
	for i := range b.Targets {
		w.targets = append(w.targets, &target{
			index: i, number: service, addr: netip.AddrFrom4([4]byte{127, 10, 1, byte(i + 1)}),
			conns: map[netip.AddrPort]conn{}, runs: map[netip.AddrPort]int{}, closesAfterAnswer: b.Class.UsesSlots(), bareAcks: b.BareAcks,
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
		w.send(message{leg: callerToFabric, sender: -1, b: c.syn()})
	}
	return w
}

func nodeName(i int) string { return fmt.Sprintf("vault-a-%d", i+1) }

func nodeAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 10, 0, byte(i + 1)}) }

func (w *world) send(m message) { w.network = append(w.network, m) }

// deliverToBalancer hands a packet or handover to balancer i.
func (w *world) deliverToBalancer(i int, m message) {
	b := w.balancers[i]
	if b.dead {
		return
	}
	w.out.Reset()
	if m.leg == handover {
		b.r.Take(b.now, m.moved, &w.out)
		w.sendOutput(m.sender)
		return
	}
	d := geneve.Datagram{VNI: m.vni, Hop: m.hop, HasHop: m.hasHop, Inner: m.b}
	src := netip.MustParseAddr("127.0.9.1")
	if m.leg == targetToFabric {
		src = w.targets[m.index].addr
	}
	b.r.Alive(b.now)
	dropped := b.r.Count(router.DropLateAccept)
	b.r.Handle(b.now, src, &d, &w.out)
	w.sendOutput(m.sender)
	if w.bounds.ResetOnLateAccept && b.r.Count(router.DropLateAccept) > dropped {
		w.resetSender(&m)
	}
}

// resetSender resets the target that sent a SYN-ACK.
func (w *world) resetSender(m *message) {
	if seg, err := packet.Parse(m.b); err == nil {
		w.send(message{leg: balancerToTarget, index: m.sender, vni: service, sender: -1, b: packet.ResetTo(&seg)})
	}
}

// sendOutput puts the actions in w.out on the network. The sender is the target
// whose packet the router handled, or -1.
func (w *world) sendOutput(sender int) {
	for _, a := range w.out.Actions {
		m := message{vni: a.VNI, sender: sender, b: append([]byte(nil), a.Packet...)}
		switch a.To {
		case router.ToCaller:
			m.leg = balancerToCaller
		case router.ToTarget:
			m.leg = balancerToTarget
			for _, t := range w.targets {
				if t.addr == a.Target {
					m.index = t.index
				}
			}
		case router.ToPeer:
			m.leg, m.hop, m.hasHop = balancerToBalancer, a.Hop, true
			for j := range w.balancers {
				if nodeAddr(j) == a.Peer.Addr() {
					m.index = j
				}
			}
		}
		w.send(m)
	}
}

func (w *world) deliverToTarget(m message, shed bool) {
	t := w.targets[m.index]
	if m.vni != t.number {
		t.misdelivered++
		return
	}
	seg, err := packet.Parse(m.b)
	if err != nil {
		return
	}
	for _, b := range t.receive(&seg, shed) {
		w.send(message{leg: targetToFabric, index: t.index, vni: t.number, sender: t.index, b: b})
	}
}

func (w *world) deliverToCaller(m message) {
	seg, err := packet.Parse(m.b)
	if err != nil {
		return
	}
	for _, c := range w.callers {
		if c.addr != seg.Dst {
			continue
		}
		for _, b := range c.receive(&seg, m.sender) {
			w.send(message{leg: callerToFabric, sender: -1, b: b})
		}
	}
}

// key returns a hash of the state, by which visited states are recognised.
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
	for i := range w.network {
		ks = append(ks, w.network[i].key())
	}
	sort.Strings(ks)
	_, _ = io.WriteString(h, strings.Join(ks, "\n"))
	l := w.budget
	_, _ = fmt.Fprintf(h, "l%d %d %d %d %d %d", l.Losses, l.Duplicates, l.Retransmissions, l.Sheds, l.Crashes, l.Joins)
	return [sha256.Size]byte(h.Sum(nil))
}
