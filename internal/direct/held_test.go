package direct

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newWithIdleFlow returns a gated fixture whose flow from port 1 has got its answer, while
// other flows hold all places.
func newWithIdleFlow(t *testing.T) *fixture {
	b := newGated(t, target1(1, "a"))
	b.fill(1)
	b.answer(1, 1)
	for port := uint16(2); port < 2+placesPerTarget; port++ {
		b.openFlow(port, streams)
		b.sendRequest(port, streams, 1, 101, 1000)
	}
	b.wantInFlight(placesPerTarget)
	return b
}

// A request on an open flow has to wait like an opening, with all its packets in order, and
// must not be reset, as its caller could not tell whether it ran.
func TestRequestOnAnOpenFlowIsHeld(t *testing.T) {
	b := newWithIdleFlow(t)
	b.want(b.sendRequest(1, streams, 1, 401, 3000), HeldRequest)
	b.want(b.sendRequest(1, streams, 1, 401, 3000), DroppedWaiting) // a retransmission
	b.want(b.sendRequest(1, streams, 1, 701, 3000), HeldRequest)    // its second packet
	if busy := b.state(1).busy; busy != placesPerTarget {
		t.Errorf("%d requests in flight at the target", busy)
	}
	b.answer(2, 1)
	if d := b.releases()[1]; d.Verb != Forward || d.Reason != Forwarded || d.Target.ID != 1 {
		t.Errorf("released as %+v", d)
	}
	if fl := b.f.flows[packet(1, streams, 0, 0).Flow()]; fl.maxEnd != 1001 || !fl.pending || fl.held != nil {
		t.Errorf("flow after the release: %+v", fl)
	}
	b.wantInFlight(placesPerTarget)
	if b.f.Count(HeldRequest) != 2 || b.f.Count(DroppedWaiting) != 1 {
		t.Errorf("%d held, %d dropped", b.f.Count(HeldRequest), b.f.Count(DroppedWaiting))
	}
}

// A request that gets no place until its longest wait ends must be forwarded beyond the limit.
func TestHeldRequestIsForcedInTheEnd(t *testing.T) {
	b := newWithIdleFlow(t)
	b.want(b.sendRequest(1, streams, 1, 401, 3000), HeldRequest)
	if r := b.pass(300 * time.Millisecond); r[1].Reason != ForwardedForced || r[1].Verb != Forward {
		t.Errorf("released %v", r)
	}
	b.wantInFlight(placesPerTarget + 1)
}

// A FIN must not overtake the held request, and its place must not leak.
func TestEndOfAFlowWhileItsRequestIsHeld(t *testing.T) {
	b := newWithIdleFlow(t)
	b.want(b.sendRequest(1, streams, 1, 401, 3000), HeldRequest)
	end := packet(1, streams, ACK|FIN, 1)
	end.Seq, end.Ack = 701, 3000
	b.want(b.handle(end), HeldRequest)
	if r := b.releases(); r[1].Verb != Forward || r[1].Reason != ForwardedForced {
		t.Errorf("released %v", r)
	}
	b.wantInFlight(placesPerTarget)
}

// After the caller's reset, the data must not be sent: the target would run a request that
// nobody waits for.
func TestResetOfAFlowWhileItsRequestIsHeld(t *testing.T) {
	b := newWithIdleFlow(t)
	b.want(b.sendRequest(1, streams, 1, 401, 3000), HeldRequest)
	b.want(b.handle(packet(1, streams, RST, 1)), Forwarded)
	if r := b.releases(); len(r) != 1 || r[1].Verb != Drop {
		t.Errorf("released %v", r)
	}
	b.answer(2, 1)
	if r := b.releases(); len(r) != 0 {
		t.Errorf("released %v", r)
	}
	b.wantInFlight(placesPerTarget - 1)
}

// The caller of a held opening gives up, or the flow is opened through another balancer. The
// opening must not be sent later, as the target would open a flow without a caller.
func TestHeldOpeningOfACallerThatGaveUp(t *testing.T) {
	for name, after := range map[string]func(*fixture) map[uint16]Decision{
		"caller timeout":   func(b *fixture) map[uint16]Decision { return b.pass(callerTimeout + 100*time.Millisecond) },
		"reset":            func(b *fixture) map[uint16]Decision { b.handle(packet(99, streams, RST, 0)); return b.releases() },
		"opened elsewhere": func(b *fixture) map[uint16]Decision { b.handle(packet(99, streams, ACK, 1)); return b.releases() },
	} {
		b := newGated(t, target1(1, "a"))
		b.fill(placesPerTarget)
		b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
		if r := after(b); r[99].Verb != Drop || r[99].Reason != DroppedWaiting {
			t.Errorf("%s: released %v", name, r)
		}
		b.answer(1, 1)
		if r := b.releases(); len(r) != 0 || len(b.f.held) != 0 {
			t.Errorf("%s: released %v afterwards", name, r)
		}
	}
}

