package direct

import (
	"net/netip"
	"testing"
	"time"
)

// A caller returns the cookie of a target that no balancer knows any more, as
// the target left while this balancer was down. The caller must not repeat until
// its deadline, but news of a target that has just come may still be on its way.
func TestUnknownCookieIsResetAfterAWhile(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.want(b.handle(packet(1, streams, ACK, 77)), DroppedWait)
	b.now += 5 * time.Second // the store is away: the list gets older
	b.want(b.handle(packet(1, streams, ACK, 77)), DroppedWait)
	b.f.SetListCompleteAt(b.now)
	b.want(b.handle(packet(1, streams, ACK, 77)), ResetUnknown)
	b.f.PutTarget(b.now, target1(77, "a"))
	b.want(b.handle(packet(1, streams, ACK, 77)), Forwarded)
}

// Two targets' identifiers share their low 32 bits. Packets of the first one's
// flows must not reach the second, which takes no new flow until the first has
// left and been forgotten.
func TestCookieCollision(t *testing.T) {
	b := newFixture(t, target1(0x100000001, "a"), target1(0x200000001, "a"))
	for port := range uint16(20) {
		if id := b.open(port, streams); id != 0x100000001 {
			t.Fatalf("flow opened at %x", uint64(id))
		}
	}
	b.f.RemoveTarget(b.now, 0x100000001)
	b.now += lateOpeningWindow // for so long a lapsed target may still get openings
	b.want(b.handle(packet(99, streams, SYN, 0)), ResetNoTarget)
	b.now += 3 * time.Minute
	b.f.Tick(b.now)
	b.f.Tick(b.now)
	if d := b.handle(packet(98, streams, SYN, 0)); d.Verb != Forward || d.Target.ID != 0x200000001 {
		t.Errorf("after the first left: %v", d.Reason)
	}
}

// A target said that it would leave, and its registration is gone: it has left.
// Callers with idle flows get a reset on their next packet and try elsewhere at
// once.
func TestFlowsOfATargetThatLeftAreReset(t *testing.T) {
	leaving := target1(1, "a")
	b := newFixture(t, leaving)
	id := b.open(1, streams)
	leaving.Draining = true
	b.f.PutTarget(b.now, leaving)
	b.want(b.ask(1, streams, id, 101, 1000), Forwarded)
	b.f.RemoveTarget(b.now, id)
	b.now += minSilence + time.Millisecond
	b.want(b.ask(1, streams, id, 401, 3000), ResetGone)
}

// A registration lapses while its target lives, as the store was away. Its flows
// must go on.
func TestFlowsOfALapsedTargetGoOn(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	id := b.open(1, streams)
	b.f.RemoveTarget(b.now, id)
	b.want(b.ask(1, streams, id, 101, 1000), Forwarded)
	if got := b.f.TargetsToCheck(b.now); len(got) != 1 {
		t.Fatalf("%d targets to check, want the lapsed one", len(got))
	}
	b.f.Checked(b.now, Start{ID: id}, Alive)
	b.want(b.ask(1, streams, id, 401, 1000), Forwarded)
	b.f.PutTarget(b.now, target1(1, "a"))
	if d := b.handle(packet(2, streams, SYN, 0)); d.Verb != Forward {
		t.Errorf("opening after the target is back: %v", d.Reason)
	}
}

// Before the first catalogue, packets of open flows pass by their cookies.
func TestFlowsPassBeforeTheCatalogue(t *testing.T) {
	f := New(Config{DataCenter: "a", FlowMaxAge: time.Minute, MaxFlows: 10})
	f.PutTarget(0, target1(1, "a"))
	if d := f.Handle(time.Second, packet(1, streams, ACK, 1)); d.Reason != Forwarded {
		t.Errorf("packet of an open flow: %v", d.Reason)
	}
}

// A new version of the catalogue drops a route. Its flows end once that is
// certain, others stay.
func TestDroppedRoute(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	id := b.open(1, streams)
	other := b.open(2, notes)
	c := testCatalogue()
	delete(c.Routes, streams)
	b.f.SetCatalogue(c)
	b.want(b.handle(packet(3, streams, SYN, 0)), ResetNoRoute)
	b.want(b.ask(1, streams, id, 101, 1000), Forwarded)
	b.now += time.Second
	b.f.SetListCompleteAt(b.now)
	b.want(b.ask(1, streams, id, 401, 1000), ResetNoRoute)
	b.want(b.ask(2, notes, other, 101, 1000), Forwarded)
}

// A route was added and a flow opened by a balancer that knows it. This one lacks
// the new version: the flow goes on, and its next version has the route.
func TestRouteThatIsNotKnownYet(t *testing.T) {
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
