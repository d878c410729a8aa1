package direct

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// otherBalancers returns the names of the others of n balancers, of which "b1" is the first.
func otherBalancers(n int) []string {
	var out []string
	for i := 2; i <= n; i++ {
		out = append(out, fmt.Sprintf("b%d", i))
	}
	return out
}

// saturate fills all places and makes an opening wait.
func (b *fixture) saturate(places int) []TargetID {
	b.t.Helper()
	ids := b.fill(places)
	b.want(b.handle(packet(60000, streams, SYN, 0)), HeldOpening)
	return ids
}

// learnUsualTime makes 20 ms the usual response time of a route.
func (b *fixture) learnUsualTime() *baseline {
	base := b.f.baselineOf(streams)
	for range 2 * minSamples {
		base.learn(20*time.Millisecond, 2000)
		base.learnLongTerm(20 * time.Millisecond)
	}
	return base
}

// With all targets nearby at their limit, a far pool must get waiting openings, half of its share
// at a tick, and an evacuation or a cut of the own data centre must give it its whole share at
// once.
func TestFarPoolsWhileSaturated(t *testing.T) {
	const (
		half    = placesPerTarget // of the share at the far pool, which has two targets
		waiting = half + 2
	)
	for name, c := range map[string]struct {
		change func(*fixture)
		sent   int // of the waiting openings, within 100 ms
		reason Reason
	}{
		"slots full": {func(*fixture) {}, half, OpenedFar},
		"evacuated":  {func(b *fixture) { b.f.Evacuate(b.now, "a", rev(1)) }, waiting, OpenedEvacuated},
		"cut off":    {func(b *fixture) { b.state(1).dead = true }, waiting, OpenedFar},
	} {
		b := newGated(t, target1(1, "a"), target1(2, "b"), target1(3, "b"))
		b.f.without = 1 << Spill // which would use the far targets before the places are taken
		b.learnUsualTime()       // otherwise the longest wait is so short that some openings are rejected
		b.fill(placesPerTarget)
		for port := uint16(200); port < 200+waiting; port++ {
			b.want(b.handle(packet(port, streams, SYN, 0)), HeldOpening)
		}
		c.change(b)
		r := b.pass(100 * time.Millisecond)
		if len(r) != c.sent {
			t.Errorf("%s: released %v", name, r)
		}
		for port, d := range r {
			if d.Verb != Forward || d.Reason != c.reason || d.Target.DataCenter != "b" {
				t.Errorf("%s: opening %d: %+v", name, port, d)
			}
		}
		if p := b.f.services["s"].gate.Stats().Pools[1]; p.InFlight != c.sent {
			t.Errorf("%s: %d in flight at the far pool", name, p.InFlight)
		}
	}
}

// Requests on open flows of an evacuated data centre must not wait: it gets no openings, so its
// targets have room, and a wait would delay callers without need.
func TestFlowsOfAnEvacuatedDataCentreDoNotWait(t *testing.T) {
	b := newGated(t, target1(1, "a"), target1(2, "b"))
	b.fill(1)
	b.answer(1, 1)
	b.f.Evacuate(b.now, "a", rev(1))
	b.now += 20 * time.Millisecond
	b.f.Tick(b.now)
	b.want(b.sendRequest(1, streams, 1, 401, 3000), Forwarded)
}

// While the service is saturated, a target that answers three times slower has to get fewer
// openings than the others, although nothing reports its speed and a balancer with two places
// sees at most one request in flight there.
func TestSlowTargetGetsFewerOpenings(t *testing.T) {
	share := func(without MechanismSet) float64 {
		var targets []Target
		for i := range 4 {
			targets = append(targets, target1(TargetID(i+1), "a"))
		}
		b := newGated(t, targets...)
		b.f.SetBalancers("b1", otherBalancers(4*placesPerTarget/2))
		b.f.without = without
		b.learnUsualTime()
		return b.serveSaturated(4 * time.Second)
	}
	by, without := share(0), share(1<<SpeedPlacement)
	t.Logf("slow target gets %.3f of the openings, %.3f without speed-placement", by, without)
	if by > 0.17 || by > 0.8*without {
		t.Errorf("slow target gets %.3f of the openings, %.3f without speed-placement", by, without)
	}
}

