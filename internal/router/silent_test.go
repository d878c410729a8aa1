package router

import (
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// A stream goes silent for good while new ones at the same target work. The
// caller repeats its segment; both ends are reset, so that the caller
// reconnects. As long as the target answers nobody, it may only be paused, and
// nothing is reset.
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

// askedFor hands the caller's request to its home as from another balancer that does not
// know the flow.
func askedFor(r *Router, v *View, now time.Duration, out *Output) {
	out.Reset()
	req := packet.Build(testCaller, testAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("GET"))
	hop := geneve.Hop{Kind: geneve.Ask, Count: 1}
	r.Handle(now, v.Nodes[1].Data.Addr(), &geneve.Datagram{VNI: testService, Hop: hop, HasHop: true, Inner: req}, out)
}

// ticks runs a router's timers for a time, and returns what they sent.
func ticks(r *Router, from, to time.Duration) []Action {
	var all []Action
	for now := from; now < to; now += 20 * time.Millisecond {
		out := &Output{}
		r.Tick(now, out)
		all = append(all, out.Actions...)
	}
	return all
}

// count returns how many of the actions have a destination.
func count(as []Action, to Destination) int {
	n := 0
	for _, a := range as {
		if a.To == to {
			n++
		}
	}
	return n
}

// suspected is a flow of which the home has seen one segment twice, 4 s apart, through
// another balancer, and no answer.
func suspected(t *testing.T) (*Router, *View, netip.Addr) {
	t.Helper()
	r, v := newTestRouter(0, 2, 1)
	out := &Output{}
	target := open(r, v, time.Second, testCaller, out)
	other := netip.AddrPortFrom(testCaller.Addr(), 41000)
	open(r, v, 6*time.Second, other, out)
	for _, at := range []time.Duration{4 * time.Second, 8 * time.Second} {
		askedFor(r, v, at, out)
		only(t, out, ToTarget)
	}
	return r, v, target
}

// A young stream goes silent, and the caller's repeated segment arrives through balancers
// that never saw one of its answers: those repeats must count too.
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

// A request is lost behind the home, and its caller repeats it once, seconds later: the flow
// is reset although its target holds it.
func TestSegmentLostTwiceResetsNothing(t *testing.T) {
	r, _, target := suspected(t)
	all := ticks(r, 8*time.Second, 8*time.Second+2*repeatPause+100*time.Millisecond)
	if n := count(all, ToTarget); n != 2 || len(all) != 2 {
		t.Fatalf("the home sent %+v, want two copies of the segment", all)
	}
	answer := packet.Build(testAddress, testCaller, 5001, 1004, header.TCPFlagAck|header.TCPFlagPsh, []byte("done"))
	fromTarget(r, 9*time.Second, target, answer, &Output{})
	if all = ticks(r, 9*time.Second, 60*time.Second); len(all) > 0 || r.Count(ResetSilent) > 0 {
		t.Fatalf("after the answer: %+v", all)
	}
}

// The answers to a segment pass another balancer, and are lost on their way to the caller:
// the home, which sees none of them, resets the flow.
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
		t.Fatalf("an old answer counts: %+v", out.Actions)
	}
}

// A target answers a request, and the answer is lost between the balancer and the caller.
// The caller repeats its request seconds later, and both ends are reset although the target
// holds the flow and has just answered on it. The request came through a balancer that had
// yet to learn the flow, so that the home saw both copies; it took the flow's own answer as
// proof that the target answers others ("to caller: R seq 1140850689" 3.1 s after the request,
// with the answer lost in between).
func TestAnsweredFlowIsNotSilent(t *testing.T) {
	r, v := newTestRouter(0, 2, 1)
	out := &Output{}
	target := open(r, v, time.Second, testCaller, out)
	asked := func(now time.Duration) { askedFor(r, v, now, out) }
	asked(4 * time.Second)
	answer := packet.Build(testAddress, testCaller, 5001, 1004, header.TCPFlagAck|header.TCPFlagPsh, []byte("done"))
	fromTarget(r, 4*time.Second+5*time.Millisecond, target, answer, out)
	only(t, out, ToCaller) // and it is lost
	asked(8 * time.Second)
	only(t, out, ToTarget)
	if n := r.Count(ResetSilent); n > 0 {
		t.Errorf("%d resets of a flow that was answered", n)
	}
}
