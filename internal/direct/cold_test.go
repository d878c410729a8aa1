package direct

import (
	"testing"
	"time"
)

// coldFixture has balancer a1 of data centre "a" alone with cold targets that bear ten
// requests a second for four seconds.
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

// A target has just started and bears ten requests a second. It is the only one, so that
// what it does not bear is refused at once: sent there, it would fall over with all that
// it works on. Once it is warm it takes everything.
func TestColdTargetIsNotOverrun(t *testing.T) {
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

// A warm target of another data centre takes what cold ones near by do not bear; cold ones
// there are left to their own balancers, who cannot know what this one sends.
func TestColdTargetsOfOthersAreLeftToThem(t *testing.T) {
	b := coldFixture(t, coldTarget(1, "a"), coldTarget(2, "b"), target1(3, "c"))
	got := map[TargetID]int{}
	for port := uint16(1000); port < 1050; port++ {
		got[b.open(port, streams)]++
	}
	if got[2] > 0 || got[1] > 5 || got[3] < 45 {
		t.Errorf("openings by target: %v", got)
	}
}

// A data centre is taken back. Its targets were idle and are cold, which they tell only
// with their next heartbeat: until then all callers near by would turn to them.
func TestTakenBackTargetsAreCold(t *testing.T) {
	b := coldFixture(t, target1(1, "a"), target1(2, "b"))
	b.f.Evacuate(b.now, "a", rev(7))
	b.now += 8 * time.Second
	b.f.TakeBack(b.now, "a")
	got := map[TargetID]int{}
	for port := uint16(1000); port < 1050; port++ {
		got[b.open(port, streams)]++
	}
	if got[1] > 3 {
		t.Errorf("openings by target within a quarter of a second: %v", got)
	}
}

// A balancer that has just started does not know the others yet. Taken for alone, it would
// use the whole rate of every cold target, as would all that start with it.
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

// Without a limit in the catalogue cold targets only count as more loaded.
func TestColdTargetsWithoutALimit(t *testing.T) {
	b := newFixture(t, coldTarget(1, "a"))
	for port := uint16(1000); port < 1050; port++ {
		b.want(b.handle(packet(port, streams, SYN, 0)), OpenedNear)
	}
}
