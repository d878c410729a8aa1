package direct

import (
	"net/netip"
	"testing"
	"time"
)

func TestOpeningsStayNear(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "b"))
	d := b.handle(packet(1, streams, SYN, 0))
	b.want(d, OpenedNear)
	if d.Target.ID != 1 || !d.SetCookie {
		t.Errorf("opening went to %d, cookie set: %v", d.Target.ID, d.SetCookie)
	}
}

func TestDecisions(t *testing.T) {
	draining := target1(1, "a")
	draining.Draining = true
	for _, c := range []struct {
		name    string
		targets []Target
		packet  *Segment
		want    Reason
	}{
		{"no route", []Target{target1(1, "a")}, packet(1, netip.MustParseAddrPort("198.18.9.9:1"), SYN, 0), ResetNoRoute},
		{"no route, a reset", []Target{target1(1, "a")}, packet(1, netip.MustParseAddrPort("198.18.9.9:1"), RST, 0), DroppedReset},
		{"no target", nil, packet(1, streams, SYN, 0), ResetNoTarget},
		{"far target only", []Target{target1(2, "b")}, packet(1, streams, SYN, 0), OpenedFar},
		{"draining target only", []Target{draining}, packet(1, streams, SYN, 0), OpenedNear},
		{"draining target and another", []Target{draining, target1(2, "b")}, packet(1, streams, SYN, 0), OpenedFar},
		{"by cookie", []Target{target1(1, "a")}, packet(1, streams, ACK, 1), Forwarded},
		{"by cookie to a draining target", []Target{draining}, packet(1, streams, ACK, 1), Forwarded},
		{"unknown cookie", []Target{target1(1, "a")}, packet(1, streams, ACK, 77), DroppedWait},
	} {
		b := newFixture(t, c.targets...)
		if d := b.handle(c.packet); d.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, d.Reason, c.want)
		}
	}
}

// A caller returns the cookie of a target that no balancer knows any more, as
// the target left while this balancer was down. The caller must not repeat until
// its deadline, but news of a target that has just come may still be on its way.
func TestUnknownCookieIsResetAfterAWhile(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.want(b.handle(packet(1, streams, ACK, 77)), DroppedWait)
	b.now += 5 * time.Second // the store is away: the list gets older
	b.want(b.handle(packet(1, streams, ACK, 77)), DroppedWait)
	b.f.SetProven(b.now)
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
	b.want(b.handle(packet(99, streams, SYN, 0)), ResetNoTarget)
	b.now += 3 * time.Minute
	b.f.Tick(b.now)
	b.f.Tick(b.now)
	if d := b.handle(packet(98, streams, SYN, 0)); d.Verb != Forward || d.Target.ID != 0x200000001 {
		t.Errorf("after the first left: %v", d.Reason)
	}
}

// A caller repeats its opening, two targets answer, and the caller returns the
// cookie of the later answer. Its packets must keep going to the target whose
// answer it took first.
func TestSecondAnswerDoesNotMoveAFlow(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"))
	first := b.handle(packet(1, streams, SYN, 0)).Target.ID
	b.now += 200 * time.Millisecond
	copied := packet(1, streams, SYN, 0)
	copied.Ack = 1
	second := b.handle(copied)
	b.want(second, OpenedElse)
	if second.Target.ID == first {
		t.Error("the repeated opening went to the same target")
	}
	b.handle(packet(1, streams, ACK, first.Cookie()))
	d := b.handle(packet(1, streams, ACK, second.Target.ID.Cookie()))
	b.want(d, ForwardedKnown)
	if d.Target.ID != first {
		t.Errorf("packet went to %d", d.Target.ID)
	}
}

