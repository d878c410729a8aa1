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

// slotHome returns the node that decides on the requests of testService in a view in which all
// nodes serve.
func slotHome(v *View) int {
	a := v.Addresses[slotAddress]
	return v.home(a.homeKey(0), false)
}

// homeLeaves returns two views of node self among two, before and after the home of slotAddress
// stopped serving, and the address of the other node.
func homeLeaves(self int) (before, after *View, peer netip.Addr) {
	before, after = testView(self, 2, 1), testView(self, 2, 1)
	after.Nodes[slotHome(after)].Serving = false
	return before, after, before.Nodes[1-self].Data.Addr()
}

// successor returns a router of the node that is home of slotAddress after its home has left, in
// the view before.
func successor() (r *Router, after *View, peer netip.Addr) {
	self := 1 - slotHome(testView(0, 2, 1))
	before, after, peer := homeLeaves(self)
	r = New(Settings{AliveInterval: time.Hour})
	r.SetView(0, before)
	return r, after, peer
}

// openRequest is a handover of a request that its target is working on.
func openRequest(target netip.Addr) []Moved {
	return []Moved{{Caller: testCaller, Address: slotAddress, Target: target, Seq: 1005, State: flow.Open}}
}

func answerWith(f header.TCPFlags) []byte {
	return packet.Build(slotAddress, testCaller, 5001, 1005, header.TCPFlagAck|f, []byte("done"))
}

func wantSlots(t *testing.T, r *Router, want int) {
	t.Helper()
	got := 0
	for _, u := range r.Usage() {
		got += u.Slots
	}
	if got != want {
		t.Errorf("%d slots are in use, want %d", got, want)
	}
}

// A balancer has seen only a bare acknowledgement of a request when the request is handed over to
// it. The request's end must free the slot, or it stays in use for as long as the process runs.
func TestHandoverReplacesAHint(t *testing.T) {
	r, after, _ := successor()
	out := &Output{}
	target := after.Targets[1].Addr
	fromTarget(r, time.Second, target, packet.Build(slotAddress, testCaller, 5001, 1005, header.TCPFlagAck, nil), out)
	r.SetView(time.Second, after)
	r.Take(time.Second, openRequest(target), out)
	wantSlots(t, r, 1)
	fromTarget(r, time.Second, target, answerWith(header.TCPFlagFin), out)
	only(t, out, ToCaller)
	wantSlots(t, r, 0)
}

// A request is handed over to a balancer whose own view has not changed, so that it passes the
// request's end to the former home. It must free the slot all the same, or it counts it as in use
// once its view has changed.
func TestEndThatPassesFreesTheSlot(t *testing.T) {
	for _, flags := range []header.TCPFlags{header.TCPFlagFin, header.TCPFlagRst} {
		r, after, _ := successor()
		out := &Output{}
		target := after.Targets[1].Addr
		r.Take(time.Second, openRequest(target), out)
		wantSlots(t, r, 1)
		fromTarget(r, time.Second, target, answerWith(flags), out)
		only(t, out, ToPeer)
		wantSlots(t, r, 0)
		r.SetView(time.Second, after)
		wantSlots(t, r, 0)
	}
}

// The end of a request passes its new home, whose view has not changed, before the handover of the
// request arrives there. The handover must not count the request.
func TestHandoverAfterTheEndCountsNothing(t *testing.T) {
	r, after, peer := successor()
	out := &Output{}
	target := after.Targets[1].Addr
	hop := geneve.Hop{Kind: geneve.Answer, Count: 1, Target: target}
	passed(r, time.Second, peer, hop, answerWith(header.TCPFlagFin), out)
	only(t, out, ToPeer)
	r.Take(time.Second, openRequest(target), out)
	r.SetView(time.Second, after)
	wantSlots(t, r, 0)
}

// Views differ, and a balancer opens a request that another one is home of, which counts the
// request and ends it. This one must not count it for longer than a sweep of the table, or it does
// when it becomes home.
func TestRequestOfAnotherHomeIsNotCounted(t *testing.T) {
	r, after, peer := successor()
	out := &Output{}
	opening := geneve.Hop{Kind: geneve.Opening, Count: openingHops}
	passed(r, time.Second, peer, opening, syn(testCaller, slotAddress, 1000), out)
	target := only(t, out, ToTarget).Target
	accept := geneve.Hop{Kind: geneve.Answer, Count: openingHops, Target: target}
	passed(r, time.Second, peer, accept, synAck(testCaller, slotAddress), out)
	only(t, out, ToCaller)
	wantSlots(t, r, 1)
	for at := time.Second; at <= time.Second+2*sweepEvery; at += sweepEvery / 4 {
		r.Tick(at, out)
	}
	wantSlots(t, r, 0)
	r.SetView(2*sweepEvery, after)
	wantSlots(t, r, 0)
}

