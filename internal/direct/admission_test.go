package direct

import (
	"math/rand/v2"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/admission"
)

// placesPerTarget is the number of places that a balancer which is alone in its data centre has
// for each target of target1.
const placesPerTarget = 2 * RequestsPerSlot

// An opening that finds no place has to wait, copies of it must change nothing, and an answer
// that frees a place has to let it go on.
func TestOpeningWaitsForAPlace(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	b.fill(placesPerTarget)
	b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
	b.now += 200 * time.Millisecond
	copied := packet(99, streams, SYN, 0)
	copied.Ack = 1
	b.want(b.handle(copied), DroppedWaiting)
	if r := b.releases(); len(r) != 0 {
		t.Errorf("released without a place: %v", r)
	}
	if x := b.f.Explain(b.now, packet(99, streams, 0, 0).Flow()); x.Outcome != HeldOpening.String() || len(x.Gates) != 1 || x.Gates[0].Waiting != 1 {
		t.Errorf("explanation %+v", x)
	}
	b.answer(2, 1)
	d := b.releases()[99]
	if d.Verb != Forward || d.Reason != OpenedNear || d.Target.ID != 1 || !d.SetCookie || d.Waited != 200*time.Millisecond {
		t.Errorf("released as %+v", d)
	}
	b.wantInFlight(placesPerTarget)
}

// A copy of an opening that was forwarded must go to a second target and keep its place: a
// second place for each copy would halve what the balancer uses.
func TestForwardedCopyKeepsItsPlace(t *testing.T) {
	b := newGated(t, target1(1, "a"), target1(2, "a"))
	first := b.handle(packet(1, streams, SYN, 0)).Target.ID
	b.now += 200 * time.Millisecond
	copied := packet(1, streams, SYN, 0)
	copied.Ack = 1
	d := b.handle(copied)
	b.want(d, OpenedElsewhere)
	b.wantInFlight(1)
	if b.state(first).places != 0 || b.state(d.Target.ID).places != 1 {
		t.Errorf("%d places at the first target", b.state(first).places)
	}
}

// The opening of the more urgent route has to be released first, whatever order they came in.
func TestUrgentOpeningGoesFirst(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	b.fill(placesPerTarget)
	b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
	b.now += 10 * time.Millisecond
	b.want(b.handle(packet(100, notes, SYN, 0)), HeldOpening)
	b.answer(1, 1)
	if r := b.releases(); len(r) != 1 || r[100].Verb != Forward {
		t.Errorf("released %v, want the urgent opening", r)
	}
}

// Under three times the load that the places can serve, openings have to be rejected, but only
// ones that were never forwarded, and never a copy that this balancer does not know: a target
// may have answered an earlier copy.
func TestOnlyNewOpeningsAreRejected(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	rng := rand.New(rand.NewPCG(3, 3))
	rejected, dropped := 0, 0
	unknown, forwarded := map[uint16]bool{}, map[uint16]bool{}
	var serving []uint16
	take := func(port uint16, d Decision) {
		switch {
		case d.Verb == Forward:
			forwarded[port] = true
			serving = append(serving, port)
		case d.Verb == Reset:
			rejected++
			b.want(d, ResetOverload)
			if unknown[port] || forwarded[port] {
				t.Fatalf("flow %d was reset; unknown copy %v, forwarded %v", port, unknown[port], forwarded[port])
			}
		case d.Verb == Drop:
			dropped++
		}
	}
	for port := uint16(1); port < 900; port++ {
		b.now += 4 * time.Millisecond
		s := packet(port, streams, SYN, 0)
		if rng.IntN(4) == 0 {
			s.Ack, unknown[port] = 1, true
		}
		take(port, b.handle(s))
		if port%3 == 0 && len(serving) >= placesPerTarget {
			p := serving[0]
			serving = serving[1:]
			b.sendRequest(p, streams, 1, 101, 1000)
			b.answer(p, 1)
			end := packet(p, streams, ACK|FIN, 1)
			end.Seq, end.Ack = 401, 3000
			b.handle(end)
		}
		if port%25 == 0 {
			b.f.Tick(b.now)
		}
		for p, d := range b.releases() {
			take(p, d)
		}
	}
	if rejected < 100 || dropped == 0 || len(forwarded) < 250 {
		t.Errorf("%d rejected, %d dropped, %d forwarded", rejected, dropped, len(forwarded))
	}
}

