package direct

import (
	"testing"
	"time"
)

// spread sends openings and first packets for some time, so that targets show life, and the
// ends of so many of 4 requests.
func (b *fixture) spread(length time.Duration, port *uint16, endsOfFour int) (held int) {
	begin := func(port uint16, id TargetID) {
		first := packet(port, streams, ACK, id.Cookie())
		first.Seq, first.Ack = 101, 1000
		b.handle(first)
		b.sendRequest(port, streams, id, 101, 1000)
		if int(port%4) < endsOfFour {
			b.answer(port, id)
		}
	}
	for end := b.now + length; b.now < end; {
		*port++
		d := b.handle(packet(*port, streams, SYN, 0))
		b.now += 5 * time.Millisecond
		if d.Verb == Forward {
			begin(*port, d.Target.ID)
		} else {
			held++
		}
		for p, d := range b.pass(95 * time.Millisecond) {
			if d.Verb == Forward {
				begin(p, d.Target.ID)
			}
		}
	}
	return held
}

// The network spreads the packets of a flow over balancers, so that most ends of requests pass
// other ones. The gate must stop limiting, as its places say nothing about the targets, and must
// limit again once it sees the ends.
func TestUnseenEndsLiftTheLimit(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	g, port := b.f.services["s"].gate, uint16(0)
	if b.spread(10*time.Second, &port, 4); g.ends.unlimited || g.ends.total > 0 {
		t.Fatalf("ends %+v although all were seen", g.ends)
	}
	if b.spread(15*time.Second, &port, 1); !g.ends.unlimited {
		t.Fatalf("ends %+v, with a quarter seen", g.ends)
	}
	if held := b.spread(5*time.Second, &port, 1); held > 0 {
		t.Errorf("%d openings held while the gate limits nothing", held)
	}
	if s := b.f.GateStats()[0]; !s.Unlimited || s.UnseenEnds != g.ends.total || s.UnseenEnds == 0 {
		t.Errorf("statistics %+v", s)
	}
	if b.spread(4*time.Second, &port, 4); !g.ends.unlimited {
		t.Errorf("limits again after ends %+v: no hysteresis", g.ends)
	}
	if b.spread(10*time.Second, &port, 4); g.ends.unlimited {
		t.Errorf("ends %+v after all were seen for 14 s", g.ends)
	}
	b.fill(placesPerTarget)
	b.want(b.handle(packet(60000, streams, SYN, 0)), HeldOpening)
}

// All targets die at once with requests in flight, and their callers retransmit. The gate must go
// on limiting, or the targets that replace them would be overloaded.
func TestDeadTargetsKeepTheLimit(t *testing.T) {
	b := newGated(t, target1(1, "a"), target1(2, "a"))
	g := b.f.services["s"].gate
	for range 3 {
		ids := b.fill(2 * placesPerTarget)
		for range 3 {
			b.pass(400 * time.Millisecond)
			for i, id := range ids {
				b.sendRequest(uint16(i+1), streams, id, 101, 1000)
			}
		}
		b.pass(maxBusyTime)
		b.wantInFlight(0)
		for i := range ids {
			b.f.forget(packet(uint16(i+1), streams, 0, 0).Flow())
		}
	}
	if g.ends.unlimited || g.ends.total > 0 {
		t.Errorf("ends %+v", g.ends)
	}
}

// Requests that take longer than maxBusyTime end late, but their ends are seen. The gate must go
// on limiting.
func TestLateEndsKeepTheLimit(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	g := b.f.services["s"].gate
	for range 5 {
		ids := b.fill(placesPerTarget)
		b.pass(maxBusyTime + 100*time.Millisecond)
		for i, id := range ids {
			b.answer(uint16(i+1), id)
			b.handle(packet(uint16(i+1), streams, RST, id.Cookie()))
		}
		b.pass(100 * time.Millisecond)
		if g.ends.unlimited || g.ends.unseen > 0.1 {
			t.Errorf("ends %+v, want all seen late", g.ends)
		}
	}
	if g.ends.total == 0 {
		t.Errorf("no place has expired")
	}
}

// passAlive lets time pass while the targets show life, and returns the releases.
func (b *fixture) passAlive(d time.Duration) map[uint16]Decision {
	out := map[uint16]Decision{}
	for end := b.now + d; b.now < end; {
		b.showAllAlive(0)
		for port, d := range b.pass(100 * time.Millisecond) {
			out[port] = d
		}
	}
	return out
}