// rejoined returns routers of a home that joins again and of its successor, whose view has not
// changed yet, and the successor's next view.
func rejoined() (home, former *Router, after *View) {
	self := slotHome(testView(0, 2, 1))
	home = New(Settings{AliveInterval: time.Hour})
	home.SetView(0, testView(self, 2, 1))
	_, before, _ := homeLeaves(1 - self)
	former = New(Settings{AliveInterval: time.Hour})
	former.SetView(0, before)
	return home, former, testView(1-self, 2, 1)
}

// A home joins and counts a request that is open, and the request ends at the former home, whose
// view has not changed yet. The handover must free the slot, or the new home counts it as in use
// until the flow counts as idle.
func TestHandoverEndsFlows(t *testing.T) {
	home, former, after := rejoined()
	out := &Output{}
	target := after.Targets[1].Addr
	fromTarget(home, time.Second, target, answerWith(0), out)
	wantSlots(t, home, 1)
	fromTarget(former, time.Second, target, answerWith(header.TCPFlagFin), out)
	home.Take(time.Second, former.SetView(time.Second, after), out)
	wantSlots(t, home, 0)
}

// As before, but the new home has just received a further copy of the opening packet. It must not
// wait for a SYN-ACK of a connection that has ended.
func TestHandoverEndsOpenings(t *testing.T) {
	home, former, after := rejoined()
	out := &Output{}
	fromTarget(former, time.Second, after.Targets[1].Addr, answerWith(header.TCPFlagFin), out)
	fromCaller(home, time.Second, syn(testCaller, slotAddress, 1000), out)
	wantSlots(t, home, 1)
	home.Take(time.Second, former.SetView(time.Second, after), out)
	wantSlots(t, home, 0)
}

// A caller uses its port again at once. The end of its earlier flow, which the former home hands
// over, must not end the later one.
func TestEndOfAnEarlierFlowEndsNothing(t *testing.T) {
	home, former, after := rejoined()
	out := &Output{}
	fromTarget(former, time.Second, after.Targets[1].Addr, answerWith(header.TCPFlagFin), out)
	const later = 1 << 30 // initial sequence number of the later flow
	fromCaller(home, time.Second, syn(testCaller, slotAddress, later), out)
	home.Take(time.Second, former.SetView(time.Second, after), out)
	wantSlots(t, home, 1)
}

// Another balancer has delivered the SYN-ACK of a target whose answer arrives here while the
// opening is pending. The answer ends the request, so that the slot must be free.
func TestAnswerContinuesItsOpening(t *testing.T) {
	r, v := newTestRouter(0, 1, 1)
	out := &Output{}
	fromCaller(r, time.Second, syn(testCaller, slotAddress, 1000), out)
	fromTarget(r, time.Second, v.Targets[1].Addr, answerWith(header.TCPFlagFin), out)
	only(t, out, ToCaller)
	wantSlots(t, r, 0)
	fromTarget(r, time.Second, v.Targets[1].Addr, synAck(testCaller, slotAddress), out)
	wantSlots(t, r, 0)
}

// Another balancer knows the target of a request whose opening is pending here, and passes a
// segment of its caller. The search for the target must free the slot of the opening, or it stays
// in use for as long as the process runs.
func TestProbeEndsThePendingOpening(t *testing.T) {
	r, v := newTestRouter(0, 1, 2)
	out := &Output{}
	fromCaller(r, time.Second, syn(testCaller, slotAddress, 1000), out)
	other := otherThan(v, only(t, out, ToTarget).Target)
	hop := geneve.Hop{Kind: geneve.Silent, Count: 1, Target: other}
	request := packet.Build(testCaller, slotAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("POST"))
	passed(r, time.Second, v.Nodes[0].Data.Addr(), hop, request, out)
	only(t, out, ToTarget)
	wantSlots(t, r, 0)
}
