package direct

import (
	"testing"
	"time"
)

// The store comes back from an outage in which registrations ran out: 250 targets lapse at
// 300 balancers at once, though all live. When every balancer checked every target, each
// target got 300 connections within a second, while callers' openings waited behind them.
func TestLapsedTargetIsCheckedByThoseWithFlowsThere(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"), target1(3, "b"))
	used := b.open(1, streams)
	for _, id := range []TargetID{1, 2, 3} {
		b.f.RemoveTarget(b.now, id)
	}
	if got := b.f.TargetsToCheck(b.now); len(got) != 1 || got[0].ID != used {
		t.Errorf("%d targets to check, want the one that has a flow", len(got))
	}
}

// A lapsed target had no flow at this balancer, and then the routers hand it one: its
// caller must not wait for a dead target until its deadline.
func TestLapsedTargetIsCheckedOnceAFlowComes(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.f.RemoveTarget(b.now, 1)
	if got := b.f.TargetsToCheck(b.now); len(got) != 0 {
		t.Fatalf("%d targets to check without a flow", len(got))
	}
	b.want(b.ask(1, streams, 1, 101, 1000), Forwarded)
	b.now += time.Millisecond
	if got := b.f.TargetsToCheck(b.now); len(got) != 1 {
		t.Fatalf("%d targets to check, want the one whose flow came", len(got))
	}
	b.want(b.ask(1, streams, 1, 401, 1000), Forwarded)
	v := b.f.Checked(b.now, Start{ID: 1}, Gone)
	if len(v.Resets) != 1 {
		t.Errorf("%d flows reset, want the one that waits", len(v.Resets))
	}
}

// The check that a lapse asks for found life: packets that follow ask for no other one.
func TestLapsedTargetIsCheckedOnce(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.f.RemoveTarget(b.now, 1)
	b.ask(1, streams, 1, 101, 1000)
	b.f.TargetsToCheck(b.now)
	b.f.Checked(b.now, Start{ID: 1}, Alive)
	b.now += 10 * time.Millisecond
	b.want(b.ask(1, streams, 1, 401, 1300), Forwarded)
	if b.state(1).checkWanted {
		t.Error("the target is to be checked again")
	}
}
