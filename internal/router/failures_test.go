package router

import (
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// A target refuses an opening because its two slots are used by work that the
// balancer cannot see. The opening must be retried at another target without
// the caller noticing.
func TestShedOpeningGoesToAnotherTarget(t *testing.T) {
	r, _ := newTestRouter(0, 1, 3)
	out := &Output{}
	fromCaller(r, time.Second, syn(testCaller, slotAddress, 1000), out)
	first := only(t, out, ToTarget).Target
	rst := packet.Build(slotAddress, testCaller, 0, 1001, header.TCPFlagRst|header.TCPFlagAck, nil)
	fromTarget(r, time.Second, first, rst, out)
	second := only(t, out, ToTarget)
	if second.Target == first || !header.TCP(second.Packet[20:]).Flags().Contains(header.TCPFlagSyn) {
		t.Fatalf("retried at %s with %v", second.Target, second)
	}
	if r.Count(RetryShed) != 1 {
		t.Fatal("the retry was not counted")
	}
}

// Two ordinary requests use the only target's slots, and another ordinary one
// waits before an urgent one. When a slot frees, the urgent one must be
// admitted first.
func TestUrgentGoesFirst(t *testing.T) {
	r, _ := newTestRouter(0, 1, 1)
	out := &Output{}
	var slotUsers []netip.AddrPort
	for i := range 2 {
		c := netip.AddrPortFrom(testCaller.Addr(), uint16(1000+i))
		slotUsers = append(slotUsers, c)
		fromCaller(r, time.Second, syn(c, slotAddress, 1000), out)
		target := only(t, out, ToTarget).Target
		fromTarget(r, time.Second, target, synAck(c, slotAddress), out)
	}
	fromCaller(r, time.Second, syn(netip.AddrPortFrom(testCaller.Addr(), 2000), slotAddress, 1000), out)
	fromCaller(r, time.Second, syn(netip.AddrPortFrom(testCaller.Addr(), 2001), urgentAddr, 1000), out)
	fin := packet.Build(slotAddress, slotUsers[0], 5001, 1001, header.TCPFlagFin|header.TCPFlagAck, nil)
	fromTarget(r, time.Second, netip.MustParseAddr("127.10.1.1"), fin, out)
	if len(out.Actions) != 2 {
		t.Fatalf("actions %+v, want the FIN and one opening", out.Actions)
	}
	if seg := parsed(t, out.Actions[1]); seg.Src.Port() != 2001 {
		t.Fatalf("port %d was admitted first", seg.Src.Port())
	}
}

// A target accepts an opening after it was retried at another target. The late
// SYN-ACK must not reach the caller, and the late target must be reset once
// the caller has confirmed its connection to the other one.
func TestLateAcceptanceIsDroppedAndReset(t *testing.T) {
	r, _ := newTestRouter(0, 1, 3)
	out := &Output{}
	fromCaller(r, time.Second, syn(testCaller, testAddress, 1000), out)
	first := only(t, out, ToTarget).Target
	out.Reset()
	r.Tick(1600*time.Millisecond, out)
	second := only(t, out, ToTarget).Target
	late := func(now time.Duration) { fromTarget(r, now, first, synAck(testCaller, testAddress), out) }
	late(1700 * time.Millisecond)
	if len(out.Actions) != 0 || r.Count(DropLateAccept) != 1 {
		t.Fatalf("the late SYN-ACK was not dropped: %+v", out.Actions)
	}
	fromTarget(r, 1800*time.Millisecond, second, synAck(testCaller, testAddress), out)
	only(t, out, ToCaller)
	late(1800 * time.Millisecond)
	if len(out.Actions) != 0 {
		t.Fatalf("reset before the caller confirmed: %+v", out.Actions)
	}
	fromCaller(r, 1900*time.Millisecond, packet.Build(testCaller, testAddress, 1001, 5001, header.TCPFlagAck, nil), out)
	late(2700 * time.Millisecond)
	a := only(t, out, ToTarget)
	if seg := parsed(t, a); a.Target != first || !seg.IsReset() || seg.Seq != 1001 {
		t.Fatalf("the late target got %+v", a)
	}
	if r.Count(DropLateAccept) != 3 || r.Count(ResetLeft) != 1 {
		t.Fatal("the late SYN-ACKs or the reset were not counted")
	}
}

// A caller reuses a port, and the new flow goes to another target. A late
// segment of the former target must be dropped, or it would end up in the new
// flow's stream.
func TestCrossedAnswerIsDropped(t *testing.T) {
	r, v := newTestRouter(0, 1, 3)
	out := &Output{}
	target := open(r, v, time.Second, testCaller, out)
	for _, o := range v.Targets[1:] {
		if o.Addr == target {
			continue
		}
		late := packet.Build(testAddress, testCaller, 77, 1001, header.TCPFlagAck, []byte("old frame"))
		fromTarget(r, time.Second, o.Addr, late, out)
		if len(out.Actions) != 0 {
			t.Fatalf("a crossed answer was forwarded: %+v", out.Actions)
		}
	}
	if r.Count(DropCrossedAnswer) != 2 {
		t.Fatal("the crossed answers were not counted")
	}
}

// An operator removes the target of an established stream from the catalogue.
// The stream's packets must still be forwarded to that target, and new flows
// must not be.
func TestEstablishedFlowSurvivesEdits(t *testing.T) {
	r, v := newTestRouter(0, 1, 3)
	out := &Output{}
	target := open(r, v, time.Second, testCaller, out)
	id := v.TargetIDs[TargetKey{testService, target}]
	edited := testView(0, 1, 3)
	svc := edited.Services[testService]
	kept := svc.Targets[:0]
	for _, x := range svc.Targets {
		if x.ID != id {
			kept = append(kept, x)
		}
	}
	svc.Targets = kept
	edited.Services[testService] = svc
	r.SetView(2*time.Second, edited)
	ack := packet.Build(testCaller, testAddress, 1001, 5001, header.TCPFlagAck, nil)
	fromCaller(r, 2*time.Second, ack, out)
	if a := only(t, out, ToTarget); a.Target != target {
		t.Fatalf("the flow moved to %s", a.Target)
	}
	for i := range 50 {
		c := netip.AddrPortFrom(testCaller.Addr(), uint16(50000+i))
		fromCaller(r, 2*time.Second, syn(c, testAddress, 1000), out)
		if only(t, out, ToTarget).Target == target {
			t.Fatal("a removed target got a new flow")
		}
	}
}

// An answer has a VNI other than that of the service whose address it comes
// from, as it happens when a target's address was given to another service. It
// must be dropped.
func TestForeignNumberIsDropped(t *testing.T) {
	r, v := newTestRouter(0, 1, 1)
	out := &Output{}
	target := open(r, v, time.Second, testCaller, out)
	p := packet.Build(testAddress, testCaller, 5001, 1001, header.TCPFlagAck, []byte("x"))
	for _, vni := range []uint32{999, 102} {
		out.Reset()
		r.Handle(time.Second, target, &geneve.Datagram{VNI: vni, Inner: p}, out)
		if len(out.Actions) != 0 {
			t.Fatalf("VNI %d: %+v", vni, out.Actions)
		}
	}
	if r.Count(DropForeignNumber) != 2 {
		t.Fatal("the drops were not counted")
	}
}

// An opening whose home is another balancer is deleted while its target may
// still accept it. Its slot must stay counted for a while, or the target would
// get more requests than it has slots.
func TestForgottenOpeningKeepsItsSlotForAWhile(t *testing.T) {
	r, v := newTestRouter(0, 2, 1)
	a := v.Addresses[slotAddress]
	if v.home(a.homeKey(0), false) == 0 {
		r, v = newTestRouter(1, 2, 1)
	}
	out := &Output{}
	hop := geneve.Hop{Kind: geneve.Opening, Count: openingHops}
	passed(r, time.Second, v.Nodes[0].Data.Addr(), hop, syn(testCaller, slotAddress, 1000), out)
	only(t, out, ToTarget)
	r.Tick(1600*time.Millisecond, out)
	if n := r.pools[testService].Used(1, balance.Slot); n != 1 || r.Count(OpeningForgotten) != 1 {
		t.Fatalf("%d slots are counted for the opening that may still be accepted", n)
	}
	r.Tick(4*time.Second, out)
	if n := r.pools[testService].Used(1, balance.Slot); n != 0 {
		t.Fatalf("%d slots stay counted", n)
	}
}
