package direct

import (
	"net/netip"
	"testing"
	"time"
)

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
		{"target only that has announced its end since", []Target{target1(1, "a"), draining}, packet(1, streams, SYN, 0), OpenedNear},
		{"target only that was draining before", []Target{draining}, packet(1, streams, SYN, 0), ResetNoTarget},
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

// A caller retransmits its opening, two targets answer, and the caller returns the cookie of
// the later answer. Its packets must keep going to the target whose answer came first, as that
// is the one the caller accepted.
func TestSecondAnswerDoesNotMoveAFlow(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"))
	first := b.handle(packet(1, streams, SYN, 0)).Target.ID
	b.now += 200 * time.Millisecond
	copied := packet(1, streams, SYN, 0)
	copied.Ack = 1
	second := b.handle(copied)
	b.want(second, OpenedElsewhere)
	if second.Target.ID == first {
		t.Error("the retransmitted opening went to the same target")
	}
	b.handle(packet(1, streams, ACK, first.Cookie()))
	d := b.handle(packet(1, streams, ACK, second.Target.ID.Cookie()))
	b.want(d, ForwardedKnown)
	if d.Target.ID != first {
		t.Errorf("packet went to %d", d.Target.ID)
	}
}

// A caller returns the cookie of the later of two answers. The balancer must write the accepted
// target's cookie into its packets, so that the caller returns that one: a balancer that has just
// started knows the flow by nothing else.
func TestLaterCookieIsCorrected(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"))
	id := b.openFlow(1, streams)
	other := TargetID(3 - id)
	d := b.handle(packet(1, streams, ACK, other.Cookie()))
	if d.Target.ID != id || !d.SetCookie {
		t.Errorf("packet went to %d, want %d; cookie written %v", d.Target.ID, id, d.SetCookie)
	}
	if d := b.handle(packet(1, streams, ACK, id.Cookie())); d.SetCookie {
		t.Error("the right cookie was written again")
	}
}

// The answer to a copy of an opening that arrives after the flow has opened must carry the
// cookie, or the caller would lose it.
func TestLateCopyCarriesTheCookie(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"))
	id := b.openFlow(1, streams)
	d := b.handle(packet(1, streams, SYN, 0))
	if d.Target.ID != id || !d.SetCookie {
		t.Errorf("late copy went to %d, cookie set: %v", d.Target.ID, d.SetCookie)
	}
}

// A caller uses a port again whose earlier flow still counts as open here, and its route has moved
// to another service meanwhile. The new flow must go where the route leads now, and not to the
// earlier flow's target, which may drain.
func TestReusedPortGetsANewFlow(t *testing.T) {
	moved := Target{ID: 2, Service: "moved", Addr: netip.MustParseAddrPort("10.0.0.2:80"), DataCenter: "a", Slots: 2}
	b := newFixture(t, target1(1, "a"), moved)
	b.openFlow(1, streams)
	c := testCatalogue()
	c.Version++
	r := c.Routes[streams]
	r.Backends = []Backend{{"moved", 1}}
	c.Routes[streams] = r
	c.Services["moved"] = c.Services["s"]
	b.f.SetCatalogue(c)
	again := packet(1, streams, SYN, 0)
	again.Seq = 4711
	if d := b.handle(again); d.Target.ID != moved.ID || d.Reason != OpenedNear {
		t.Errorf("the later connection went to %d: %v, want %d", d.Target.ID, d.Reason, moved.ID)
	}
	b.handle(packet(1, streams, ACK, moved.ID.Cookie()))
	if d := b.handle(again); d.Target.ID != moved.ID || !d.SetCookie {
		t.Errorf("a copy of its opening went to %d", d.Target.ID)
	}
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
		t.Errorf("%d openings are kept after openingRetention", b.f.Flows())
	}
}

// However flows end, the counts at the targets must return to zero. A leaked count would keep
// new flows away for ever.
func TestCountsReturnToZero(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"), target1(3, "b"))
	for i := range uint16(200) {
		id := b.openFlow(i, streams)
		b.sendRequest(i, streams, id, 101, 1000)
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
			t.Errorf("target %d still counts %d flows and %d requests", id, x.flows, x.busy)
		}
	}
}

func BenchmarkForward(b *testing.B) {
	x := newFixture(&testing.T{}, target1(1, "a"), target1(2, "a"))
	id := x.openFlow(1, streams)
	s := packet(1, streams, ACK, id.Cookie())
	b.ReportAllocs()
	for i := range b.N {
		s.Ack = uint32(2000 + i)
		x.f.Handle(x.now, s)
	}
}
