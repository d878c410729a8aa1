package direct

import (
	"testing"
	"time"
)

// runCrowded simulates three equal data centres. The callers of one send 2.6 times the normal
// load for five seconds.
func runCrowded(seed uint64, balancers, targets int, without MechanismSet) *replay {
	r := newReplayWithout(seed, []int{balancers, balancers, balancers}, []int{targets, targets, targets}, without)
	r.workFactor, r.goal = 2, 500*time.Millisecond
	normal := capacity(targets) / r.workFactor * 0.5
	for c := range 3 {
		r.load(c, normal, 11*time.Second)
	}
	r.run(5 * time.Second)
	r.load(0, 1.6*normal, 10*time.Second)
	r.run(13 * time.Second)
	return r
}

// In a large fleet each balancer sees few of the requests of a crowded data centre. All its
// targets look idle to the balancer, while their queues are full and refuse requests. Response
// times have to make openings spill to the data centres with room, in fleets of any size.
func TestFullDataCentreSpills(t *testing.T) {
	for _, c := range []struct{ balancers, targets int }{{3, 20}, {9, 20}, {29, 40}, {60, 80}} {
		on, off := runCrowded(1, c.balancers, c.targets, 0), runCrowded(1, c.balancers, c.targets, 1<<Spill)
		withSpill, withoutSpill := on.share(on.inGoal), off.share(off.inGoal)
		t.Logf("%d balancers a data centre: %.3f in goal, %.3f without spilling", c.balancers, withSpill, withoutSpill)
		if withSpill < 0.97 {
			t.Errorf("%d balancers a data centre: %.3f in goal, want 0.97", c.balancers, withSpill)
		}
	}
}

// newWithRatios returns a fixture whose data centres "a" (its own), "b" and "c" have the
// given latency ratios.
func newWithRatios(t *testing.T, near, b, c float64) *fixture {
	x := newFixture(t, target1(1, "a"), target1(2, "b"), target1(3, "c"))
	for id, ratio := range map[TargetID]float64{1: near, 2: b, 3: c} {
		for range 8 {
			x.state(id).group.latency.add(x.now, ratio)
		}
	}
	x.f.Tick(x.now)
	return x
}

// shareOf returns the share of openings that spill to the data centre of a target.
func (b *fixture) shareOf(id TargetID) float64 { return b.state(id).group.spillShare }

// Openings spill from a full data centre only to those with room. If all are equally full,
// callers stay, as crossing would gain nothing.
func TestOpeningsSpillToFasterDataCentres(t *testing.T) {
	for _, c := range []struct {
		name       string
		near, b, c float64
		toB, toC   bool
	}{
		{"all normal", 1, 1, 1, false, false},
		{"a little slower", 1.6, 1, 1, false, false},
		{"full beside room", 4, 1, 1, true, true},
		{"full beside room and a full one", 4, 1, 4, true, false},
		{"all full", 4, 4, 4, false, false},
	} {
		x := newWithRatios(t, c.near, c.b, c.c)
		if toB, toC := x.shareOf(2) > 0, x.shareOf(3) > 0; toB != c.toB || toC != c.toC {
			t.Errorf("%s: openings go to b %v, c %v; want %v, %v", c.name, toB, toC, c.toB, c.toC)
		}
	}
}

// While a data centre stays full, part of its openings remain there to show when it has room
// again. Then all return within seconds.
func TestSpillIsBoundedAndEnds(t *testing.T) {
	x := newWithRatios(t, 4, 1, 1)
	for range 50 {
		x.now += 100 * time.Millisecond
		x.state(1).group.latency.add(x.now, 4)
		x.state(2).group.latency.add(x.now, 1)
		x.state(3).group.latency.add(x.now, 1)
		x.f.Tick(x.now)
	}
	if sum := x.shareOf(2) + x.shareOf(3); sum < 0.5 || sum > maxSpillShare+1e-9 {
		t.Errorf("%.2f of the openings spill, want at least 0.5 and at most %.2f", sum, maxSpillShare)
	}
	for range 50 {
		x.now += 100 * time.Millisecond
		x.f.Tick(x.now)
	}
	if sum := x.shareOf(2) + x.shareOf(3); sum > 0 {
		t.Errorf("%.2f of the openings still spill", sum)
	}
}

// A data centre that received spilled openings is cut off or evacuated. It must not get any
// more.
func TestSpillAvoidsCutAndEvacuatedDataCentres(t *testing.T) {
	x := newWithRatios(t, 4, 1, 1)
	x.f.Evacuate(x.now, "b", rev(7))
	for range 8 {
		x.state(3).group.latency.add(x.now, unansweredRatio)
	}
	for range 10 {
		x.now += 100 * time.Millisecond
		x.state(1).group.latency.add(x.now, 4)
		x.state(3).group.latency.add(x.now, unansweredRatio)
		x.f.Tick(x.now)
	}
	for port := uint16(2000); port < 2100; port++ {
		if d := x.handle(packet(port, streams, SYN, 0)); d.Target == nil || d.Target.ID == 2 {
			t.Fatalf("opening: %v", d.Reason)
		}
	}
	if s := x.shareOf(3); s > 0 {
		t.Errorf("%.2f of the openings go to a data centre that does not answer", s)
	}
}

// With all targets nearby evacuated, callers are spread over the other data centres by their
// free capacity.
func TestDrawAwayFollowsRoom(t *testing.T) {
	x := newWithRatios(t, 1, 1, 3)
	x.f.Evacuate(x.now, "a", rev(7))
	got := map[TargetID]int{}
	for port := uint16(2000); port < 2400; port++ {
		got[x.handle(packet(port, streams, SYN, 0)).Target.ID]++
	}
	if got[2] < 300 || got[3] < 10 {
		t.Errorf("openings by target %v, want most at the one with room and some at the other", got)
	}
}

// Packets read from the socket together show response times of zero for the first answers of
// a route. Later answers must still show whether a data centre is full.
func TestLatencyRatioAfterZeroTimes(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "b"))
	base := b.f.baselineOf(streams)
	for range 2 * minSamples {
		base.learn(0, 2000)
		base.learnLongTerm(0)
	}
	id := b.openFlow(1, streams)
	b.sendRequest(1, streams, id, 101, 1000)
	b.now += 50 * time.Millisecond
	s := packet(1, streams, ACK, id.Cookie())
	s.Seq, s.Ack = 401, 3000
	b.handle(s)
	if p := b.state(id).group.latency.current(b.now, 1); !(p > 1 && p < 1000) {
		t.Errorf("latency ratio %v", p)
	}
}
