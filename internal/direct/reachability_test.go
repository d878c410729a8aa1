package direct

import (
	"slices"
	"testing"
	"time"
)

// openings returns the summary of service s and resets its counts.
func (b *fixture) openings() ServiceOpenings {
	b.t.Helper()
	for _, o := range b.f.TakeOpenings() {
		if o.Service == "s" {
			return o
		}
	}
	b.t.Fatal("no summary of service s")
	return ServiceOpenings{}
}

// Guards against a single caller without answers whose copies of an opening count as three
// openings, and against counts that outlive the call that takes them.
func TestOpeningsAreCountedOnce(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"))
	b.handle(packet(1, streams, SYN, 0))
	for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		b.now += wait
		b.handle(packet(1, streams, SYN, 0))
	}
	b.handle(packet(2, notes, SYN, 0))
	if o := b.openings(); o != (ServiceOpenings{Service: "s", Total: 2, Forwarded: 2}) {
		t.Errorf("%+v", o)
	}
	if o := b.openings(); o != (ServiceOpenings{Service: "s"}) {
		t.Errorf("after a call: %+v", o)
	}
}

// Guards against openings that count as unplaced although targets serve: those that only cold
// targets at their limit could take.
func TestUnplacedOpenings(t *testing.T) {
	b := newFixture(t)
	b.want(b.handle(packet(1, streams, SYN, 0)), ResetNoTarget)
	b.f.PutTarget(b.now, target1(1, "b"))
	b.f.Evacuate(b.now, "b", rev(1))
	b.want(b.handle(packet(2, streams, SYN, 0)), ResetEvacuated)
	b.f.service("s").countRefused(false, ResetCold)
	if o := b.openings(); o != (ServiceOpenings{Service: "s", Total: 3, Unplaced: 2}) {
		t.Errorf("%+v", o)
	}
}

// Guards against signs of life of targets that no opening can go to: flows that stay open in
// an evacuated data centre, or at a target that has left, show nothing about new flows. Also
// guards against an evacuation that makes earlier, answered openings look unanswered.
func TestLifeOfTargetsThatTakeOpenings(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.openFlow(1, streams)
	if o := b.openings(); o.LastAlive != b.now {
		t.Errorf("last sign of life at %v, want %v", o.LastAlive, b.now)
	}
	alive := b.now
	b.now += time.Second
	b.f.Evacuate(b.now, "a", rev(1))
	b.f.markAlive(b.now, b.state(1))
	if o := b.openings(); o.LastAlive != alive {
		t.Errorf("last sign of life at %v in an evacuated data centre, want %v", o.LastAlive, alive)
	}
	b.f.TakeBack(b.now, "a")
	x := target1(1, "a")
	x.Draining = true
	b.f.PutTarget(b.now, x)
	b.now += 2 * lateOpeningWindow
	b.f.markAlive(b.now, b.state(1))
	if o := b.openings(); o.LastAlive != alive {
		t.Errorf("sign of life at %v of a target that leaves", o.LastAlive)
	}
}

// Guards against openings that count as unanswered although their target answers checks.
func TestAnsweredCheckIsSignOfLife(t *testing.T) {
	for finding, want := range map[Finding]bool{Alive: true, Silent: false, Gone: false, Hung: false, Restarted: false, AddressReused: false} {
		b := newFixture(t, target1(1, "a"))
		b.handle(packet(1, streams, SYN, 0))
		b.now += time.Second
		b.f.Tick(b.now)
		if n := len(b.f.TargetsToCheck(b.now)); n != 1 {
			t.Fatalf("%d targets to check, want 1", n)
		}
		b.now += time.Millisecond
		b.f.Checked(b.now, Start{ID: 1}, finding)
		if got := b.openings().LastAlive == b.now; got != want {
			t.Errorf("%v: sign of life %v, want %v", finding, got, want)
		}
	}
}

// Guards against probes that only reach targets free of suspicion, of which there are none in
// an outage, or targets that are not registered.
func TestTargetToProbe(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "b"), target1(3, "b"))
	b.f.RemoveTarget(b.now, 2)
	b.state(3).dead, b.state(3).finding, b.state(3).avoidUntil = true, Gone, time.Hour
	if x, ok := b.f.TargetToProbe("s", "b"); !ok || x.ID != 3 {
		t.Errorf("target %v, %v, want 3", x.ID, ok)
	}
	for _, at := range []struct{ service, dataCenter string }{{"s", "c"}, {"x", "b"}} {
		if x, ok := b.f.TargetToProbe(at.service, at.dataCenter); ok {
			t.Errorf("target %v for %v, want none", x.ID, at)
		}
	}
	b.f.Probed(b.now, Start{ID: 3, Born: Born{Known: true, Millis: 1}})
	if !b.state(3).dead {
		t.Error("the answer of another start counts")
	}
	b.f.Probed(b.now, Start{ID: 3})
	if b.state(3).dead || b.openings().LastAlive != b.now {
		t.Error("the answer is no sign of life")
	}
}

// Guards against data centres that count as able to serve without a target that gets new
// flows, and against evacuated ones that are not reported.
func TestDataCenters(t *testing.T) {
	x := target1(4, "c")
	x.Draining = true
	b := newFixture(t, target1(1, "a"), target1(2, "b"), target1(3, "b"), x)
	b.state(3).dead = true // seen from here, which says nothing about others
	b.f.RemoveTarget(b.now, 2)
	b.f.Evacuate(b.now, "a", rev(1))
	got := b.f.DataCenters(b.now + time.Second)
	want := []DataCenterInfo{{"a", true, time.Second, []string{"s"}}, {"b", false, 0, []string{"s"}}, {"c", false, 0, nil}}
	equal := func(x, y DataCenterInfo) bool {
		return x.Name == y.Name && x.Evacuated == y.Evacuated && x.EvacuatedFor == y.EvacuatedFor && slices.Equal(x.Services, y.Services)
	}
	if !slices.EqualFunc(got, want, equal) {
		t.Errorf("%+v, want %+v", got, want)
	}
}
