package router

import (
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// callerOf returns a caller whose flows to the stream address have node home.
func callerOf(v *View, home int) netip.AddrPort {
	a := v.Addresses[testAddress]
	for port := uint16(20000); ; port++ {
		c := netip.AddrPortFrom(testCaller.Addr(), port)
		if v.home(a.homeKey(hashFlow(c, testAddress)), false) == home {
			return c
		}
	}
}

// passed hands r a packet that another balancer passed on.
func passed(r *Router, now time.Duration, from netip.Addr, hop geneve.Hop, p []byte, out *Output) {
	out.Reset()
	r.Handle(now, from, &geneve.Datagram{VNI: testService, Hop: hop, HasHop: true, Inner: p}, out)
}

// openedHere is a stream that a router opens as its home.
type openedHere struct {
	r             *Router
	v             *View
	caller        netip.AddrPort
	target, other netip.Addr // the one that the opening went to, and another
	out           *Output
}

func openHere(t *testing.T) openedHere {
	t.Helper()
	o := openedHere{out: &Output{}}
	o.r, o.v = newTestRouter(0, 2, 2)
	o.caller = callerOf(o.v, 0)
	fromCaller(o.r, time.Second, syn(o.caller, testAddress, 1000), o.out)
	o.target = only(t, o.out, ToTarget).Target
	o.other = otherThan(o.v, o.target)
	return o
}

// openFormer opens a stream at a balancer that decides on it though another one is its
// home by now.
func openFormer(t *testing.T, targets int) openedHere {
	t.Helper()
	o := openedHere{out: &Output{}}
	o.r, o.v = newTestRouter(1, 2, targets)
	o.caller = callerOf(o.v, 0)
	opening := geneve.Hop{Kind: geneve.Opening, Count: openingHops}
	passed(o.r, time.Second, o.v.Nodes[0].Data.Addr(), opening, syn(o.caller, testAddress, 1000), o.out)
	o.target = only(t, o.out, ToTarget).Target
	return o
}

// otherThan returns a target that is not mine.
func otherThan(v *View, mine netip.Addr) netip.Addr {
	if v.Targets[1].Addr != mine {
		return v.Targets[1].Addr
	}
	return v.Targets[2].Addr
}

// A target refuses the first copy of an opening packet, accepts the second, and
// the refusal arrives last. The caller has its stream; it must not count as
// ended, or its slot is given away and a third copy opens it elsewhere.
func TestLateRefusalEndsNothing(t *testing.T) {
	r, v := newTestRouter(0, 1, 2)
	out := &Output{}
	target := open(r, v, time.Second, testCaller, out)
	refusal := packet.Build(testAddress, testCaller, 0, 1001, header.TCPFlagRst|header.TCPFlagAck, nil)
	fromTarget(r, time.Second, target, refusal, out)
	if len(out.Actions) != 0 || r.Count(DropLateRefusal) != 1 || r.Count(FlowEnded) != 0 {
		t.Fatalf("the flow was taken for ended: %+v", out.Actions)
	}
}

// A balancer joins, and the caller's repeated opening packet reaches it before
// the former home's news. Each has opened the stream at a target of its own. A
// SYN-ACK of the other one's target may already be the caller's connection: only
// the former home can tell. One that has forgotten it must not reset that target,
// which the home does once the caller has confirmed its own.
func TestCrossedAcceptanceIsForTheFormerHome(t *testing.T) {
	o := openHere(t)
	r, v, c, other, out := o.r, o.v, o.caller, o.other, o.out
	fromTarget(r, time.Second, other, synAck(c, testAddress), out)
	a := only(t, out, ToPeer)
	if a.Hop.Flags != geneve.FlagFormer|geneve.FlagCrossed {
		t.Fatalf("hop %+v", a.Hop)
	}
	former, _ := newTestRouter(1, 2, 2)
	passed(former, time.Second, v.Nodes[0].Data.Addr(), a.Hop, a.Packet, out)
	if len(out.Actions) != 0 || former.Count(DropLateAccept) != 1 {
		t.Fatalf("the former home did %+v", out.Actions)
	}
	fromTarget(r, time.Second, o.target, synAck(c, testAddress), out)
	only(t, out, ToCaller)
	fromCaller(r, time.Second, packet.Build(c, testAddress, 1001, 5001, header.TCPFlagAck, nil), out)
	fromTarget(r, 2*time.Second, other, synAck(c, testAddress), out)
	if a := only(t, out, ToTarget); a.Target != other || !parsedReset(t, a) {
		t.Fatalf("reset went to %s", a.Target)
	}
}

// A home hands an opening over and gets the caller's packet back from a
// balancer with an older view. Opening it again would give the stream two
// targets.
func TestHandedOpeningIsNotOpenedAgain(t *testing.T) {
	after := testView(0, 2, 2)
	c := callerOf(after, 1)
	before := testView(0, 2, 2)
	before.Nodes[1].Serving = false
	r := New(Settings{AliveInterval: time.Hour})
	r.SetView(0, before)
	out := &Output{}
	fromCaller(r, time.Second, syn(c, testAddress, 1000), out)
	only(t, out, ToTarget)
	if moved := r.SetView(time.Second, after); len(moved) != 1 || moved[0].Opening == nil {
		t.Fatalf("handed over %+v", moved)
	}
	hop := geneve.Hop{Kind: geneve.Opening, Count: openingHops}
	passed(r, time.Second, after.Nodes[1].Data.Addr(), hop, syn(c, testAddress, 1000), out)
	if len(out.Actions) != 0 || r.Count(DropOpeningRepeated) != 1 {
		t.Fatalf("opened again: %+v", out.Actions)
	}
}

// Two balancers take each other for a stream's home until the hop limit makes
// one decide that is not. Its target stays silent while the home's answers: the
// timeout must not try another target for a stream that lives elsewhere.
func TestOpeningOfAnotherHomeIsForgotten(t *testing.T) {
	r, v := newTestRouter(0, 2, 2)
	out := &Output{}
	c := callerOf(v, 1)
	hop := geneve.Hop{Kind: geneve.Opening, Count: openingHops}
	passed(r, time.Second, v.Nodes[1].Data.Addr(), hop, syn(c, testAddress, 1000), out)
	only(t, out, ToTarget)
	out.Reset()
	r.Tick(1600*time.Millisecond, out)
	if len(out.Actions) != 0 || r.Count(OpeningForgotten) != 1 {
		t.Fatalf("actions %+v", out.Actions)
	}
}

// The former home gave the caller a connection to its target while this
// balancer opened the same stream at another one. The caller's connection wins.
func TestAcceptedFlowWinsAtHandover(t *testing.T) {
	o := openHere(t)
	r, c, mine, other, out := o.r, o.caller, o.target, o.other, o.out
	out.Reset()
	m := Moved{Caller: c, Address: testAddress, Target: other, Seq: 5000, State: flow.Accepted}
	r.Take(time.Second, []Moved{m}, out)
	if a := only(t, out, ToTarget); a.Target != mine || !parsedReset(t, a) {
		t.Fatalf("the opening here was not ended: %+v", a)
	}
	fromCaller(r, time.Second, packet.Build(c, testAddress, 1001, 5001, header.TCPFlagAck, nil), out)
	if a := only(t, out, ToTarget); a.Target != other {
		t.Fatalf("the caller's packet went to %s", a.Target)
	}
}

func parsedReset(t *testing.T, a Action) bool {
	seg := parsed(t, a)
	return seg.IsReset()
}

// A target's SYN-ACK is lost, and it answers the repeated opening packet with a
// bare acknowledgement before the opening goes to another target. A balancer
// that this answer passes must not send the caller's note to the target left
// behind, or it may run there and at the other one.
func TestBareAcknowledgementIsNoFlow(t *testing.T) {
	r, v := newTestRouter(0, 2, 2)
	out := &Output{}
	c := callerOf(v, 1)
	left := v.Targets[1].Addr
	note := packet.Build(c, testAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("POST"))
	bare := func(ack uint32) {
		fromTarget(r, time.Second, left, packet.Build(testAddress, c, 7001, ack, header.TCPFlagAck, nil), out)
	}
	for range 2 {
		bare(1001)
		fromCaller(r, time.Second, note, out)
		if a := only(t, out, ToPeer); a.Hop.Kind != geneve.Ask {
			t.Fatalf("hop %+v", a.Hop)
		}
	}
	bare(1005)
	fromCaller(r, time.Second, note, out)
	if a := only(t, out, ToTarget); a.Target != left {
		t.Fatalf("a flow that moves on was not learned: %+v", a)
	}
}

// The new home of a stream knows nothing yet, and passes a SYN-ACK on to the
// former one, which has the stream at another target. Nobody may give the caller
// a connection to a target that is about to be reset.
func TestFormerHomeWithAnotherTargetRejects(t *testing.T) {
	o := openFormer(t, 2)
	r, v, c, mine, out := o.r, o.v, o.caller, o.target, o.out
	other := otherThan(v, mine)
	hop := geneve.Hop{Kind: geneve.Answer, Count: openingHops, Flags: geneve.FlagFormer, Target: mine}
	passed(r, time.Second, v.Nodes[0].Data.Addr(), hop, synAck(c, testAddress), out)
	only(t, out, ToCaller)
	hop.Target = other
	late := packet.Build(testAddress, c, 9000, 1001, header.TCPFlagSyn|header.TCPFlagAck, nil)
	passed(r, time.Second, v.Nodes[0].Data.Addr(), hop, late, out)
	if len(out.Actions) != 0 || r.Count(DropLateAccept) != 1 {
		t.Fatalf("before the caller confirmed: %+v", out.Actions)
	}
	ask := geneve.Hop{Kind: geneve.Ask, Count: 1}
	confirm := packet.Build(c, testAddress, 1001, 5001, header.TCPFlagAck, nil)
	passed(r, time.Second, v.Nodes[0].Data.Addr(), ask, confirm, out)
	passed(r, 2*time.Second, v.Nodes[0].Data.Addr(), hop, late, out)
	if a := only(t, out, ToTarget); a.Target != other || !parsedReset(t, a) {
		t.Fatalf("the late target got %+v", a)
	}
}

// Two homes have a stream's opening in their queues while views differ. Its target has
// refused one copy of the opening packet and accepts another; the home that gets the
// acceptance has no room for it and passes it on to the former one, which has. A reset sent
// to the target there would end the connection that a further copy has opened meanwhile.
func TestFormerHomeTakesTheAcceptanceItWaitsFor(t *testing.T) {
	o := openFormer(t, 1)
	r, v, c, target, out := o.r, o.v, o.caller, o.target, o.out
	refusal := packet.Build(testAddress, c, 0, 1001, header.TCPFlagRst|header.TCPFlagAck, nil)
	answer := geneve.Hop{Kind: geneve.Answer, Count: openingHops, Target: target}
	passed(r, time.Second, v.Nodes[0].Data.Addr(), answer, refusal, out)
	out.Reset()
	answer.Flags = geneve.FlagFormer | geneve.FlagCrossed
	passed(r, 5*time.Second, v.Nodes[0].Data.Addr(), answer, synAck(c, testAddress), out)
	only(t, out, ToCaller)
}

// The former home gave the caller a connection to its target, and this home, which has yet
// to hear of it, opened the flow at another one whose acceptance the caller ignored. The
// answers of the caller's target must not be corrected to that other one at all balancers:
// it would get the caller's packets and reset the flow.
func TestUnconfirmedAcceptanceCorrectsNobody(t *testing.T) {
	o := openHere(t)
	r, c, mine, other, out := o.r, o.caller, o.target, o.other, o.out
	fromTarget(r, time.Second, mine, synAck(c, testAddress), out)
	only(t, out, ToCaller)
	const seq = 1 << 30 // of the other target
	answer := packet.Build(testAddress, c, seq+1, 1005, header.TCPFlagAck|header.TCPFlagPsh, []byte("done"))
	fromTarget(r, time.Second, other, answer, out)
	if len(out.Actions) != 0 || r.Count(DropCrossedAnswer) != 1 {
		t.Fatalf("actions %+v", out.Actions)
	}
	data := packet.Build(c, testAddress, 1005, seq+5, header.TCPFlagAck, nil)
	fromCaller(r, time.Second, data, out)
	if a := only(t, out, ToPeer); a.Hop.Kind != geneve.Ask {
		t.Errorf("the caller's packet went on as %+v", a.Hop)
	}
}

// Two balancers take each other for a stream's home. The one that handed its opening over gets
// the target's SYN-ACK at the hop limit, and the new home refuses the opening as unanswered.
func TestAcceptanceOfAHandedOpeningGoesToItsHome(t *testing.T) {
	after := testView(0, 2, 1)
	before := testView(0, 2, 1)
	before.Nodes[1].Serving = false
	c := callerOf(after, 1)
	r := New(Settings{AliveInterval: time.Hour})
	r.SetView(0, before)
	out := &Output{}
	fromCaller(r, time.Second, syn(c, testAddress, 1000), out)
	target := only(t, out, ToTarget).Target
	moved := r.SetView(time.Second, after)
	hop := geneve.Hop{Kind: geneve.Answer, Count: openingHops, Target: target}
	passed(r, time.Second, after.Nodes[1].Data.Addr(), hop, synAck(c, testAddress), out)
	a := only(t, out, ToPeer)
	if a.Peer != after.Nodes[1].Data {
		t.Fatalf("went to %s", a.Peer)
	}
	home, v := newTestRouter(1, 2, 1)
	passed(home, time.Second, v.Nodes[0].Data.Addr(), a.Hop, a.Packet, out) // before the handover
	back := only(t, out, ToPeer)
	passed(r, time.Second, after.Nodes[1].Data.Addr(), back.Hop, back.Packet, out)
	if len(out.Actions) != 0 {
		t.Fatalf("it circles: %+v", out.Actions)
	}
	home.Take(time.Second, moved, out)
	passed(home, time.Second, v.Nodes[0].Data.Addr(), a.Hop, a.Packet, out)
	only(t, out, ToCaller)
}