// serveSaturated keeps openings waiting while each target serves two requests at a time, in
// 20 ms, target 1 in 60 ms. It returns the share of the openings that target 1 got.
func (b *fixture) serveSaturated(length time.Duration) float64 {
	type running struct {
		port uint16
		end  time.Duration
	}
	queues := map[TargetID][]running{}
	slow, all := 0, 0
	accept := func(port uint16, d Decision) {
		if d.Verb != Forward || d.Target == nil {
			return
		}
		id := d.Target.ID
		all++
		work := 20 * time.Millisecond
		if id == 1 {
			slow++
			work = 60 * time.Millisecond
		}
		start := b.now
		if q := queues[id]; len(q) >= 2 {
			start = max(start, q[len(q)-2].end)
		}
		queues[id] = append(queues[id], running{port, start + work})
		b.sendRequest(port, streams, id, 101, 1000)
	}
	port := uint16(0)
	for end := b.now + length; b.now < end; {
		b.now += time.Millisecond
		port++
		accept(port, b.handle(packet(port, streams, SYN, 0)))
		for id := TargetID(1); id <= 4; id++ {
			for len(queues[id]) > 0 && queues[id][0].end <= b.now {
				s := packet(queues[id][0].port, streams, ACK|FIN, id.Cookie())
				s.Seq, s.Ack = 401, 3000
				queues[id] = queues[id][1:]
				b.handle(s)
			}
		}
		if port%100 == 0 {
			b.f.Tick(b.now)
		}
		for p, d := range b.releases() {
			accept(p, d)
		}
	}
	return float64(slow) / float64(max(all, 1))
}

// A fleet's arcs have to cover all targets about equally, and no opening may go to a target that
// is suspected, evacuated or cold beyond its limit while others are left.
func TestArcAvoidsUnavailableTargets(t *testing.T) {
	var targets []Target
	for i := range 8 {
		targets = append(targets, target1(TargetID(i+1), "a"))
	}
	b := newGated(t, targets...)
	b.f.SetBalancers("b1", otherBalancers(4))
	const places = 8 * placesPerTarget / 4
	b.saturate(places)
	g := b.f.services["s"].gate
	a := b.f.arcOf(b.now, g, g.service.near)
	if len(a.targets) != 8 || a.limit != (places+7)/8 {
		t.Errorf("arc of %d targets, limit %d", len(a.targets), a.limit)
	}
	// So many balancers that arcFactor times the share is no more than minArc.
	b.f.SetBalancers("b1", otherBalancers(int(math.Ceil(arcFactor*8*placesPerTarget/minArc))))
	b.now += sharesPause
	b.f.refreshShares(b.now, g)
	a = b.f.arcOf(b.now, g, g.service.near)
	if len(a.targets) != minArc {
		t.Fatalf("arc of %d targets", len(a.targets))
	}
	for _, x := range a.targets[:3] {
		x.suspect(b.now)
	}
	last := a.targets[3]
	for range 20 {
		c, _ := b.f.placeAdmitted(b.now, g, 0)
		if c.target != last {
			t.Errorf("placed at %d", c.target.ID)
		}
	}
	last.suspect(b.now)
	if c, _ := b.f.placeAdmitted(b.now, g, 0); c.target == nil || c.target.avoidUntil > b.now {
		t.Errorf("placed at %+v", c.target)
	}
}

// Normal response times must not be learnt from full queues: after a burst, a normal answer
// would look fast and a slow data centre normal.
func TestNormalTimesAreNotLearntWhileSaturated(t *testing.T) {
	b := newGated(t, target1(1, "a"))
	base := b.learnUsualTime()
	before := *base
	b.saturate(placesPerTarget)
	b.now += 100 * time.Millisecond
	for port := uint16(1); port <= placesPerTarget; port++ {
		s := packet(port, streams, ACK|FIN, 1)
		s.Seq, s.Ack = 401, 3000
		b.handle(s)
	}
	if base.medianTime != before.medianTime || base.longTermTime != before.longTermTime || b.f.services["s"].normalRatio != 1 {
		t.Errorf("baseline %v, before %v", *base, before)
	}
	if r := b.f.services["s"].gate.Ratio(b.now); r <= 1 {
		t.Errorf("the gate sees a ratio of %v", r)
	}
}

// BenchmarkSaturatedOpening measures an opening at a saturated gate, with 120 targets and 8
// balancers.
func BenchmarkSaturatedOpening(b *testing.B) {
	var targets []Target
	for i := range 120 {
		targets = append(targets, target1(TargetID(i+1), "a"))
	}
	x := newGated(&testing.T{}, targets...)
	x.f.SetBalancers("b1", otherBalancers(8))
	x.saturate(120 * placesPerTarget / 8)
	x.handle(packet(1, streams, RST, 1))
	x.handle(packet(2, streams, RST, 1))
	x.f.Releases(x.now)
	b.ReportAllocs()
	for i := range b.N {
		x.openAndReset(uint16(1000 + i%500))
		x.now -= time.Millisecond
	}
}
