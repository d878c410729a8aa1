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

// callerOf returns a caller whose flow to testAddress has the given home.
func callerOf(v *View, home int) netip.AddrPort {
	a := v.Addresses[testAddress]
	for port := uint16(20000); ; port++ {
		c := netip.AddrPortFrom(testCaller.Addr(), port)
		if v.home(a.homeKey(hashFlow(c, testAddress)), false) == home {
			return c
		}
	}
}

// passed handles a packet that another balancer passed on to r.
func passed(r *Router, now time.Duration, from netip.Addr, hop geneve.Hop, p []byte, out *Output) {
	out.Reset()
	r.Handle(now, from, &geneve.Datagram{VNI: testService, Hop: hop, HasHop: true, Inner: p}, out)
}

// openedFlow is a stream whose opening packet a router has sent to a target.
type openedFlow struct {
	r             *Router
	v             *View
	caller        netip.AddrPort
	target, other netip.Addr // the target of the opening, and another one
	out           *Output
}

func openStreamAtHome(t *testing.T) openedFlow {
	t.Helper()
	o := openedFlow{out: &Output{}}
	o.r, o.v = newTestRouter(0, 2, 2)
	o.caller = callerOf(o.v, 0)
	fromCaller(o.r, time.Second, syn(o.caller, testAddress, 1000), o.out)
	o.target = only(t, o.out, ToTarget).Target
	o.other = otherThan(o.v, o.target)
	return o
}

// openStreamAtFormerHome opens a stream at a balancer that decides on it
// although another one is its home.
func openStreamAtFormerHome(t *testing.T, targets int) openedFlow {
	t.Helper()
	o := openedFlow{out: &Output{}}
	o.r, o.v = newTestRouter(1, 2, targets)
	o.caller = callerOf(o.v, 0)
	opening := geneve.Hop{Kind: geneve.Opening, Count: openingHops}
	passed(o.r, time.Second, o.v.Nodes[0].Data.Addr(), opening, syn(o.caller, testAddress, 1000), o.out)
	o.target = only(t, o.out, ToTarget).Target
	return o
}

// otherThan returns a target other than the given one.
func otherThan(v *View, own netip.Addr) netip.Addr {
	if v.Targets[1].Addr != own {
		return v.Targets[1].Addr
	}
	return v.Targets[2].Addr
}

// A target refuses the first copy of an opening packet and accepts the second,
// and the refusal arrives last. The flow must not be ended by it, or its slot
// would be released and a third copy would open it at another target.
func TestLateRefusalEndsNothing(t *testing.T) {
	r, v := newTestRouter(0, 1, 2)
	out := &Output{}
	target := open(r, v, time.Second, testCaller, out)
	refusal := packet.Build(testAddress, testCaller, 0, 1001, header.TCPFlagRst|header.TCPFlagAck, nil)
	fromTarget(r, time.Second, target, refusal, out)
	if len(out.Actions) != 0 || r.Count(DropLateRefusal) != 1 || r.Count(FlowEnded) != 0 {
		t.Fatalf("the flow was ended: %+v", out.Actions)
	}
}

// A balancer joins, and the caller's retransmitted opening packet reaches it before the handover,
// so that two homes open the stream at two targets. A SYN-ACK of the former home's target may
// already be the caller's connection, so the new home must ask the former one. A former home
// without a record must not reset the target; the home does so once the caller has confirmed its
// own connection.
func TestCrossedAcceptanceIsForTheFormerHome(t *testing.T) {
	o := openStreamAtHome(t)
	r, v, c, other, out := o.r, o.v, o.caller, o.other, o.out
	fromTarget(r, time.Second, other, synAck(c, testAddress), out)
	a := only(t, out, ToPeer)
	if a.Hop.Flags != geneve.FlagFormer|geneve.FlagCrossed {
		t.Fatalf("hop %+v", a.Hop)
	}
	former, _ := newTestRouter(1, 2, 2)
	passed(former, time.Second, v.Nodes[0].Data.Addr(), a.Hop, a.Packet, out)
	if len(out.Actions) != 0 || former.Count(DropLateAccept) != 1 {
		t.Fatalf("the former home sent %+v", out.Actions)
	}
	fromTarget(r, time.Second, o.target, synAck(c, testAddress), out)
	only(t, out, ToCaller)
	fromCaller(r, time.Second, packet.Build(c, testAddress, 1001, 5001, header.TCPFlagAck, nil), out)
	fromTarget(r, 2*time.Second, other, synAck(c, testAddress), out)
	if a := only(t, out, ToTarget); a.Target != other || !parsedReset(t, a) {
		t.Fatalf("the reset was sent to %s", a.Target)
	}
}

// A home hands over an opening and gets the caller's packet back from a balancer with an older
// view. It must not open the stream again at a second target.
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

// Each of two balancers considers the other one a stream's home until the hop
// limit makes the wrong one decide. If its target does not answer, it must not
// retry at another target, since the home may have opened the stream.
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

