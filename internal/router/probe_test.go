package router

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// The balancer that opened a flow dies before any other has seen an answer.
// The balancer that gets the caller's request must probe the candidates, hide
// their resets from the caller, and stop at the target that accepts it.
func TestUnknownFlowIsFoundByProbing(t *testing.T) {
	r, v := newTestRouter(0, 1, 3)
	out := &Output{}
	req := packet.Build(testCaller, testAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("GET"))
	fromCaller(r, time.Second, req, out)
	tried := map[netip.Addr]bool{}
	for range len(v.Targets) - 2 {
		a := only(t, out, ToTarget)
		tried[a.Target] = true
		if string(a.Packet[40:]) != "GET" {
			t.Fatal("the probe does not carry the request")
		}
		rst := packet.Build(testAddress, testCaller, 5001, 0, header.TCPFlagRst, nil)
		fromTarget(r, time.Second, a.Target, rst, out)
	}
	flowTarget := only(t, out, ToTarget).Target
	if tried[flowTarget] {
		t.Fatal("a candidate was tried twice")
	}
	answer := packet.Build(testAddress, testCaller, 5001, 1004, header.TCPFlagAck, []byte("frame"))
	fromTarget(r, time.Second, flowTarget, answer, out)
	only(t, out, ToCaller)
	fromCaller(r, time.Second, req, out)
	if a := only(t, out, ToTarget); a.Target != flowTarget {
		t.Fatalf("sent to %s, want %s", a.Target, flowTarget)
	}
}

// A probed candidate that does not answer may have processed the request.
// Retransmissions by the caller must go to the same candidate and to no other.
func TestSilenceIsNoRejection(t *testing.T) {
	r, _ := newTestRouter(0, 1, 3)
	out := &Output{}
	req := packet.Build(testCaller, slotAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("POST"))
	fromCaller(r, time.Second, req, out)
	first := only(t, out, ToTarget).Target
	for i := range 5 {
		fromCaller(r, time.Duration(i+2)*time.Second, req, out)
		if a := only(t, out, ToTarget); a.Target != first {
			t.Fatal("the payload was sent to a second target")
		}
	}
}

// A candidate with a half-open connection of the same caller answers the probe
// with a bare acknowledgement. It must not be recorded as the flow's target.
func TestBareAcknowledgementEndsNoProbe(t *testing.T) {
	r, v := newTestRouter(0, 1, 2)
	out := &Output{}
	data := packet.Build(testCaller, testAddress, 1001, 1<<30, header.TCPFlagAck|header.TCPFlagPsh, []byte("POST"))
	fromCaller(r, time.Second, data, out)
	probed := only(t, out, ToTarget).Target
	bare := packet.Build(testAddress, testCaller, 5001, 1001, header.TCPFlagAck, nil)
	fromTarget(r, time.Second, probed, bare, out)
	if len(out.Actions) != 0 || r.Count(DropCrossedAnswer) != 1 {
		t.Fatalf("the bare acknowledgement was not dropped: %+v", out.Actions)
	}
	reset := packet.Build(testAddress, testCaller, 1<<30, 0, header.TCPFlagRst, nil)
	fromTarget(r, time.Second, probed, reset, out)
	if a := only(t, out, ToTarget); a.Target != otherThan(v, probed) {
		t.Fatalf("the next candidate was not tried: %+v", a)
	}
}

// While views differ, a balancer probes for a flow and a candidate's reset
// reaches another one. That one must not pass it to the caller, unless the
// target is known to have had the flow.
func TestRejectionOfAnothersProbeIsDropped(t *testing.T) {
	home, v := newTestRouter(0, 2, 2)
	other, _ := newTestRouter(1, 2, 2)
	out := &Output{}
	c := callerOf(v, 0)
	rejection := packet.Build(testAddress, c, 5001, 0, header.TCPFlagRst, nil)
	from := v.Targets[1].Addr
	expectDropped := func() {
		t.Helper()
		asked := only(t, out, ToPeer)
		passed(other, time.Second, v.Nodes[0].Data.Addr(), asked.Hop, rejection, out)
		if len(out.Actions) != 0 {
			t.Fatalf("forwarded: %+v", out.Actions)
		}
	}
	fromTarget(home, time.Second, from, rejection, out)
	expectDropped()
	fromTarget(other, time.Second, from, rejection, out)
	passed(home, time.Second, v.Nodes[1].Data.Addr(), only(t, out, ToPeer).Hop, rejection, out)
	expectDropped()
	if other.Count(DropUnknownReset) != 2 {
		t.Error("the dropped resets were not counted")
	}
	answer := packet.Build(testAddress, c, 5001, 1005, header.TCPFlagAck|header.TCPFlagPsh, []byte("done"))
	fromTarget(other, 2*time.Second, from, answer, out) // which shows that the target had the flow
	fromTarget(other, 2*time.Second, from, rejection, out)
	passed(home, 2*time.Second, v.Nodes[1].Data.Addr(), only(t, out, ToPeer).Hop, rejection, out)
	only(t, out, ToCaller)
}

