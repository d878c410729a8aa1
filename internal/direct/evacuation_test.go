package direct

import (
	"testing"
	"time"
)

// Although the targets of an evacuated data centre are healthy and idle, callers nearby are
// sent to the other data centres by their free capacity. Open flows stay.
func TestEvacuatedDataCentreGetsNoOpenings(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"), target1(3, "b"), target1(4, "c"))
	home := b.openFlow(1000, streams)
	b.f.Evacuate(b.now, "a", rev(7))
	got := map[TargetID]int{}
	for port := uint16(2000); port < 2100; port++ {
		got[b.openFlow(port, streams)]++
	}
	if got[1]+got[2] > 0 {
		t.Errorf("openings by target: %v, want none at 1 and 2", got)
	}
	if got[3] < 30 || got[4] < 30 {
		t.Errorf("openings by target: %v, want them spread over 3 and 4", got)
	}
	if n := b.f.Count(OpenedEvacuated); n != 100 {
		t.Errorf("%d openings counted as evacuated, want 100", n)
	}
	b.want(b.sendRequest(1000, streams, home, 101, 1000), Forwarded)
}

// The balancer's own data centre is full, and another one is evacuated and idle. No flows
// spill to it.
func TestFlowsDoNotSpillToAnEvacuatedDataCentre(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(3, "b"))
	b.f.Evacuate(b.now, "b", rev(7))
	for port := uint16(2000); port < 2020; port++ {
		if d := b.handle(packet(port, streams, SYN, 0)); d.Target == nil || d.Target.ID != 1 {
			t.Fatalf("opening %d: %v", port, d.Reason)
		}
	}
}

// A caller retransmits an opening whose first copy went to a data centre that has been
// evacuated since. With no other target available, the retransmission is refused.
func TestRetransmittedOpeningLeavesEvacuatedDataCentre(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.want(b.handle(packet(2000, streams, SYN, 0)), OpenedNear)
	b.f.Evacuate(b.now, "a", rev(7))
	b.now += 200 * time.Millisecond
	b.want(b.handle(packet(2000, streams, SYN, 0)), ResetEvacuated)
}

// If the only targets left are in an evacuated data centre or not usable for other reasons,
// callers are refused at once. As nothing ran, they may retry.
func TestOnlyEvacuatedTargetsAreLeft(t *testing.T) {
	leaves := target1(2, "b")
	leaves.Draining = true
	b := newFixture(t, target1(1, "a"), leaves)
	b.f.Evacuate(b.now, "a", rev(7))
	b.now += lateOpeningWindow
	b.want(b.handle(packet(2000, streams, SYN, 0)), ResetEvacuated)
	b.f.RemoveTarget(b.now, 1)
	b.want(b.handle(packet(2001, streams, SYN, 0)), ResetEvacuated) // it has just expired and would be a fallback
	b.now += lateOpeningWindow
	b.want(b.handle(packet(2002, streams, SYN, 0)), ResetNoTarget)
}

// Data centres are evacuated and taken back independently of one another, also one that is
// unknown until its first target registers.
func TestEvacuationsOverlap(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "b"))
	b.f.Evacuate(b.now, "a", rev(7))
	b.f.Evacuate(b.now, "nowhere", rev(8))
	b.f.Evacuate(b.now, "b", rev(9))
	b.want(b.handle(packet(2000, streams, SYN, 0)), ResetEvacuated)
	b.f.PutTarget(b.now, target1(3, "nowhere"))
	b.want(b.handle(packet(2001, streams, SYN, 0)), ResetEvacuated)
	b.f.TakeBack(b.now, "b")
	b.want(b.handle(packet(2002, streams, SYN, 0)), OpenedEvacuated)
	b.f.TakeBack(b.now, "a")
	b.want(b.handle(packet(2003, streams, SYN, 0)), OpenedNear)
	if got := b.f.Evacuations(b.now); len(got) != 1 || got[0].DataCenter != "nowhere" || got[0].Revision != 8 {
		t.Errorf("evacuations %+v, want the one of nowhere", got)
	}
}

// Evacuations reports the flows and requests that remain in an evacuated data centre.
func TestEvacuationsCountFlows(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "b"))
	id := b.openFlow(1000, streams)
	b.sendRequest(1000, streams, id, 101, 1000)
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