// However flows end, and whatever happens to their targets, the gate must get all places back. A
// leaked place would lower the balancer's limit for ever.
func TestPlacesAreGivenBack(t *testing.T) {
	for name, end := range map[string]func(*fixture, TargetID){
		"answer":  func(b *fixture, id TargetID) { b.answer(1, id) },
		"end":     func(b *fixture, id TargetID) { b.handle(packet(1, streams, ACK|FIN, id.Cookie())) },
		"reset":   func(b *fixture, id TargetID) { b.handle(packet(1, streams, RST, id.Cookie())) },
		"timeout": func(b *fixture, _ TargetID) { b.pass(maxBusyTime + 100*time.Millisecond) },
		"reopened": func(b *fixture, id TargetID) {
			b.handle(packet(1, streams, RST, id.Cookie()))
			b.handle(packet(1, streams, SYN, 0))
			b.pass(maxBusyTime + 100*time.Millisecond)
		},
		"target gone": func(b *fixture, id TargetID) {
			b.now += time.Second
			b.sendRequest(1, streams, id, 101, 1000) // a retransmission causes the check
			b.f.TargetsToCheck(b.now)
			b.f.Checked(b.now, Start{ID: id}, Gone)
		},
		"target left": func(b *fixture, id TargetID) {
			x := target1(id, "a")
			x.Draining = true
			b.f.PutTarget(b.now, x)
			b.f.RemoveTarget(b.now, id)
			b.now += time.Second
			b.sendRequest(1, streams, id, 101, 1000)
		},
		"target restarted": func(b *fixture, id TargetID) {
			x := target1(id, "a")
			x.Born = Born{true, 5}
			b.f.SetListCompleteAt(b.now + time.Minute)
			b.f.PutTarget(b.now, x)
		},
		"route removed": func(b *fixture, id TargetID) {
			c := goalCatalogue()
			delete(c.Routes, streams)
			b.f.SetCatalogue(c)
			b.f.SetListCompleteAt(b.now)
			b.sendRequest(1, streams, id, 101, 1000)
			b.f.SetListCompleteAt(b.now + time.Second)
			b.sendRequest(1, streams, id, 101, 1000)
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := target1(1, "a")
			x.Born = Born{true, 4}
			if name == "target gone" || name == "target left" {
				x.Born = Born{}
			}
			b := newGated(t, x)
			b.fill(1)
			b.wantInFlight(1)
			end(b, 1)
			b.wantInFlight(0)
		})
	}
}

// A balancer that has just started and knows no peers must not take the whole capacity of its
// data centre, as the others already use it.
func TestUnknownFleetGetsASmallShare(t *testing.T) {
	b := newGoalFixture(t, target1(1, "a"))
	b.f.Tick(b.now)
	g := b.f.services["s"].gate
	if got := g.Stats().Pools[0].Share; got != float64(placesPerTarget)/unknownFleet {
		t.Errorf("share %v", got)
	}
	b.f.SetBalancers("b1", []string{"b0", "b2"})
	b.f.Tick(b.now)
	if got := g.Stats().Pools[0].Share; got != float64(placesPerTarget)/3 || b.f.position != (fleetPosition{1, 3}) {
		t.Errorf("share %v at %+v", got, b.f.position)
	}
}

// A service without a goal must be handled exactly as with the feature off: a limit that acts
// there would delay callers of deployments that never asked for it.
func TestServiceWithoutGoalIsUntouched(t *testing.T) {
	var targets []Target
	for i := range 6 {
		targets = append(targets, target1(TargetID(i+1), []string{"a", "b"}[i/4]))
	}
	with, off := newFixture(t, targets...), newGoalFixture(t, targets...)
	off.f.without = 1 << Admission
	off.f.SetCatalogue(goalCatalogue())
	for port := uint16(1); port < 200; port++ {
		x, y := with.handle(packet(port, streams, SYN, 0)), off.handle(packet(port, streams, SYN, 0))
		if x.Verb != Forward || x.Reason != y.Reason || x.Target.ID != y.Target.ID {
			t.Fatalf("opening %d: %v and %v", port, x.Reason, y.Reason)
		}
	}
	if n := len(with.f.GateStats()); n != 0 {
		t.Errorf("%d gates", n)
	}
}

// When an operator removes the goal, waiting openings must go on rather than wait for a gate
// that no longer limits anything.
func TestRemovedGoalReleasesWaitingOpenings(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	b.fill(placesPerTarget)
	b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
	b.f.SetCatalogue(testCatalogue())
	if r := b.pass(100 * time.Millisecond); r[99].Verb != Forward {
		t.Errorf("released %v", r)
	}
}

// A gate without usable targets must not hold openings: their callers are refused at once.
func TestNoTargetRefusesAtOnce(t *testing.T) {
	b := newGated(t)
	b.want(b.handle(packet(1, streams, SYN, 0)), ResetNoTarget)
	if s := b.f.GateStats(); len(s) != 1 || s[0].Rejected != [admission.Priorities]uint64{} {
		t.Errorf("gates %+v", s)
	}
	b.wantInFlight(0)
}