// probing returns a balancer that considers itself a flow's home and probes for
// its target, with the current candidate and the probed packet.
func probing(t *testing.T, v *View, c netip.AddrPort) (*Router, netip.Addr, []byte) {
	t.Helper()
	r, _ := newTestRouter(1, 2, 2)
	alone := testView(1, 2, 2)
	alone.Nodes[0].Serving = false
	r.SetView(0, alone)
	out := &Output{}
	data := packet.Build(c, testAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("POST"))
	back := geneve.Hop{Kind: geneve.Ask, Count: 5, Flags: geneve.FlagExhausted}
	passed(r, time.Second, v.Nodes[0].Data.Addr(), back, data, out)
	return r, only(t, out, ToTarget).Target, data
}

// A candidate's reset reaches a balancer that does not probe. It must be
// passed to the one that does, or the probe would stay with that candidate
// until the caller closes its connection.
func TestRejectionFindsTheBalancerThatProbes(t *testing.T) {
	home, v := newTestRouter(0, 2, 2)
	out := &Output{}
	c := callerOf(v, 0)
	prober, probed, _ := probing(t, v, c)
	fromTarget(home, time.Second, probed, packet.Build(testAddress, c, 5001, 0, header.TCPFlagRst, nil), out)
	asked := only(t, out, ToPeer)
	passed(prober, time.Second, v.Nodes[0].Data.Addr(), asked.Hop, asked.Packet, out)
	if a := only(t, out, ToTarget); a.Target != otherThan(v, probed) {
		t.Fatalf("the next candidate was not tried: %+v", a)
	}
}

// The flow's own target answers while another candidate is probed whose reset
// went to another balancer. The answer must end the probe and reach the
// caller.
func TestAnswerOfTheOwnTargetEndsAProbe(t *testing.T) {
	r, v := newTestRouter(0, 1, 2)
	out := &Output{}
	data := packet.Build(testCaller, testAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("POST"))
	fromCaller(r, time.Second, data, out)
	own := otherThan(v, only(t, out, ToTarget).Target)
	answer := packet.Build(testAddress, testCaller, 5001, 1005, header.TCPFlagAck|header.TCPFlagPsh, []byte("done"))
	fromTarget(r, time.Second, own, answer, out)
	only(t, out, ToCaller)
	fromCaller(r, time.Second, data, out)
	if a := only(t, out, ToTarget); a.Target != own {
		t.Fatalf("the caller's packet went to %s", a.Target)
	}
}

// A balancer that is not asked has accepted the caller's connection while its
// home still has the opening pending. The home must look for the connection's
// target instead of dropping the caller's packets until the opening is
// refused.
func TestCallerAcceptedByAForgottenHomeIsFound(t *testing.T) {
	r, v := newTestRouter(0, 2, 1)
	out := &Output{}
	c := callerOf(v, 0)
	fromCaller(r, time.Second, syn(c, testAddress, 1000), out)
	target := only(t, out, ToTarget).Target
	data := packet.Build(c, testAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("POST"))
	fromCaller(r, time.Second, data, out)
	asked := only(t, out, ToPeer)
	back := geneve.Hop{Kind: geneve.Ask, Count: asked.Hop.Count + 1, Flags: geneve.FlagExhausted}
	passed(r, time.Second, v.Nodes[1].Data.Addr(), back, data, out)
	if a := only(t, out, ToTarget); a.Target != target || r.Count(RetryProbe) != 1 {
		t.Fatalf("the caller's request was sent as %+v", a)
	}
	answer := packet.Build(testAddress, c, 5001, 1005, header.TCPFlagAck|header.TCPFlagPsh, []byte("done"))
	fromTarget(r, time.Second, target, answer, out)
	only(t, out, ToCaller)
}

