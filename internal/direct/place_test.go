package direct

import (
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

// If a service has only one target, a retransmitted opening goes to it again.
func TestRetransmittedOpeningToTheOnlyTarget(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.handle(packet(1, streams, SYN, 0))
	b.now += 200 * time.Millisecond
	if d := b.handle(packet(1, streams, SYN, 0)); d.Verb != Forward || d.Target.ID != 1 {
		t.Errorf("retransmitted opening: %v", d.Reason)
	}
}

// All targets of a service are leaving. They may get openings for lateOpeningWindow; then
// callers are refused at once.
func TestAllTargetsLeave(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	leaving := target1(1, "a")
	leaving.Draining = true
	b.f.PutTarget(b.now, leaving)
	b.want(b.handle(packet(1, streams, SYN, 0)), OpenedNear)
	b.now += lateOpeningWindow
	b.f.PutTarget(b.now, leaving) // a heartbeat
	b.want(b.handle(packet(2, streams, SYN, 0)), ResetNoTarget)
}

// A suspected target is preferred to one that leaves.
func TestSuspectedBeforeLeaving(t *testing.T) {
	leaving := target1(1, "a")
	leaving.Draining = true
	b := newFixture(t, leaving, target1(2, "a"))
	b.state(2).avoidUntil = b.now + time.Second
	if d := b.handle(packet(1, streams, SYN, 0)); d.Target.ID != 2 {
		t.Errorf("opening went to %d", d.Target.ID)
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
			t.Fatal("a retransmitted opening changed the service")
		}
	}
	if got < openings*8/100 || got > openings*12/100 {
		t.Errorf("%d of %d openings went to the service with a tenth of the weight", got, openings)
	}
}

// A target at its maximum number of flows leaves openings unanswered. They go elsewhere.
// Flows reported by peers count too, and if no target has room callers are refused at once.
func TestFullTargets(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "b"))
	c := testCatalogue()
	c.Services["s"] = Service{Name: "s", MaxConns: 3}
	b.f.SetCatalogue(c)
	b.f.SetPeerLoads(map[TargetID]Load{1: {Flows: 1}})
	for port, want := range []TargetID{1, 1, 2, 2, 2} {
		if id := b.openFlow(uint16(port), streams); id != want {
			t.Errorf("flow %d opened at %d, want %d", port, id, want)
		}
	}
	b.want(b.handle(packet(99, streams, SYN, 0)), ResetNoTarget)
}

// All registrations have expired when the store comes back from an outage. The targets are
// alive and register again within a second or two. Until then openings go to them, except to
// any that had announced that it leaves, refuses connections, or does not return in time.
func TestLapsedTargetsServeForAMoment(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"), target1(3, "a"))
	left := b.state(2).Target
	left.Draining = true
	b.f.PutTarget(b.now, left)
	for id := range TargetID(3) {
		b.f.RemoveTarget(b.now, id+1)
	}
	b.f.Checked(b.now, Start{ID: 3}, Gone)
	for port := range uint16(5) {
		d := b.handle(packet(1+port, streams, SYN, 0))
		if d.Verb != Forward || d.Target.ID != 1 {
			t.Fatalf("opening: %v, want it to go to the target that expired", d.Reason)
		}
	}
	b.now += lateOpeningWindow
	b.want(b.handle(packet(100, streams, SYN, 0)), ResetNoTarget)
}