// A packet that could not be kept must not leave a wait behind: its copy would be dropped as one
// of a waiting packet, and nothing would be sent on release.
func TestPacketsThatCouldNotBeKept(t *testing.T) {
	b := newWithIdleFlow(t)
	b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
	b.f.Unhold(packet(99, streams, SYN, 0))
	b.want(b.sendRequest(1, streams, 1, 401, 3000), HeldRequest)
	b.want(b.sendRequest(1, streams, 1, 701, 3000), HeldRequest)
	b.f.Unhold(packet(1, streams, ACK, 1))
	b.want(b.sendRequest(1, streams, 1, 701, 3000), HeldRequest)
	b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
	if n := b.f.services["s"].gate.waiting; n != 2 {
		t.Errorf("%d wait", n)
	}
}

// Targets leave, restart and fall silent while requests are in flight and waiting. The flows of
// dead ones are reset as ever, and waiting openings go to the targets that are left.
func TestTargetsChangeWhileRequestsWait(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"leaves": func(b *fixture) {
			x := target1(1, "a")
			x.Draining = true
			b.f.PutTarget(b.now, x)
		},
		"restarts": func(b *fixture) {
			x := target1(1, "a")
			x.Born = Born{true, 9}
			b.f.PutTarget(b.now, x)
		},
		"falls silent": func(b *fixture) { b.state(1).suspect(b.now) },
	} {
		b := newGated(t, target1(1, "a"), target1(2, "a"), target1(3, "a"))
		ids := b.fill(3 * placesPerTarget)
		for port := uint16(200); port < 204; port++ {
			b.want(b.handle(packet(port, streams, SYN, 0)), HeldOpening)
		}
		change(b)
		b.pass(100 * time.Millisecond)
		sent := map[uint16]Decision{}
		for i, id := range ids {
			if name == "falls silent" && id == 1 {
				continue
			}
			b.answer(uint16(i+1), id)
			for port, d := range b.releases() {
				sent[port] = d
			}
		}
		for port := uint16(200); port < 204; port++ {
			if d := sent[port]; d.Verb != Forward || name != "restarts" && d.Target.ID == 1 {
				t.Errorf("%s: opening %d: %+v", name, port, d)
			}
		}
		b.pass(3 * time.Second)
		b.wantInFlight(0)
	}
}

// The only target dies while an opening waits: the caller is refused as without a gate, and at
// once.
func TestLastTargetDiesWhileAnOpeningWaits(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	b.fill(placesPerTarget)
	b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
	x := target1(1, "a")
	x.Draining = true
	b.f.PutTarget(b.now, x)
	b.f.RemoveTarget(b.now, 1)
	if r := b.pass(100 * time.Millisecond); r[99].Verb != Reset || r[99].Reason != ResetNoTarget {
		t.Errorf("released %v", r)
	}
}

// Random packets and events must keep the counts of places consistent and release every held
// packet once; nothing that holds a request may reset it.
func TestPlacesMatchFlows(t *testing.T) {
	for seed := range uint64(20) {
		b := newGated(t, target1(1, "a"), target1(2, "b"))
		rng := rand.New(rand.NewPCG(seed, 7))
		for range 4000 {
			b.now += time.Duration(rng.IntN(8)) * time.Millisecond
			b.randomEvent(rng)
			for _, r := range b.f.Releases(b.now) {
				if r.Decision.Verb == Reset && r.Decision.Reason != ResetOverload && r.Decision.Reason != ResetNoTarget && r.Decision.Reason != ResetEvacuated {
					t.Fatalf("seed %d: released as %v", seed, r.Decision.Reason)
				}
			}
			if g, x, f := b.inFlight(); g != x || g != f {
				t.Fatalf("seed %d: %d places at the gate, %d at targets, %d of flows", seed, g, x, f)
			}
			if n := b.f.services["s"].gate.waiting; n != len(b.f.held) {
				t.Fatalf("seed %d: %d wait, %d held", seed, n, len(b.f.held))
			}
		}
		b.pass(time.Minute)
		b.wantInFlight(0)
		if len(b.f.held) != 0 {
			t.Errorf("seed %d: %d flows are held for ever", seed, len(b.f.held))
		}
	}
}

func (b *fixture) randomEvent(rng *rand.Rand) {
	port, id := uint16(rng.IntN(30)), TargetID(1+rng.IntN(2))
	to := streams
	if port%3 == 0 {
		to = notes
	}
	s := packet(port, to, ACK, id.Cookie())
	s.Seq, s.Ack = uint32(101+300*rng.IntN(4)), uint32(1000+1000*rng.IntN(4))
	switch rng.IntN(12) {
	case 0, 1, 2, 3:
		s = packet(port, to, SYN, 0)
		s.Ack = uint32(rng.IntN(2))
	case 4, 5, 6:
		s.Len = 300
	case 7:
		s.Flags |= FIN
	case 8:
		s.Flags = RST
	case 9:
		b.f.Tick(b.now)
	case 10:
		b.randomChange(rng, id)
	}
	b.handle(s)
}

func (b *fixture) randomChange(rng *rand.Rand, id TargetID) {
	x := target1(id, []string{"a", "b"}[id-1])
	switch rng.IntN(6) {
	case 0:
		x.Born = Born{true, int64(rng.IntN(9))}
		b.f.PutTarget(b.now, x)
	case 1:
		b.f.Evacuate(b.now, "a", rev(1))
	case 2, 3:
		b.f.TakeBack(b.now, "a")
	case 4:
		b.state(id).suspect(b.now)
	case 5:
		b.f.SetBalancers("b1", []string{"b2", "b3"}[:rng.IntN(3)])
	}
}
