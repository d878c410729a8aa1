package direct

import (
	"net/netip"
	"testing"
	"time"
)

// checkWhileWaiting lets a caller retransmit its request to a target, which is checked then. All other
// targets show life.
func (b *fixture) checkWhileWaiting(port uint16, to netip.AddrPort, id TargetID, x Finding) {
	b.now += checkPause
	b.showAllAlive(id)
	b.sendRequest(port, to, id, 101, 1000)
	b.f.TargetsToCheck(b.now)
	b.now += time.Millisecond
	b.f.Checked(b.now, Start{ID: id}, x)
}

// findDead makes a target unreachable until it is found dead.
func (b *fixture) findDead(port uint16, to netip.AddrPort, id TargetID) {
	b.t.Helper()
	for range confirmChecks {
		b.checkWhileWaiting(port, to, id, Silent)
	}
	if !b.state(id).dead {
		b.t.Fatal("the target is not found dead")
	}
}

// Guards against resetting flows of a target whose slots are all busy with long work: checks wait
// longer than a full queue usually takes, and callers retransmit in vain.
func TestBusyTargetKeepsItsFlows(t *testing.T) {
	b := newFixture(t, manyTargets(5)...)
	b.showAllAlive(0)
	busy := b.openFlow(1, streams)
	b.now += 5 * time.Second
	b.sendRequest(1, streams, busy, 101, 1000)
	for range 5 {
		b.now += checkPause
		b.showAllAlive(busy)
		b.sendRequest(1, streams, busy, 101, 1000)
		if len(b.f.TargetsToCheck(b.now)) != 1 {
			t.Fatal("the target is not checked")
		}
		b.now += maxCheckTimeout
		b.showAllAlive(busy)
		result := b.f.Checked(b.now, Start{ID: busy}, Hung)
		resets := append(result.Resets, b.f.PeerFoundDead(b.now, busy)...)
		if result.Notify || len(b.f.Suspected()) != 0 {
			t.Error("peers are told of the check, which they would count as their own")
		}
		if len(resets) != 0 || b.state(busy).dead {
			t.Fatalf("%d flows are reset while the target works", len(resets))
		}
		if b.state(busy).eligible(b.now + checkPause + maxCheckTimeout) {
			t.Error("new flows go to the target before its next check has ended")
		}
	}
}

// Guards against callers that wait for a frozen target: once it has written no heartbeats either,
// so that its registration has expired, its flows are reset.
func TestHungTargetWithoutRegistrationIsDead(t *testing.T) {
	b := newFixture(t, manyTargets(5)...)
	b.showAllAlive(0)
	frozen := b.openFlow(1, streams)
	b.f.SetListCompleteAt(b.now)
	b.now += time.Second
	b.sendRequest(1, streams, frozen, 101, 1000)
	b.f.SetListCompleteAt(b.now)
	b.f.RemoveTarget(b.now, frozen)
	b.now += checkPause
	b.f.SetListCompleteAt(b.now)
	b.sendRequest(1, streams, frozen, 101, 1000)
	if len(b.f.TargetsToCheck(b.now)) != 1 {
		t.Fatal("the target is not checked")
	}
	b.now += minCheckTimeout
	b.showAllAlive(frozen)
	if result := b.f.Checked(b.now, Start{ID: frozen}, Hung); len(result.Resets) == 0 {
		t.Error("no flow is reset")
	}
}

// Guards against a target that stays dead although it accepts connections again.
func TestUnreachableTargetThatAcceptsLater(t *testing.T) {
	b := newFixture(t, manyTargets(5)...)
	b.showAllAlive(0)
	busy := b.openFlow(1, streams)
	b.now += time.Second
	b.sendRequest(1, streams, busy, 101, 1000)
	b.findDead(1, streams, busy)
	b.checkWhileWaiting(1, streams, busy, Hung)
	if b.state(busy).dead {
		t.Error("the target is still dead")
	}
	b.want(b.sendRequest(1, streams, busy, 101, 1000), Forwarded)
}