// The ends of some requests pass other balancers, and these requests hold all places of this one.
// Openings must not wait for maxBusyTime while the targets answer.
func TestUnseenEndsAtASaturatedGate(t *testing.T) {
	for _, known := range []bool{true, false} { // the usual response time, of 20 ms
		b := newGated(t, target1(1, "a"))
		within := goalCatalogue().Routes[streams].Goal + 200*time.Millisecond
		if known {
			b.learnUsualTime()
			within = 400 * time.Millisecond
		}
		b.fill(placesPerTarget)
		b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
		if d := b.passAlive(within)[99]; d.Verb != Forward {
			t.Errorf("response time known %v: opening %v after %v, want forwarded", known, d, within)
		}
	}
}

// Requests with unseen ends hold all places, so that no packet shows life of their target. Its answer
// to a check must give the places back.
func TestAnsweredCheckGivesPlacesBack(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	b.learnUsualTime()
	ids := b.fill(placesPerTarget)
	b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
	b.now += 300 * time.Millisecond
	b.sendRequest(1, streams, ids[0], 101, 1000) // a retransmission causes the check
	if checks := b.f.TargetsToCheck(b.now); len(checks) != 1 {
		t.Fatalf("checks %v, want one", checks)
	}
	if d := b.pass(100 * time.Millisecond)[99]; d.Verb == Forward {
		t.Errorf("opening %v before the answer", d)
	}
	b.f.Checked(b.now, Start{ID: ids[0]}, Alive)
	if d := b.pass(100 * time.Millisecond)[99]; d.Verb != Forward {
		t.Errorf("opening %v after the answer, want forwarded", d)
	}
	b.wantInFlight(1)
}

// Requests at a target that may have died, and requests that take several times as long as usual,
// must keep their places, and so must all while the gate is not saturated.
func TestPlacesOfRequestsUnderWay(t *testing.T) {
	for name, run := range map[string]func(*fixture){
		"retransmission in vain": func(b *fixture) {
			ids := b.fill(placesPerTarget)
			b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
			b.now += 200 * time.Millisecond
			b.sendRequest(1, streams, ids[0], 101, 1000)
			b.pass(time.Second)
		},
		"long request": func(b *fixture) {
			b.fill(placesPerTarget)
			b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
			b.passAlive(100 * time.Millisecond)
		},
		"not saturated": func(b *fixture) {
			b.fill(placesPerTarget - 1)
			b.passAlive(time.Second)
			b.openFlow(placesPerTarget, streams)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newGated(t, target1(1, "a"))
			b.learnUsualTime()
			run(b)
			b.wantInFlight(placesPerTarget)
		})
	}
}

// Callers open flows ahead of their requests. Their places end without an answer, which must not
// lift the limit.
func TestFlowsOpenedAheadAreNoUnseenEnds(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	for port := uint16(1); port <= 5; port++ {
		b.openFlow(port, streams)
	}
	for range 30 {
		b.openFlow(100, streams) // shows that the target lives
		b.handle(packet(100, streams, RST, 1))
		b.pass(100 * time.Millisecond)
	}
	g := b.f.services["s"].gate
	if g.ends.unseen > 0 || g.ends.unlimited {
		t.Errorf("ends %+v", g.ends)
	}
	b.wantInFlight(0)
}

// Requests with unseen ends, as there were before, hold all places, and their target was checked just
// before they began. It must be checked again soon, or openings wait beside an idle target until
// checkPause is over.
func TestTargetOfUnseenEndsIsCheckedSoon(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	b.learnUsualTime()
	b.f.services["s"].gate.ends = ends{seen: 3 * minUnseenForChecks, unseen: 2 * minUnseenForChecks}
	ids := b.fill(placesPerTarget)
	b.f.requestCheck(b.state(ids[0]))
	b.want(b.handle(packet(99, streams, SYN, 0)), HeldOpening)
	const within = 600 * time.Millisecond
	checks := 0
	for end := b.now + within; b.now < end; {
		for _, x := range b.f.TargetsToCheck(b.now) {
			checks++
			b.f.Checked(b.now, x.Start(), Alive)
		}
		if d, released := b.pass(50 * time.Millisecond)[99]; released {
			b.want(d, OpenedNear)
			return
		}
	}
	t.Errorf("opening still held after %v and %d checks", within, checks)
}
