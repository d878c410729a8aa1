package router

import (
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/packet"
)

// All slots are in use until the admission deadline. The waiting opening must
// be refused without having reached a target, and a retransmitted opening
// packet must be refused as well.
func TestRefusedAtDeadlineReachedNoTarget(t *testing.T) {
	r, _ := newTestRouter(0, 1, 1)
	out := &Output{}
	for i := range 2 {
		fromCaller(r, time.Second, syn(netip.AddrPortFrom(testCaller.Addr(), uint16(1000+i)), slotAddress, 1000), out)
		only(t, out, ToTarget)
	}
	fromCaller(r, time.Second, syn(testCaller, slotAddress, 1000), out)
	if len(out.Actions) != 0 {
		t.Fatalf("a full target got %+v", out.Actions)
	}
	out.Reset()
	r.Tick(3100*time.Millisecond, out)
	refused := 0
	for _, a := range out.Actions {
		seg := parsed(t, a)
		if a.To == ToCaller && seg.Dst == testCaller && seg.IsReset() {
			refused++
		}
		if a.To == ToTarget && seg.Src == testCaller {
			t.Fatal("the refused opening reached a target")
		}
	}
	if refused != 1 || r.Count(RefuseDeadline) != 1 {
		t.Fatalf("refused %d times, counted %d", refused, r.Count(RefuseDeadline))
	}
	fromCaller(r, 3200*time.Millisecond, syn(testCaller, slotAddress, 1000), out)
	if seg := parsed(t, only(t, out, ToCaller)); !seg.IsReset() {
		t.Fatal("a retransmitted opening packet was not refused")
	}
}

// Guards against an opening being refused while a target has a free slot, as a balancer that has
// just become home first tries several whose slots are in use.
func TestRefusedOpeningReachesTheFreeTarget(t *testing.T) {
	const full = 5 // more than MaxTries
	r, _ := newTestRouter(0, 1, full+1)
	out := &Output{}
	fromCaller(r, time.Second, syn(testCaller, slotAddress, 1000), out)
	tried := map[netip.Addr]bool{}
	for range full {
		target := only(t, out, ToTarget).Target
		tried[target] = true
		fromTarget(r, time.Second, target, refusal(testCaller, slotAddress), out)
	}
	if last := only(t, out, ToTarget).Target; tried[last] || len(tried) != full {
		t.Fatalf("%d targets were tried, the last one %v", len(tried), last)
	}
}

// Guards against an opening that all targets refuse being sent to them again and again.
func TestOpeningThatAllTargetsRefuseEnds(t *testing.T) {
	const targets = 5 // more than MaxTries
	r, _ := newTestRouter(0, 1, targets)
	out := &Output{}
	fromCaller(r, time.Second, syn(testCaller, slotAddress, 1000), out)
	for range targets {
		fromTarget(r, time.Second, only(t, out, ToTarget).Target, refusal(testCaller, slotAddress), out)
	}
	if seg := parsed(t, only(t, out, ToCaller)); !seg.IsReset() || r.Count(RefuseRetryLimit) != 1 {
		t.Fatalf("the caller got %+v", seg)
	}
}

// The only target has one request in progress and leaves the next opening
// unanswered until its deadline. The refusal must release that opening's slot
// and no other, or the target would get more requests than it has slots.
func TestUnansweredRefusalFreesItsOwnSlot(t *testing.T) {
	r, _ := newTestRouter(0, 1, 1)
	out := &Output{}
	slotUser := netip.AddrPortFrom(testCaller.Addr(), 1000)
	fromCaller(r, time.Second, syn(slotUser, slotAddress, 1000), out)
	fromTarget(r, time.Second, only(t, out, ToTarget).Target, synAck(slotUser, slotAddress), out)
	fromCaller(r, time.Second, syn(testCaller, slotAddress, 1000), out)
	for ms := 1600; ms <= 4000; ms += 600 {
		r.Tick(time.Duration(ms)*time.Millisecond, out)
	}
	if r.Count(RefuseUnanswered) != 1 {
		t.Fatal("the unanswered opening was not refused")
	}
	if n := r.pools[testService].Used(1, balance.Slot); n != 1 {
		t.Fatalf("%d slots are counted, one is in use", n)
	}
}

// refusedStream opens a stream at its home, whose target does not answer, and
// returns it after the refusal.
func refusedStream(t *testing.T) openedFlow {
	t.Helper()
	o := openStreamAtHome(t)
	for at := 1600 * time.Millisecond; o.r.Count(RefuseUnanswered) == 0; at += 600 * time.Millisecond {
		o.r.Tick(at, o.out)
	}
	return o
}

// After a refusal by its home, a caller may still be connected to the target
// by another home. The home must forward the target's SYN-ACK: only the caller
// knows whether it accepted the refusal, and resets the connection then.
func TestAcceptanceAfterRefusalReachesTheCaller(t *testing.T) {
	o := refusedStream(t)
	r, c, target, out := o.r, o.caller, o.target, o.out
	fromTarget(r, 5*time.Second, target, synAck(c, testAddress), out)
	if seg := parsed(t, only(t, out, ToCaller)); !seg.IsAccept() {
		t.Fatalf("the caller got %+v", seg)
	}
	fromCaller(r, 5*time.Second, packet.Build(c, testAddress, 1001, 0, header.TCPFlagRst, nil), out)
	if a := only(t, out, ToTarget); a.Target != target || !parsedReset(t, a) {
		t.Fatalf("the caller's reset was sent as %+v", a)
	}
	if n := r.pools[testService].Used(1, balance.Connection); n != 0 {
		t.Fatalf("%d connections are counted", n)
	}
}

// A caller was refused by its home but connected to the target by another one.
// The target's answer must reach it through the home that refused.
func TestAnswerAfterRefusalReachesItsCaller(t *testing.T) {
	o := refusedStream(t)
	r, c, target, out := o.r, o.caller, o.target, o.out
	answer := packet.Build(testAddress, c, 5001, 1005, header.TCPFlagAck|header.TCPFlagPsh, []byte("done"))
	fromTarget(r, 5*time.Second, target, answer, out)
	only(t, out, ToCaller)
}
