package direct

import (
	"testing"
	"time"
)

// The operator evacuates a data centre. Callers near by would go on being sent there, as
// its targets are well and idle. No opening may go there from the moment a balancer
// knows: to the others by their room, and open flows stay.
func TestEvacuatedDataCentreGetsNoOpenings(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"), target1(3, "b"), target1(4, "c"))
	home := b.open(1000, streams)
	b.f.Evacuate(b.now, "a", rev(7))
	got := map[TargetID]int{}
	for port := uint16(2000); port < 2100; port++ {
		got[b.open(port, streams)]++
	}
	if got[1]+got[2] > 0 {
		t.Errorf("openings by target: %v, want none at 1 and 2", got)
	}
	if got[3] < 30 || got[4] < 30 {
		t.Errorf("openings by target: %v, want them spread over 3 and 4", got)
	}
	if n := b.f.Count(OpenedAway); n != 100 {
		t.Errorf("%d openings counted as kept away, want 100", n)
	}
	b.want(b.ask(1000, streams, home, 101, 1000), Forwarded)
}

// Another data centre than the balancer's own is evacuated while this one is full: the
// evacuated one looks idle, but gets none of its flows.
func TestFlowsDoNotSpillToAnEvacuatedDataCentre(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(3, "b"))
	b.f.Evacuate(b.now, "b", rev(7))
	for port := uint16(2000); port < 2020; port++ {
		if d := b.handle(packet(port, streams, SYN, 0)); d.Target == nil || d.Target.ID != 1 {
			t.Fatalf("opening %d: %v", port, d.Reason)
		}
	}
}

// A caller repeats its opening. Its first copy had gone to a target of a data centre that
// has been evacuated since, and no other target has room: the repeat is refused at once
// rather than sent there.
func TestRepeatedOpeningLeavesAnEvacuatedDataCentre(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.want(b.handle(packet(2000, streams, SYN, 0)), OpenedNear)
	b.f.Evacuate(b.now, "a", rev(7))
	b.now += 200 * time.Millisecond
	b.want(b.handle(packet(2000, streams, SYN, 0)), ResetEvacuated)
}

// All that is left are targets of an evacuated data centre, or those that no flow may
// go to anyway. What the operator asked for is kept: the caller is refused at once and
// truly, as nothing has run, and may come back.
func TestNothingButAnEvacuatedDataCentreIsLeft(t *testing.T) {
	leaves := target1(2, "b")
	leaves.Draining = true
	b := newFixture(t, target1(1, "a"), leaves)
	b.f.Evacuate(b.now, "a", rev(7))
	b.now += lateOpeningWindow
	b.want(b.handle(packet(2000, streams, SYN, 0)), ResetEvacuated)
	b.f.RemoveTarget(b.now, 1)
	b.want(b.handle(packet(2001, streams, SYN, 0)), ResetEvacuated) // it has just lapsed, and would serve
	b.now += lateOpeningWindow
	b.want(b.handle(packet(2002, streams, SYN, 0)), ResetNoTarget)
}

// Several data centres are evacuated and taken back one by one; one of them is unknown
// until its first target registers itself. Each counts by itself.
func TestEvacuationsOverlap(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "b"))
	b.f.Evacuate(b.now, "a", rev(7))
	b.f.Evacuate(b.now, "nowhere", rev(8))
	b.f.Evacuate(b.now, "b", rev(9))
	b.want(b.handle(packet(2000, streams, SYN, 0)), ResetEvacuated)
	b.f.PutTarget(b.now, target1(3, "nowhere"))
	b.want(b.handle(packet(2001, streams, SYN, 0)), ResetEvacuated)
	b.f.TakeBack(b.now, "b")
	b.want(b.handle(packet(2002, streams, SYN, 0)), OpenedAway)
	b.f.TakeBack(b.now, "a")
	b.want(b.handle(packet(2003, streams, SYN, 0)), OpenedNear)
	if got := b.f.Evacuations(b.now); len(got) != 1 || got[0].DataCenter != "nowhere" || got[0].Revision != 8 {
		t.Errorf("evacuations %+v, want the one of nowhere", got)
	}
}

// An operator asks what still goes to an evacuated data centre.
func TestEvacuationsTellWhatIsLeft(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "b"))
	id := b.open(1000, streams)
	b.ask(1000, streams, id, 101, 1000)
	b.f.Evacuate(b.now, "a", rev(7))
	b.f.Evacuate(b.now, "b", rev(8))
	b.now += 3 * time.Second
	b.f.Evacuate(b.now, "b", rev(9)) // written again
	got := b.f.Evacuations(b.now)
	want := []EvacuationInfo{
		{DataCenter: "a", Revision: 7, Since: 3 * time.Second, Flows: 1, Busy: 1},
		{DataCenter: "b", Revision: 9, Since: 3 * time.Second},
	}
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("evacuations %+v, want %+v", got, want)
	}
	if s := b.state(1).state(b.now); s != "evacuated" {
		t.Errorf("state %q", s)
	}
}
