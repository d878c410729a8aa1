package direct

import (
	"testing"
	"time"
)

// Registrations run out during a store outage: 250 living targets expire at 300 balancers at
// once. If every balancer checked every target, each would get 300 connections within a
// second and callers' openings would wait behind them.
func TestExpiredTargetIsCheckedWhereItHasFlows(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"), target1(3, "b"))
	used := b.openFlow(1, streams)
	for _, id := range []TargetID{1, 2, 3} {
		b.f.RemoveTarget(b.now, id)
	}
	if got := b.f.TargetsToCheck(b.now); len(got) != 1 || got[0].ID != used {
		t.Errorf("%d targets to check, want the one that has a flow", len(got))
	}
}

// If packets of a flow at an expired target start arriving at a balancer without flows there,
// it has to check the target. Otherwise the caller could wait for a dead target until its
// deadline.
func TestExpiredTargetIsCheckedWhenAFlowArrives(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.f.RemoveTarget(b.now, 1)
	if got := b.f.TargetsToCheck(b.now); len(got) != 0 {
		t.Fatalf("%d targets to check without a flow", len(got))
	}
	b.want(b.sendRequest(1, streams, 1, 101, 1000), Forwarded)
	b.now += time.Millisecond
	if got := b.f.TargetsToCheck(b.now); len(got) != 1 {
		t.Fatalf("%d targets to check, want the one whose flow sent a packet", len(got))
	}
	b.want(b.sendRequest(1, streams, 1, 401, 1000), Forwarded)
	result := b.f.Checked(b.now, Start{ID: 1}, Gone)
	if len(result.Resets) != 1 {
		t.Errorf("%d flows reset, want the one that waits for an answer", len(result.Resets))
	}
}

// After a check triggered by the expiry finds the target alive, later packets trigger no
// further check.
func TestExpiredTargetIsCheckedOnce(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	b.f.RemoveTarget(b.now, 1)
	b.sendRequest(1, streams, 1, 101, 1000)
	b.f.TargetsToCheck(b.now)
	b.f.Checked(b.now, Start{ID: 1}, Alive)
	b.now += 10 * time.Millisecond
	b.want(b.sendRequest(1, streams, 1, 401, 1300), Forwarded)
	if b.state(1).checkWanted {
		t.Error("the target is to be checked again")
	}
}
