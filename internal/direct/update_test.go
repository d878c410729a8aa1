package direct

import (
	"net/netip"
	"testing"
	"time"
)

// A caller returns the cookie of a target that left while this balancer was down. A reset
// keeps the caller from retransmitting until its deadline. But the cookie may also be that of
// a new target whose registration has not arrived yet, so the reset waits for a complete list, and
// after an outage of the store for as long as registrations may be missing.
func TestUnknownCookieIsResetAfterAWhile(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.want(b.handle(packet(1, streams, ACK, 77)), DroppedWait)
	b.now += 5 * time.Second // the store is unreachable, and the list gets older
	b.want(b.handle(packet(1, streams, ACK, 77)), DroppedWait)
	b.f.SetListCompleteAt(b.now)
	b.want(b.handle(packet(1, streams, ACK, 77)), DroppedWait)
	b.readFor(lapseWindow)
	b.want(b.handle(packet(1, streams, ACK, 77)), ResetUnknown)
	b.f.PutTarget(b.now, target1(77, "a"))
	b.want(b.handle(packet(1, streams, ACK, 77)), Forwarded)
}

// The identifiers of two targets share their low 32 bits. Packets of the first one's flows
// must not reach the second, which gets no new flows until the first has left and been
// forgotten.
func TestCookieCollision(t *testing.T) {
	b := newFixture(t, target1(0x100000001, "a"), target1(0x200000001, "a"))
	for port := range uint16(20) {
		if id := b.openFlow(port, streams); id != 0x100000001 {
			t.Fatalf("flow opened at %x", uint64(id))
		}
	}
	b.f.RemoveTarget(b.now, 0x100000001)
	b.now += lateOpeningWindow // until then the expired target may get openings
	b.want(b.handle(packet(99, streams, SYN, 0)), ResetNoTarget)
	b.now += 3 * time.Minute
	b.f.Tick(b.now)
	b.f.Tick(b.now)
	if d := b.handle(packet(98, streams, SYN, 0)); d.Verb != Forward || d.Target.ID != 0x200000001 {
		t.Errorf("after the first left: %v", d.Reason)
	}
}

// The registration of a target that had announced that it leaves is removed. Callers with
// idle flows get a reset on their next packet and can try elsewhere at once.
func TestFlowsOfATargetThatLeftAreReset(t *testing.T) {
	leaving := target1(1, "a")
	b := newFixture(t, leaving)
	id := b.openFlow(1, streams)
	leaving.Draining = true
	b.f.PutTarget(b.now, leaving)
	b.want(b.sendRequest(1, streams, id, 101, 1000), Forwarded)
	b.f.RemoveTarget(b.now, id)
	b.now += minSilence + time.Millisecond
	b.want(b.sendRequest(1, streams, id, 401, 3000), ResetGone)
}

// The registration of a living target expires because the store was unreachable. Its flows
// must continue.
func TestFlowsOfExpiredTargetContinue(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	id := b.openFlow(1, streams)
	b.f.RemoveTarget(b.now, id)
	b.want(b.sendRequest(1, streams, id, 101, 1000), Forwarded)
	if got := b.f.TargetsToCheck(b.now); len(got) != 1 {
		t.Fatalf("%d targets to check, want the expired one", len(got))
	}
	b.f.Checked(b.now, Start{ID: id}, Alive)
	b.want(b.sendRequest(1, streams, id, 401, 1000), Forwarded)
	b.f.PutTarget(b.now, target1(1, "a"))
	if d := b.handle(packet(2, streams, SYN, 0)); d.Verb != Forward {
		t.Errorf("opening after the target is back: %v", d.Reason)
	}
}

// Before the first catalogue arrives, packets of open flows are forwarded by their cookies.
func TestFlowsPassBeforeTheCatalogue(t *testing.T) {
	f := New(Config{DataCenter: "a", FlowMaxAge: time.Minute, MaxFlows: 10})
	f.PutTarget(0, target1(1, "a"))
	if d := f.Handle(time.Second, packet(1, streams, ACK, 1)); d.Reason != Forwarded {
		t.Errorf("packet of an open flow: %v", d.Reason)
	}
}

// A new version of the catalogue removes a route. Its flows are reset once that is certain;
// others continue.
func TestDroppedRoute(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	id := b.openFlow(1, streams)
	other := b.openFlow(2, notes)
	c := testCatalogue()
	delete(c.Routes, streams)
	b.f.SetCatalogue(c)
	b.want(b.handle(packet(3, streams, SYN, 0)), ResetNoRoute)
	b.want(b.sendRequest(1, streams, id, 101, 1000), Forwarded)
	b.now += time.Second
	b.f.SetListCompleteAt(b.now)
	b.want(b.sendRequest(1, streams, id, 401, 1000), ResetNoRoute)
	b.want(b.sendRequest(2, notes, other, 101, 1000), Forwarded)
}

// Another balancer with a newer catalogue has opened a flow on a new route. This balancer
// forwards it by its cookie until it has that version as well.
func TestUnknownRouteIsForwarded(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	added := netip.MustParseAddrPort("198.18.0.9:443")
	b.want(b.handle(packet(1, added, ACK, 1)), Forwarded)
	c := testCatalogue()
	c.Routes[added] = Route{Address: added, Backends: []Backend{{"s", 1}}}
	b.f.SetCatalogue(c)
	b.now += time.Minute
	b.f.SetListCompleteAt(b.now)
	b.want(b.handle(packet(1, added, ACK, 1)), Forwarded)
}
