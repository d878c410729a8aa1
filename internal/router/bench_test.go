package router

import (
	"encoding/binary"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// benchmarkKnownFlow measures the decision for a packet of one of n known
// flows, from the decoded encapsulation to the action. As after a receive, the
// packet is in the processor's cache; the flow's entry need not be.
func benchmarkKnownFlow(b *testing.B, n int) {
	r, v := newTestRouter(0, 7, 14)
	out := &Output{}
	caller := func(i int) netip.AddrPort {
		a := netip.AddrFrom4([4]byte{198, 51, byte(i >> 16), byte(i >> 8)})
		return netip.AddrPortFrom(a, uint16(20000+i&0xff))
	}
	for i := range n {
		open(r, v, time.Second, caller(i), out)
	}
	p := packet.Build(caller(0), testAddress, 1001, 5001, header.TCPFlagAck, make([]byte, 100))
	d := geneve.Datagram{Inner: p}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		out.Reset()
		i = (i + 7919) % n
		p[14], p[15] = byte(i>>16), byte(i>>8)
		binary.BigEndian.PutUint16(p[20:], uint16(20000+i&0xff))
		r.Handle(time.Second, fabricSource, &d, out)
	}
	if len(out.Actions) != 1 || out.Actions[0].To != ToTarget {
		b.Fatal("the packet did not take the fast path")
	}
}

func BenchmarkKnownFlow1e3(b *testing.B) { benchmarkKnownFlow(b, 1000) }
func BenchmarkKnownFlow1e4(b *testing.B) { benchmarkKnownFlow(b, 10_000) }
func BenchmarkKnownFlow1e5(b *testing.B) { benchmarkKnownFlow(b, 100_000) }

// BenchmarkOpening measures a whole opening at the flow's home: the caller's
// SYN and ACK and the target's SYN-ACK.
func BenchmarkOpening(b *testing.B) {
	r, v := newTestRouter(0, 1, 14)
	out := &Output{}
	i := 0
	for b.Loop() {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, byte(i >> 24), byte(i >> 16), byte(i >> 8)}), uint16(20000+i&0xff))
		open(r, v, time.Second, caller, out)
		i++
	}
}

// benchmarkRecount measures SetView, which holds the lock of the slow path, when
// one of the 55 nodes of a large data centre joins or leaves, with n flows.
func benchmarkRecount(b *testing.B, n int) {
	r, _ := newTestRouter(0, 55, 14)
	out := &Output{}
	v := testView(0, 55, 14)
	for i := range n {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, byte(i >> 24), byte(i >> 16), byte(i >> 8)}), uint16(20000+i&0xff))
		open(r, v, time.Second, caller, out)
	}
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		next := testView(0, 55, 14)
		next.Nodes[54].Serving = i%2 == 1
		r.SetView(time.Second, next)
	}
}

func BenchmarkRecount1e4(b *testing.B) { benchmarkRecount(b, 10_000) }
func BenchmarkRecount1e5(b *testing.B) { benchmarkRecount(b, 100_000) }
func BenchmarkRecount1e6(b *testing.B) { benchmarkRecount(b, 1_000_000) }

// BenchmarkTick650 measures a tick of a balancer with 650 idle services of ten
// targets each.
func BenchmarkTick650(b *testing.B) {
	const services, targets = 650, 10
	v := testView(0, 7, 1)
	svc := v.Services[testService]
	for n := range uint32(services) {
		s := svc
		s.Targets = nil
		for range targets {
			id := uint32(len(v.Targets))
			v.Targets = append(v.Targets, Target{TargetKey: TargetKey{Service: n}, Answered: new(atomic.Int64)})
			s.Targets = append(s.Targets, balance.Target{ID: id, Seed: uint64(id), Eligible: true})
		}
		v.Services[n] = s
	}
	r := New(Settings{})
	r.SetView(0, v)
	out := &Output{}
	now := time.Second
	for b.Loop() {
		now += 20 * time.Millisecond
		r.Tick(now, out)
	}
}

// BenchmarkSweep measures a sweep of the whole table with 100,000 requests of a home among 600
// balancers.
func BenchmarkSweep(b *testing.B) {
	const nodes, flows = 600, 100_000
	v := testView(slotHome(testView(0, nodes, 14)), nodes, 14)
	r := New(Settings{AliveInterval: time.Hour, RequestIdle: 1 << 62})
	r.SetView(0, v)
	out := &Output{}
	for i := range flows {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(i >> 16), byte(i >> 8)}), uint16(20000+i&0xff))
		answer := packet.Build(slotAddress, caller, 5001, 1005, header.TCPFlagAck, []byte("done"))
		fromTarget(r, time.Second, v.Targets[1].Addr, answer, out)
	}
	now := time.Second
	for b.Loop() {
		now += sweepEvery
		r.Tick(now, out)
	}
	if r.Flows() != flows {
		b.Fatalf("%d flows are left", r.Flows())
	}
}
