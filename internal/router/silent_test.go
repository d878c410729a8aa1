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

// A young stream goes silent, and the caller's repeated segment arrives through
// balancers that never saw one of its answers, so that they ask its home. Those
// repeats count too: each that does not doubles the time until the reset.
func TestSilentFlowIsResetThroughAsking(t *testing.T) {
	r, v := newTestRouter(0, 2, 1)
	out := &Output{}
	open(r, v, time.Second, testCaller, out)
	other := netip.AddrPortFrom(testCaller.Addr(), 41000)
	open(r, v, 6*time.Second, other, out)
	asked := func(now time.Duration) { askedFor(r, v, now, out) }
	asked(4 * time.Second)
	only(t, out, ToTarget)
	asked(8 * time.Second)
	if r.Count(ResetSilent) != 1 {
		t.Fatalf("not reset: %+v", out.Actions)
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