// A candidate's reset reaches the home, which has the flow at another target,
// while another balancer probes. The home must send a correction, or the probe
// would stay with that candidate.
func TestHomeCorrectsTheBalancerThatProbes(t *testing.T) {
	home, v := newTestRouter(0, 2, 2)
	out := &Output{}
	c := callerOf(v, 0)
	prober, probed, data := probing(t, v, c)
	own := otherThan(v, probed)
	home.Take(time.Second, []Moved{{Caller: c, Address: testAddress, Target: own, Seq: 1001, State: flow.Open}}, out)
	fromTarget(home, time.Second, probed, packet.Build(testAddress, c, 5001, 0, header.TCPFlagRst, nil), out)
	correction := only(t, out, ToPeer)
	passed(prober, time.Second, v.Nodes[0].Data.Addr(), correction.Hop, correction.Packet, out)
	if a := only(t, out, ToTarget); a.Target != own || !bytes.Equal(a.Packet, data) {
		t.Fatalf("the probed packet was sent as %+v", a)
	}
	fromCaller(prober, time.Second, data, out)
	if a := only(t, out, ToTarget); a.Target != own {
		t.Fatalf("the caller's next packet went to %s", a.Target)
	}
}

// A candidate's reset reaches the home, which has delivered another target's SYN-ACK and has
// not seen the caller's acknowledgement: that packet is probed by a balancer with another view.
// The reset repeats the acknowledged number, so that the home must send a correction, or the
// search goes on until the caller gives up. A reset with another number proves nothing.
func TestRejectionConfirmsADeliveredAcceptance(t *testing.T) {
	o := openStreamAtHome(t)
	c, own, other, out := o.caller, o.target, o.other, o.out
	fromTarget(o.r, time.Second, own, synAck(c, testAddress), out)
	only(t, out, ToCaller)
	fromTarget(o.r, time.Second, other, packet.Build(testAddress, c, 5002, 0, header.TCPFlagRst, nil), out)
	if len(out.Actions) != 0 {
		t.Fatalf("a reset with another number caused %+v", out.Actions)
	}
	fromTarget(o.r, time.Second, other, packet.Build(testAddress, c, 5001, 0, header.TCPFlagRst, nil), out)
	correction := only(t, out, ToPeer)
	if correction.Hop.Kind != geneve.Correct || correction.Hop.Target != own {
		t.Fatalf("sent to the other balancer: %+v", correction.Hop)
	}
}

// A probe of another candidate keeps the caller's acknowledgement from the
// flow's target, which retransmits its SYN-ACK. The SYN-ACK must end the
// probe, also when another home asks about it.
func TestRetransmittedAcceptanceEndsAProbe(t *testing.T) {
	for _, flags := range []uint8{0, geneve.FlagFormer, geneve.FlagFormer | geneve.FlagCrossed} {
		acceptedWhileProbed(t, flags)
	}
}

func acceptedWhileProbed(t *testing.T, flags uint8) {
	t.Helper()
	r, v := newTestRouter(0, 1, 2)
	out := &Output{}
	data := packet.Build(testCaller, testAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("POST"))
	fromCaller(r, time.Second, data, out)
	own := otherThan(v, only(t, out, ToTarget).Target)
	otherNumbers := packet.Build(testAddress, testCaller, 7000, 1001, header.TCPFlagSyn|header.TCPFlagAck, nil)
	hop := geneve.Hop{Kind: geneve.Answer, Count: openingHops, Flags: flags, Target: own}
	from := v.Nodes[0].Data.Addr()
	passed(r, time.Second, from, hop, otherNumbers, out)
	if count(out.Actions, ToTarget) != 0 {
		t.Fatalf("a SYN-ACK with other numbers ended the probe: %+v", out.Actions)
	}
	r, _ = newTestRouter(0, 1, 2)
	fromCaller(r, time.Second, data, out)
	passed(r, time.Second, from, hop, synAck(testCaller, testAddress), out)
	if a := only(t, out, ToTarget); a.Target != own || !bytes.Equal(a.Packet, data) {
		t.Fatalf("the probed packet was sent as %+v", a)
	}
}
