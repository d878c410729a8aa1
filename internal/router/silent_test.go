package router

import (
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// A stream whose segment is retransmitted without an answer must be reset at
// both ends once its target has answered another flow. Until then the target
// may be paused, and nothing may be reset.
func TestSilentFlowIsReset(t *testing.T) {
	r, v := newTestRouter(0, 1, 1)
	out := &Output{}
	target := open(r, v, time.Second, testCaller, out)
	req := packet.Build(testCaller, testAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("GET"))
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	for s := 5; s < 12; s++ {
		fromCaller(r, at(s), req, out)
		only(t, out, ToTarget)
	}
	other := netip.AddrPortFrom(testCaller.Addr(), 41000)
	open(r, v, at(12), other, out)
	fromCaller(r, at(13), req, out)
	if len(out.Actions) != 2 || out.Actions[0].To != ToCaller || out.Actions[1].Target != target {
		t.Fatalf("actions %+v", out.Actions)
	}
	for _, a := range out.Actions {
		if seg := parsed(t, a); !seg.IsReset() {
			t.Fatal("not a reset")
		}
	}
}

// requestFromPeer passes the caller's request to its home, from another
// balancer that does not know the flow.
func requestFromPeer(r *Router, v *View, now time.Duration, out *Output) {
	out.Reset()
	req := packet.Build(testCaller, testAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("GET"))
	hop := geneve.Hop{Kind: geneve.Ask, Count: 1}
	r.Handle(now, v.Nodes[1].Data.Addr(), &geneve.Datagram{VNI: testService, Hop: hop, HasHop: true, Inner: req}, out)
}

// ticks runs a router's timers from one time to another and returns the
// actions.
func ticks(r *Router, from, to time.Duration) []Action {
	var all []Action
	for now := from; now < to; now += 20 * time.Millisecond {
		out := &Output{}
		r.Tick(now, out)
		all = append(all, out.Actions...)
	}
	return all
}

// count returns the number of actions with a destination.
func count(as []Action, to Destination) int {
	n := 0
	for _, a := range as {
		if a.To == to {
			n++
		}
	}
	return n
}

// suspected returns a router that has received one segment of a flow twice,
// with 4 s between, from another balancer, and no answer. The flow's target has
// answered another flow since.
func suspected(t *testing.T) (*Router, *View, netip.Addr) {
	t.Helper()
	r, v := newTestRouter(0, 2, 1)
	out := &Output{}
	target := open(r, v, time.Second, testCaller, out)
	other := netip.AddrPortFrom(testCaller.Addr(), 41000)
	open(r, v, 6*time.Second, other, out)
	for _, at := range []time.Duration{4 * time.Second, 8 * time.Second} {
		requestFromPeer(r, v, at, out)
		only(t, out, ToTarget)
	}
	return r, v, target
}

// Retransmissions that arrive through balancers without any answer of the flow
// must count towards its reset as well.
func TestSilentFlowIsResetThroughAsking(t *testing.T) {
	r, _, target := suspected(t)
	all := ticks(r, 8*time.Second, 10*time.Second)
	last := all[len(all)-2:]
	if r.Count(ResetSilent) != 1 || last[0].To != ToCaller || last[1].Target != target {
		t.Fatalf("not reset within 2 s: %+v", last)
	}
	for _, a := range last {
		if !parsedReset(t, a) {
			t.Fatal("not a reset")
		}
	}
}

// A request is lost between the home and the target and retransmitted once,
// seconds later. The home must retransmit it and must not reset the flow,
// which the target still has.
func TestSegmentLostTwiceResetsNothing(t *testing.T) {
	r, _, target := suspected(t)
	all := ticks(r, 8*time.Second, 8*time.Second+2*retransmitInterval+100*time.Millisecond)
	if n := count(all, ToTarget); n != 2 || len(all) != 2 {
		t.Fatalf("the home sent %+v, want two copies of the segment", all)
	}
	answer := packet.Build(testAddress, testCaller, 5001, 1004, header.TCPFlagAck|header.TCPFlagPsh, []byte("done"))
	fromTarget(r, 9*time.Second, target, answer, &Output{})
	if all = ticks(r, 9*time.Second, 60*time.Second); len(all) > 0 || r.Count(ResetSilent) > 0 {
		t.Fatalf("after the answer: %+v", all)
	}
}

// The answers to a segment are forwarded by another balancer and lost on their
// way to the caller. The home sees none of them, and must not reset the flow
// when the other balancer reports them.
func TestAnswersThatPassOthersResetNothing(t *testing.T) {
	r, v, target := suspected(t)
	other, _ := newTestRouter(1, 2, 1)
	out := &Output{}
	answer := packet.Build(testAddress, testCaller, 5001, 1004, header.TCPFlagAck|header.TCPFlagPsh, []byte("done"))
	fromTarget(other, 8*time.Second, target, answer, out)
	var asked []Action
	for now := 8 * time.Second; len(asked) == 0; now += 20 * time.Millisecond {
		out.Reset()
		r.Tick(now, out)
		for _, a := range out.Actions {
			if a.To == ToPeer {
				asked = append(asked, a)
			}
		}
	}
	passed(other, 9*time.Second, v.Nodes[0].Data.Addr(), asked[0].Hop, asked[0].Packet, out)
	objection := only(t, out, ToPeer)
	passed(r, 9500*time.Millisecond, v.Nodes[1].Data.Addr(), objection.Hop, objection.Packet, out)
	if all := ticks(r, 9500*time.Millisecond, 60*time.Second); len(all) > 0 || r.Count(SilenceObjected) != 1 {
		t.Fatalf("after the objection: %+v", all)
	}
	passed(other, 12*time.Second, v.Nodes[0].Data.Addr(), asked[0].Hop, asked[0].Packet, out)
	if len(out.Actions) != 0 {
		t.Fatalf("an old answer was reported: %+v", out.Actions)
	}
}

// A target's answer is lost between the balancer and the caller, which
// retransmits its request seconds later. The request arrives through a
// balancer that has not learned the flow, so that the home sees both copies.
// The home must not mistake the flow's own answer for one to another flow and
// reset both ends, which would happen 3.1 s after the request.
func TestAnsweredFlowIsNotSilent(t *testing.T) {
	r, v := newTestRouter(0, 2, 1)
	out := &Output{}
	target := open(r, v, time.Second, testCaller, out)
	request := func(now time.Duration) { requestFromPeer(r, v, now, out) }
	request(4 * time.Second)
	answer := packet.Build(testAddress, testCaller, 5001, 1004, header.TCPFlagAck|header.TCPFlagPsh, []byte("done"))
	fromTarget(r, 4*time.Second+5*time.Millisecond, target, answer, out)
	only(t, out, ToCaller) // lost on its way
	request(8 * time.Second)
	only(t, out, ToTarget)
	if n := r.Count(ResetSilent); n > 0 {
		t.Errorf("%d resets of a flow that was answered", n)
	}
}