// The last target of a service gets its openings again: there is no other.
func TestRepeatedOpeningOfTheOnlyTarget(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.handle(packet(1, streams, SYN, 0))
	b.now += 200 * time.Millisecond
	if d := b.handle(packet(1, streams, SYN, 0)); d.Verb != Forward || d.Target.ID != 1 {
		t.Errorf("repeated opening: %v", d.Reason)
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
	b.now += quiet + time.Millisecond
	b.want(b.ask(1, streams, id, 401, 3000), ResetGone)
}

// A registration lapses while its target lives, as the store was away. Its flows
// must go on.
func TestFlowsOfALapsedTargetGoOn(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	id := b.open(1, streams)
	b.f.RemoveTarget(b.now, id)
	b.want(b.ask(1, streams, id, 101, 1000), Forwarded)
	if got := b.f.Suspects(b.now); len(got) != 1 {
		t.Fatalf("%d targets to check, want the lapsed one", len(got))
	}
	b.f.Checked(b.now, id, Alive)
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
	b.f.SetProven(b.now)
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
	b.f.SetProven(b.now)
	b.want(b.handle(packet(1, added, ACK, 1)), Forwarded)
}

// All targets of a service leave. For a moment openings may still go to them,
// then callers are told at once that nothing ran.
func TestAllTargetsLeave(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	leaving := target1(1, "a")
	leaving.Draining = true
	b.f.PutTarget(b.now, leaving)
	b.want(b.handle(packet(1, streams, SYN, 0)), OpenedNear)
	b.now += lateDrain
	b.f.PutTarget(b.now, leaving) // a heartbeat
	b.want(b.handle(packet(2, streams, SYN, 0)), ResetNoTarget)
}

// A suspected target is better than one that leaves.
func TestSuspectedBeforeLeaving(t *testing.T) {
	leaving := target1(1, "a")
	leaving.Draining = true
	b := newFixture(t, leaving, target1(2, "a"))
	b.state(2).avoidUntil = b.now + time.Second
	if d := b.handle(packet(1, streams, SYN, 0)); d.Target.ID != 2 {
		t.Errorf("opening went to %d", d.Target.ID)
	}
}

// A copy of an opening is late and comes after the flow has opened. Its answer
// must carry the cookie, or the caller would lose it.
func TestLateCopyCarriesTheCookie(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"))
	id := b.open(1, streams)
	d := b.handle(packet(1, streams, SYN, 0))
	if d.Target.ID != id || !d.SetCookie {
		t.Errorf("late copy went to %d, cookie set: %v", d.Target.ID, d.SetCookie)
	}
}

func TestWeightsShareOpenings(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	x := target1(2, "a")
	x.Service = "x"
	b.f.PutTarget(b.now, x)
	c := testCatalogue()
	r := c.Routes[streams]
	r.Backends = []Backend{{"s", 90}, {"x", 10}}
	c.Routes[streams] = r
	b.f.SetCatalogue(c)
	got := 0
	const openings = 2000
	for i := range openings {
		s := packet(uint16(i), streams, SYN, 0)
		d := b.handle(s)
		if d.Target.Service == "x" {
			got++
		}
		s.Ack = 1
		if again := b.handle(s); again.Target.Service != d.Target.Service {
			t.Fatal("a repeated opening changed the service")
		}
	}
	if got < openings*8/100 || got > openings*12/100 {
		t.Errorf("%d of %d openings went to the service with a tenth", got, openings)
	}
}

// A target takes so many flows and leaves further openings unanswered. They go
// elsewhere, also those that peers hold count, and with no room left callers are
// told at once.
func TestFullTargets(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "b"))
	c := testCatalogue()
	c.Services["s"] = Service{Name: "s", MaxConns: 3}
	b.f.SetCatalogue(c)
	b.f.SetPeerLoads(map[TargetID]Load{1: {Flows: 1}})
	for port, want := range []TargetID{1, 1, 2, 2, 2} {
		if id := b.open(uint16(port), streams); id != want {
			t.Errorf("flow %d opened at %d, want %d", port, id, want)
		}
	}
	b.want(b.handle(packet(99, streams, SYN, 0)), ResetNoTarget)
}

func TestFlowTableIsBounded(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	for i := range 3000 {
		s := packet(uint16(i), streams, SYN, 0)
		if d := b.handle(s); d.Verb != Forward {
			t.Fatalf("opening %d: %v", i, d.Reason)
		}
	}
	if b.f.Flows() != 1000 {
		t.Errorf("%d flows in the table", b.f.Flows())
	}
	b.now += 3 * time.Second
	b.f.Tick(b.now)
	if b.f.Flows() != 0 {
		t.Errorf("%d openings are kept after all callers gave up", b.f.Flows())
	}
}

// Whatever happens to flows, the counts at the targets end at zero: a count that
// stays would keep new flows away for ever.
func TestCountsReturnToZero(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"), target1(3, "b"))
	for i := range uint16(200) {
		id := b.open(i, streams)
		b.ask(i, streams, id, 101, 1000)
		switch i % 4 {
		case 0: // answered and closed
			s := packet(i, streams, ACK|FIN, id.Cookie())
			s.Seq, s.Ack = 401, 3000
			b.handle(s)
			b.handle(s)
		case 1: // the caller resets
			b.handle(packet(i, streams, RST, id.Cookie()))
		case 2: // opened again from the same port
			b.handle(packet(i, streams, SYN, 0))
		}
		b.now += time.Millisecond
	}
	b.now += 2 * time.Minute
	b.f.Tick(b.now)
	for id, x := range b.f.targets {
		if x.flows != 0 || x.busy != 0 {
			t.Errorf("target %d still holds %d flows and %d requests", id, x.flows, x.busy)
		}
	}
}

func BenchmarkForward(b *testing.B) {
	x := newFixture(&testing.T{}, target1(1, "a"), target1(2, "a"))
	id := x.open(1, streams)
	s := packet(1, streams, ACK, id.Cookie())
	b.ReportAllocs()
	for i := range b.N {
		s.Ack = uint32(2000 + i)
		x.f.Handle(x.now, s)
	}
}
