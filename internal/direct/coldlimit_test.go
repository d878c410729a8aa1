package direct

import (
	"testing"
	"time"
)

// coldFixture returns a fixture whose balancer a1 is the only one of data centre "a". Its
// cold targets can take ten requests a second for four seconds.
func coldFixture(t *testing.T, targets ...Target) *fixture {
	b := newFixture(t)
	c := testCatalogue()
	c.Services["s"] = Service{Name: "s", ColdFor: 4 * time.Second, ColdRate: 10}
	b.f.SetCatalogue(c)
	b.f.SetBalancers("a1", nil)
	for _, x := range targets {
		b.f.PutTarget(b.now, x)
	}
	return b
}

func coldTarget(id TargetID, centre string) Target {
	x := target1(id, centre)
	x.ColdLeft = 4 * time.Second
	return x
}

// Openings beyond the limit of the only target, which is cold, are refused: an overloaded
// target would fail all its requests. Once warm, it takes every opening.
func TestColdTargetIsNotOverloaded(t *testing.T) {
	b := coldFixture(t, coldTarget(1, "a"))
	port, took := uint16(1000), 0
	for range 200 {
		b.now += 10 * time.Millisecond
		port++
		switch d := b.handle(packet(port, streams, SYN, 0)); d.Reason {
		case OpenedNear:
			took++
		case ResetCold:
		default:
			t.Fatalf("opening: %v", d.Reason)
		}
	}
	if took < 14 || took > 18 {
		t.Errorf("%d openings in two seconds, want 8 a second", took)
	}
	b.now += 2 * time.Second
	for range 50 {
		port++
		b.want(b.handle(packet(port, streams, SYN, 0)), OpenedNear)
	}
}

// Openings beyond the limit of the cold targets nearby go to a warm target in another data
// centre. Cold targets there are left to their own balancers, which do not know about the
// openings of this one.
func TestColdTargetsElsewhereAreNotUsed(t *testing.T) {
	b := coldFixture(t, coldTarget(1, "a"), coldTarget(2, "b"), target1(3, "c"))
	got := map[TargetID]int{}
	for port := uint16(1000); port < 1050; port++ {
		got[b.openFlow(port, streams)]++
	}
	if got[2] > 0 || got[1] > 5 || got[3] < 45 {
		t.Errorf("openings by target: %v", got)
	}
}

// The idle targets of an evacuated data centre are cold when the evacuation ends, but report
// it only with their next heartbeat. Until then all callers nearby would turn to them.
func TestTargetsAreColdAfterEvacuation(t *testing.T) {
	b := coldFixture(t, target1(1, "a"), target1(2, "b"))
	b.f.Evacuate(b.now, "a", rev(7))
	b.now += 8 * time.Second
	b.f.TakeBack(b.now, "a")
	got := map[TargetID]int{}
	for port := uint16(1000); port < 1050; port++ {
		got[b.openFlow(port, streams)]++
	}
	if got[1] > 3 {
		t.Errorf("openings by target within a quarter of a second: %v", got)
	}
}

// A balancer that has just started does not know the others yet. If it assumed to be alone,
// it and all others that start with it would each use the whole rate of every cold target.
func TestUnknownFleetOpensNothingAtColdTargets(t *testing.T) {
	b := newFixture(t)
	c := testCatalogue()
	c.Services["s"] = Service{Name: "s", ColdFor: 4 * time.Second, ColdRate: 10}
	b.f.SetCatalogue(c)
	b.f.PutTarget(b.now, coldTarget(1, "a"))
	b.want(b.handle(packet(1000, streams, SYN, 0)), ResetCold)
	b.f.SetBalancers("a1", nil)
	b.want(b.handle(packet(1001, streams, SYN, 0)), OpenedNear)
}

// Without a limit in the catalogue, cold targets only count as more loaded.
func TestColdTargetsWithoutALimit(t *testing.T) {
	b := newFixture(t, coldTarget(1, "a"))
	for port := uint16(1000); port < 1050; port++ {
		b.want(b.handle(packet(port, streams, SYN, 0)), OpenedNear)
	}
}