// The former home delivered a target's SYN-ACK while this balancer opened the same stream at
// another target. The handover must end the opening here and keep the caller's connection.
func TestAcceptedFlowWinsAtHandover(t *testing.T) {
	o := openStreamAtHome(t)
	r, c, own, other, out := o.r, o.caller, o.target, o.other, o.out
	out.Reset()
	m := Moved{Caller: c, Address: testAddress, Target: other, Seq: 5000, State: flow.Accepted}
	r.Take(time.Second, []Moved{m}, out)
	if a := only(t, out, ToTarget); a.Target != own || !parsedReset(t, a) {
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

// A target's SYN-ACK is lost, and it answers the retransmitted opening packet with a bare
// acknowledgement before the opening goes to another target. A balancer that forwards this answer
// must not send the caller's request to the first target, or both could process it.
func TestBareAcknowledgementIsNoFlow(t *testing.T) {
	r, v := newTestRouter(0, 2, 2)
	out := &Output{}
	c := callerOf(v, 1)
	first := v.Targets[1].Addr
	request := packet.Build(c, testAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("POST"))
	bare := func(ack uint32) {
		fromTarget(r, time.Second, first, packet.Build(testAddress, c, 7001, ack, header.TCPFlagAck, nil), out)
	}
	for range 2 {
		bare(1001)
		fromCaller(r, time.Second, request, out)
		if a := only(t, out, ToPeer); a.Hop.Kind != geneve.Ask {
			t.Fatalf("hop %+v", a.Hop)
		}
	}
	bare(1005)
	fromCaller(r, time.Second, request, out)
	if a := only(t, out, ToTarget); a.Target != first {
		t.Fatalf("a flow that progresses was not learned: %+v", a)
	}
}

// A new home passes an unknown SYN-ACK to the former one, which has the stream
// at another target. The SYN-ACK must not reach the caller, and its target
// must be reset only once the caller has confirmed.
func TestFormerHomeWithAnotherTargetRejects(t *testing.T) {
	o := openStreamAtFormerHome(t, 2)
	r, v, c, own, out := o.r, o.v, o.caller, o.target, o.out
	other := otherThan(v, own)
	hop := geneve.Hop{Kind: geneve.Answer, Count: openingHops, Flags: geneve.FlagFormer, Target: own}
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

// While views differ, two homes have a stream's opening in their queues. Its target refused one
// copy of the opening packet and accepted another, and the home that gets the SYN-ACK has no room
// and passes it to the former one. That one has room and must deliver it; a reset could end the
// connection that a further copy has opened.
func TestFormerHomeTakesTheAcceptanceItWaitsFor(t *testing.T) {
	o := openStreamAtFormerHome(t, 1)
	r, v, c, target, out := o.r, o.v, o.caller, o.target, o.out
	refusal := packet.Build(testAddress, c, 0, 1001, header.TCPFlagRst|header.TCPFlagAck, nil)
	answer := geneve.Hop{Kind: geneve.Answer, Count: openingHops, Target: target}
	passed(r, time.Second, v.Nodes[0].Data.Addr(), answer, refusal, out)
	out.Reset()
	answer.Flags = geneve.FlagFormer | geneve.FlagCrossed
	passed(r, 5*time.Second, v.Nodes[0].Data.Addr(), answer, synAck(c, testAddress), out)
	only(t, out, ToCaller)
}

// The former home delivered a target's SYN-ACK, and this home, which has not received the handover
// yet, opened the flow at another target, whose SYN-ACK the caller ignored. Answers of the caller's
// target must not cause corrections to the other target, which would get the caller's packets and
// reset the flow.
func TestUnconfirmedAcceptanceCorrectsNobody(t *testing.T) {
	o := openStreamAtHome(t)
	r, c, own, other, out := o.r, o.caller, o.target, o.other, o.out
	fromTarget(r, time.Second, own, synAck(c, testAddress), out)
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
		t.Errorf("the caller's packet was sent as %+v", a.Hop)
	}
}

// Each of two balancers considers the other one a stream's home. The one that handed over the
// opening gets the target's SYN-ACK at the hop limit and must pass it to the new home, which would
// otherwise refuse the opening as unanswered. The SYN-ACK must not circulate between them.
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
		t.Fatalf("the SYN-ACK was sent to %s", a.Peer)
	}
	home, v := newTestRouter(1, 2, 1)
	passed(home, time.Second, v.Nodes[0].Data.Addr(), a.Hop, a.Packet, out) // before the handover
	back := only(t, out, ToPeer)
	passed(r, time.Second, after.Nodes[1].Data.Addr(), back.Hop, back.Packet, out)
	if len(out.Actions) != 0 {
		t.Fatalf("the SYN-ACK circulates: %+v", out.Actions)
	}
	home.Take(time.Second, moved, out)
	passed(home, time.Second, v.Nodes[0].Data.Addr(), a.Hop, a.Packet, out)
	only(t, out, ToCaller)
}
