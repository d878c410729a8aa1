package direct

import (
	"testing"
	"time"
)

// crowdedDay has callers of one of three data centres come in 2.6 times the usual number
// for five seconds; so many balancers and targets stand in each data centre.
func crowdedDay(seed uint64, balancers, targets int, without MechanismSet) *replay {
	r := newReplayWithout(seed, []int{balancers, balancers, balancers}, []int{targets, targets, targets}, without)
	r.slower, r.goal = 2, 500*time.Millisecond
	usual := capacity(targets) / r.slower * 0.5
	for c := range 3 {
		r.load(c, usual, 11*time.Second)
	}
	r.run(5 * time.Second)
	r.load(0, 1.6*usual, 10*time.Second)
	r.run(13 * time.Second)
	return r
}

// Callers of one data centre come in numbers. In a large fleet each balancer sees a few of
// their requests only and takes all targets near by for idle, while their queues are full
// and turn requests away, beside two data centres with room. How long answers take shows
// it to each balancer, in fleets of any size.
func TestFullDataCentreSpills(t *testing.T) {
	for _, c := range []struct{ balancers, targets int }{{3, 20}, {9, 20}, {29, 40}, {60, 80}} {
		r, off := crowdedDay(1, c.balancers, c.targets, 0), crowdedDay(1, c.balancers, c.targets, 1<<Spill)
		now, without := r.share(r.inGoal), off.share(off.inGoal)
		t.Logf("%d balancers a data centre: %.3f in goal, %.3f if all stay near", c.balancers, now, without)
		if now < 0.97 {
			t.Errorf("%d balancers a data centre: %.3f in goal, want 0.97", c.balancers, now)
		}
	}
}

// steered is a forwarder whose callers' own data centre "a" and the others have some pace.
func steered(t *testing.T, near, b, c float64) *fixture {
	x := newFixture(t, target1(1, "a"), target1(2, "b"), target1(3, "c"))
	for id, ratio := range map[TargetID]float64{1: near, 2: b, 3: c} {
		for range 8 {
			x.state(id).group.latency.add(x.now, ratio)
		}
	}
	x.f.Tick(x.now)
	return x
}

func (b *fixture) shareOf(id TargetID) float64 { return b.state(id).group.spillShare }

// Openings leave a full data centre for those with room only, and a full one that is no
// fuller than the others keeps its callers: crossing would gain nothing.
func TestOpeningsGoWhereAnswersAreSooner(t *testing.T) {
	for _, c := range []struct {
		name       string
		near, b, c float64
		toB, toC   bool
	}{
		{"all calm", 1, 1, 1, false, false},
		{"a little slower", 1.6, 1, 1, false, false},
		{"full beside room", 4, 1, 1, true, true},
		{"full beside room and a full one", 4, 1, 4, true, false},
		{"all full", 4, 4, 4, false, false},
	} {
		x := steered(t, c.near, c.b, c.c)
		if toB, toC := x.shareOf(2) > 0, x.shareOf(3) > 0; toB != c.toB || toC != c.toC {
			t.Errorf("%s: openings go to b %v, c %v; want %v, %v", c.name, toB, toC, c.toB, c.toC)
		}
	}
}

// A data centre stays full for long: part of the openings remains, as it tells when there
// is room again. Then all come back within seconds.
func TestSpillIsBoundedAndEnds(t *testing.T) {
	x := steered(t, 4, 1, 1)
	for range 50 {
		x.now += 100 * time.Millisecond
		x.state(1).group.latency.add(x.now, 4)
		x.state(2).group.latency.add(x.now, 1)
		x.state(3).group.latency.add(x.now, 1)
		x.f.Tick(x.now)
	}
	if sum := x.shareOf(2) + x.shareOf(3); sum < 0.5 || sum > maxSpillShare+1e-9 {
		t.Errorf("%.2f of the openings go away, want %.2f", sum, maxSpillShare)
	}
	for range 50 {
		x.now += 100 * time.Millisecond
		x.f.Tick(x.now)
	}
	if sum := x.shareOf(2) + x.shareOf(3); sum > 0 {
		t.Errorf("%.2f of the openings still go away", sum)
	}
}

// A data centre to which openings went is cut off, or evacuated: none may follow.
func TestSpillLeavesCutAndEvacuatedDataCentres(t *testing.T) {
	x := steered(t, 4, 1, 1)
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

// All targets near by are lost or evacuated: callers go to the other data centres by their
// room, not all to one.
func TestAwayByRoom(t *testing.T) {
	x := steered(t, 1, 1, 3)
	x.f.Evacuate(x.now, "a", rev(7))
	got := map[TargetID]int{}
	for port := uint16(2000); port < 2400; port++ {
		got[x.handle(packet(port, streams, SYN, 0)).Target.ID]++
	}
	if got[2] < 300 || got[3] < 10 {
		t.Errorf("openings by target %v, want most at the one with room and some at the other", got)
	}
}

// A balancer reads packets that waited in its socket together, so that the first answers of
// a route seem to take no time. Later ones must still show a full data centre.
func TestPaceAfterAnswersInNoTime(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "b"))
	u := b.f.baselineOf(streams)
	for range 2 * minSamples {
		u.learn(0, 2000)
		u.learnLongTerm(0)
	}
	id := b.open(1, streams)
	b.ask(1, streams, id, 101, 1000)
	b.now += 50 * time.Millisecond
	s := packet(1, streams, ACK, id.Cookie())
	s.Seq, s.Ack = 401, 3000
	b.handle(s)
	if p := b.state(id).group.latency.current(b.now, 1); !(p > 1 && p < 1000) {
		t.Errorf("pace %v", p)
	}
}
