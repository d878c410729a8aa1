package router

import (
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// A balancer that was paused may have been replaced by its peers. Until its
// control loop runs again, it must pass openings to the next balancer.
func TestPausedBalancerDecidesNothing(t *testing.T) {
	v := testView(0, 2, 3)
	r := New(Settings{MaxFlows: 1024, AliveInterval: time.Second})
	r.SetView(0, v)
	out := &Output{}
	caller := testCaller
	for p := uint16(1); v.home(v.Addresses[testAddress].streamHomeKey(caller), false) != 0; p++ {
		caller = netip.AddrPortFrom(testCaller.Addr(), p)
	}
	r.Alive(time.Second)
	fromCaller(r, 1500*time.Millisecond, syn(caller, testAddress, 1), out)
	only(t, out, ToTarget)
	caller = netip.AddrPortFrom(caller.Addr().Next(), caller.Port())
	fromCaller(r, 10*time.Second, syn(caller, testAddress, 1), out)
	if a := only(t, out, ToPeer); a.Hop.Kind != geneve.Opening {
		t.Fatalf("sent %+v", a)
	}
}

// streamHomeKey returns the home key of a stream flow of caller to
// testAddress.
func (a Address) streamHomeKey(caller netip.AddrPort) uint64 {
	return a.homeKey(hashFlow(caller, testAddress))
}

// otherGroup is a balancer of the data centre annex-b, which is another group.
var otherGroup = Node{Name: "annex-b-1", Data: netip.MustParseAddrPort("127.12.0.1:6081"), Seed: 5, Serving: true}

// spillingView is the view of a single balancer whose only target takes no new flows, while
// otherGroup has some that do.
func spillingView() *View {
	v := testView(0, 1, 1)
	svc := v.Services[testService]
	svc.Targets[0].Eligible = false
	svc.SpillTo = []string{"annex-b"}
	v.Services[testService] = svc
	v.Remotes = map[string][]Node{"annex-b": {otherGroup}}
	return v
}

// All targets of this group are gone while another group, in another data
// centre, has some. A new flow must spill there: its opening, retransmissions
// and later packets all go to one balancer of that data centre.
func TestFlowSpillsToAnotherGroup(t *testing.T) {
	v := spillingView()
	r := New(Settings{MaxFlows: 1024, AliveInterval: time.Hour})
	r.SetView(0, v)
	out := &Output{}
	ack := packet.Build(testCaller, testAddress, 1001, 5001, header.TCPFlagAck, nil)
	for _, p := range [][]byte{syn(testCaller, testAddress, 1000), syn(testCaller, testAddress, 1000), ack} {
		fromCaller(r, time.Second, p, out)
		a := only(t, out, ToPeer)
		if a.Peer != otherGroup.Data || a.Hop.Flags&geneve.FlagSpilled == 0 {
			t.Fatalf("sent %+v", a)
		}
	}
	if r.Count(FlowSpilled) != 1 {
		t.Fatalf("%d spilled flows are counted, want 1", r.Count(FlowSpilled))
	}
	// The other group passes the packet to the flow's home as if it came from
	// the fabric, whatever its hop count.
	there := testView(0, 2, 1)
	for c := testCaller; ; c = netip.AddrPortFrom(c.Addr(), c.Port()+1) {
		if there.home(there.Addresses[testAddress].streamHomeKey(c), false) == 1 {
			r.SetView(0, there)
			out.Reset()
			hop := geneve.Hop{Kind: geneve.Ask, Count: 2, Flags: geneve.FlagSpilled}
			r.Handle(time.Second, fabricSource, &geneve.Datagram{VNI: testService, Hop: hop, HasHop: true, Inner: syn(c, testAddress, 1000)}, out)
			only(t, out, ToPeer)
			return
		}
	}
}

// Guards against openings that were queued when the last target of this group stopped taking
// flows waiting until their deadline instead of spilling.
func TestWaitingOpeningSpills(t *testing.T) {
	r, out := queuedOpening(t)
	r.SetView(time.Second, spillingView())
	out.Reset()
	r.Tick(1010*time.Millisecond, out)
	a := only(t, out, ToPeer)
	if seg := parsed(t, a); a.Peer != otherGroup.Data || a.Hop.Flags&geneve.FlagSpilled == 0 || !seg.IsOpening() || seg.Src != testCaller {
		t.Fatalf("sent %+v", a)
	}
	fromCaller(r, 2*time.Second, syn(testCaller, slotAddress, 1000), out)
	if a := only(t, out, ToPeer); a.Peer != otherGroup.Data {
		t.Fatalf("a retransmission was sent as %+v", a)
	}
	if late := ticks(r, 2*time.Second, 4*time.Second); len(late) != 0 || r.Count(FlowSpilled) != 1 {
		t.Fatalf("after spilling: %+v, %d flows counted", late, r.Count(FlowSpilled))
	}
}

// Guards against a waiting opening that another group passed on being passed to a third group or
// back.
func TestWaitingOpeningSpillsOnce(t *testing.T) {
	r, out := fullRouter(t)
	hop := geneve.Hop{Kind: geneve.Ask, Count: 1, Flags: geneve.FlagSpilled}
	out.Reset()
	r.Handle(time.Second, fabricSource, &geneve.Datagram{VNI: testService, Hop: hop, HasHop: true, Inner: syn(testCaller, slotAddress, 1000)}, out)
	r.SetView(time.Second, spillingView())
	r.Tick(1010*time.Millisecond, out)
	if len(out.Actions) != 0 || r.Count(OpeningQueued) != 1 {
		t.Fatalf("actions %+v, %d queued", out.Actions, r.Count(OpeningQueued))
	}
}

// Guards against waiting openings of a service that has lost its targets being refused only at
// their deadline.
func TestWaitingOpeningWithoutTargetsIsRefused(t *testing.T) {
	r, out := queuedOpening(t)
	v := testView(0, 1, 1)
	v.Services[testService] = Service{Name: "catalogue"}
	r.SetView(time.Second, v)
	out.Reset()
	r.Tick(1010*time.Millisecond, out)
	if seg := parsed(t, only(t, out, ToCaller)); !seg.IsReset() || seg.Dst != testCaller || r.Count(RefuseNoTarget) != 1 {
		t.Fatalf("the caller got %+v", seg)
	}
}

// fullRouter returns the router of a single balancer whose only target has no free slot.
func fullRouter(t *testing.T) (*Router, *Output) {
	t.Helper()
	r, _ := newTestRouter(0, 1, 1)
	out := &Output{}
	for port := range uint16(2) {
		c := netip.AddrPortFrom(testCaller.Addr(), 1000+port)
		fromCaller(r, time.Second, syn(c, slotAddress, 1000), out)
		fromTarget(r, time.Second, only(t, out, ToTarget).Target, synAck(c, slotAddress), out)
	}
	return r, out
}

// queuedOpening returns a fullRouter in which the opening of testCaller waits.
func queuedOpening(t *testing.T) (*Router, *Output) {
	t.Helper()
	r, out := fullRouter(t)
	fromCaller(r, time.Second, syn(testCaller, slotAddress, 1000), out)
	if len(out.Actions) != 0 || r.Count(OpeningQueued) != 1 {
		t.Fatalf("actions %+v, %d queued", out.Actions, r.Count(OpeningQueued))
	}
	return r, out
}

// The home of a service's requests leaves just after a request has ended. The
// request's last packets reach the new home and must not be counted as a slot
// in use, which nothing would release.
func TestLastPacketsTakeNoSlot(t *testing.T) {
	v := testView(0, 2, 1)
	a := v.Addresses[slotAddress]
	other := 1 - v.home(a.homeKey(0), false)
	v.Self = other
	r := New(Settings{MaxFlows: 1024, AliveInterval: time.Hour})
	r.SetView(0, v)
	out := &Output{}
	target := v.Targets[1].Addr
	fromTarget(r, time.Second, target, packet.Build(slotAddress, testCaller, 5001, 1010, header.TCPFlagAck, []byte("answer")), out)
	after := testView(other, 2, 1)
	after.Nodes[1-other].Serving = false
	r.SetView(time.Second, after)
	fin := packet.Build(testCaller, slotAddress, 1010, 5008, header.TCPFlagFin|header.TCPFlagAck, nil)
	fromCaller(r, time.Second, fin, out)
	only(t, out, ToTarget)
	fromTarget(r, time.Second, target, packet.Build(slotAddress, testCaller, 5008, 1011, header.TCPFlagAck, nil), out)
	only(t, out, ToCaller)
	if u := r.Usage(); len(u) != 0 {
		t.Fatalf("usage %+v, want none", u)
	}
}

// Callers of a service without targets must be refused at once, instead of
// waiting for room that cannot become free.
func TestServiceWithoutTargetsRefuses(t *testing.T) {
	r, _ := newTestRouter(0, 1, 0)
	out := &Output{}
	fromCaller(r, time.Second, syn(testCaller, testAddress, 1000), out)
	if seg := parsed(t, only(t, out, ToCaller)); !seg.IsReset() || r.Count(RefuseNoTarget) != 1 {
		t.Fatal("not refused, or not counted")
	}
}
