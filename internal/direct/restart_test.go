package direct

import (
	"testing"
	"time"
)

// startedTarget returns one start of a target as registered at a revision.
func startedTarget(id TargetID, millis, number int64) Target {
	x := target1(id, "a")
	x.Born = Born{Known: true, Millis: millis}
	x.Revision = rev(number)
	return x
}

// newOlderStart returns a fixture with a target and three flows there that were open when the
// list of targets was last complete: on port 1 an idle flow, on port 2 one with an idempotent
// request in flight, and on port 3 one with a non-idempotent request in flight.
func newOlderStart(t *testing.T) *fixture {
	b := newFixture(t, startedTarget(1, 1000, 10))
	b.openFlow(1, streams)
	b.openFlow(2, streams)
	b.openFlow(3, notes)
	b.now += registrationDelay + 10*time.Millisecond
	b.f.SetListCompleteAt(b.now)
	b.sendRequest(2, streams, 1, 101, 1000)
	b.sendRequest(3, notes, 1, 101, 1000)
	return b
}

// A target crashes and starts again under its identifier. Requests on flows of the older
// start would be lost, so idle flows and those with an idempotent request are reset. A
// non-idempotent request that may have run is left to the target.
func TestFlowsOfAnOlderStartAreReset(t *testing.T) {
	b := newOlderStart(t)
	b.now += 200 * time.Millisecond
	lost := b.f.PutTarget(b.now, startedTarget(1, 5000, 20))
	if len(lost) != 2 || lost[0].Caller.Port() != 1 || lost[1].Caller.Port() != 2 {
		t.Errorf("reset %v, want the flows of ports 1 and 2", lost)
	}
	if x := b.state(1); x.flows != 0 || x.busy != 0 {
		t.Errorf("the new start has %d flows and %d requests of the older one", x.flows, x.busy)
	}
	b.want(b.sendRequest(3, notes, 1, 101, 1000), Forwarded)
	if got := b.f.Count(ResetRestarted); got != 2 {
		t.Errorf("counter %d, want 2", got)
	}
}

// A caller opens a flow to the new start of a target before its registration arrives here.
// The flow must not be reset.
func TestFlowsOfTheNewStartStay(t *testing.T) {
	b := newOlderStart(t)
	b.now += 100 * time.Millisecond // it has restarted, which is not known here yet
	b.openFlow(4, streams)
	b.sendRequest(4, streams, 1, 101, 1000)
	b.now += 300 * time.Millisecond
	for _, s := range b.f.PutTarget(b.now, startedTarget(1, 5000, 20)) {
		if s.Caller.Port() == 4 {
			t.Error("a flow of the new start was reset")
		}
	}
	b.want(b.sendRequest(4, streams, 1, 401, 2000), Forwarded)
	if x := b.state(1); x.flows != 1 || x.busy != 1 {
		t.Errorf("the new start has %d flows and %d requests, want 1 and 1", x.flows, x.busy)
	}
}

// The older start was dead, suspected, failing, leaving and loaded. The new one has none of
// that state and gets new flows at once.
func TestStateOfOlderStartIsDropped(t *testing.T) {
	b := newOlderStart(t)
	x := b.state(1)
	x.dead, x.failing, x.extraLoad, x.finding, x.failedChecks = true, true, 9, Gone, 2
	x.avoidUntil = b.now + time.Minute
	x.record.add(b.now, AnswerNone)
	x.peerLoad, x.peerOutcome = Load{5, 5}, Outcome{0, 5}
	b.f.outcomes.recentlyFailed[x] = true
	b.f.addSuspect(x)
	b.f.PutTarget(b.now, startedTarget(1, 500, 20)) // its clock was set back
	if got := b.state(1).state(b.now); got != "ready" {
		t.Errorf("the new start is %s", got)
	}
	if got := b.f.info(b.now, b.state(1)); got.Load != 0 || got.Bad != 0 || got.PeerBad != 0 || got.PeerFlows != 0 {
		t.Errorf("the new start looks like %+v", got)
	}
	if d := b.handle(packet(9, streams, SYN, 0)); d.Verb != Forward {
		t.Errorf("opening: %v", d.Reason)
	}
	if n := len(b.f.TargetsToCheck(b.now)); n != 0 {
		t.Errorf("%d targets to check, want none", n)
	}
}

// A draining target ends and starts again under its identifier. The new start is not
// draining.
func TestRestartAfterDraining(t *testing.T) {
	leaving := startedTarget(1, 1000, 10)
	leaving.Draining = true
	b := newFixture(t, leaving)
	b.f.RemoveTarget(b.now, 1)
	b.now += time.Second
	b.f.PutTarget(b.now, startedTarget(1, 5000, 20))
	if got := b.state(1).state(b.now); got != "ready" {
		t.Errorf("the new start is %s", got)
	}
}

// A late registration of the older start, from a peer that lags behind, must not replace the
// newer start, whatever their clocks say.
func TestLateRegistrationIsIgnored(t *testing.T) {
	b := newFixture(t, startedTarget(1, 1000, 10))
	b.f.PutTarget(b.now, startedTarget(1, 500, 20))
	if lost := b.f.PutTarget(b.now, startedTarget(1, 1000, 10)); len(lost) != 0 || b.state(1).Born.Millis != 500 {
		t.Errorf("the known start is %v, want that of the later revision", b.state(1).Born)
	}
}

// Results of a check of the older start, and reports of peers that do not know the new one,
// must not affect the new start.
func TestReportsAboutOlderStartAreIgnored(t *testing.T) {
	b := newOlderStart(t)
	b.f.addSuspect(b.state(1))
	b.state(1).checkWanted = true
	checked := b.f.TargetsToCheck(b.now)
	if len(checked) != 1 {
		t.Fatalf("%d checks, want 1", len(checked))
	}
	b.f.PutTarget(b.now, startedTarget(1, 5000, 20))
	if result := b.f.Checked(b.now, checked[0].Start(), Gone); result.Notify || b.state(1).dead {
		t.Error("the result of a check of the older start was applied to the new one")
	}
	if b.f.checksRunning != 0 {
		t.Errorf("%d checks running, want none", b.f.checksRunning)
	}
	if b.f.SameStart(1, rev(19)) || !b.f.SameStart(1, rev(20)) {
		t.Error("SameStart is wrong: a peer means the older start if its replica ends before the restart, else the new one")
	}
}

// A health answer shows another start than the registered one. Until its registration
// arrives, new flows stay away, as the service may differ, and open ones stay, as some may
// belong to the new start.
func TestCheckFindsAnotherStart(t *testing.T) {
	b := newOlderStart(t)
	if result := b.f.Checked(b.now, startedTarget(1, 1000, 10).Start(), Restarted); len(result.Resets) != 0 || !result.Notify {
		t.Errorf("result %+v", result)
	}
	b.want(b.handle(packet(9, streams, SYN, 0)), ResetNoTarget)
	b.want(b.sendRequest(1, streams, 1, 101, 1000), Forwarded)
	b.f.PutTarget(b.now, startedTarget(1, 5000, 20))
	if d := b.handle(packet(10, streams, SYN, 0)); d.Verb != Forward {
		t.Errorf("opening: %v", d.Reason)
	}
}

// A target starts again as another service in another data centre. Callers of the new service
// are sent there, those of the old one are not.
func TestRestartAsAnotherService(t *testing.T) {
	for name, born := range map[string]Born{"another start": {Known: true, Millis: 5000}, "the same start": {Known: true, Millis: 1000}} {
		b := newFixture(t, startedTarget(1, 1000, 10))
		c := testCatalogue()
		c.Services["x"] = Service{Name: "x"}
		c.Routes[extraRoute] = Route{Address: extraRoute, Backends: []Backend{{"x", 1}}, Kind: Idempotent}
		b.f.SetCatalogue(c)
		moved := startedTarget(1, 0, 20)
		moved.Born, moved.Service, moved.DataCenter = born, "x", "b"
		b.f.PutTarget(b.now, moved)
		b.want(b.handle(packet(1, streams, SYN, 0)), ResetNoTarget)
		b.want(b.handle(packet(2, extraRoute, SYN, 0)), OpenedFar)
		if n := len(b.f.service("s").near.targets); n != 0 {
			t.Errorf("%s: %d targets are left in the old service", name, n)
		}
	}
}

// A registration need not contain a start. One that adds or omits it counts as another start,
// but its flows are not certain to be lost, so none is reset.
func TestUnknownStart(t *testing.T) {
	b := newOlderStart(t)
	plain := target1(1, "a")
	plain.Revision = rev(20)
	if lost := b.f.PutTarget(b.now, plain); len(lost) != 0 {
		t.Errorf("%d flows were reset", len(lost))
	}
	if x := b.state(1); x.flows != 3 {
		t.Errorf("%d flows, want the 3 open ones", x.flows)
	}
	b.want(b.sendRequest(1, streams, 1, 101, 1000), Forwarded)
}

// Another program overwrites a target's registration with an invalid one. New flows stay away
// and open ones continue. A valid registration restores the target.
func TestInvalidRegistration(t *testing.T) {
	b := newFixture(t, startedTarget(1, 1000, 10))
	b.openFlow(1, streams)
	b.f.DisableTarget(1)
	b.want(b.handle(packet(2, streams, SYN, 0)), ResetNoTarget)
	b.want(b.sendRequest(1, streams, 1, 101, 1000), Forwarded)
	if got := b.state(1).state(b.now); got != "unusable" {
		t.Errorf("state %s", got)
	}
	b.f.RemoveTarget(b.now, 1)
	b.want(b.handle(packet(3, streams, SYN, 0)), ResetNoTarget) // not even as one that has just expired
	b.f.PutTarget(b.now, startedTarget(1, 1000, 30))
	if d := b.handle(packet(4, streams, SYN, 0)); d.Verb != Forward {
		t.Errorf("opening after the registration became valid: %v", d.Reason)
	}
}

// A balancer starts while the registration of a living target is invalid. Packets with the
// target's cookie must not be reset until the registration is gone.
func TestFlowsOfTargetWithInvalidRegistration(t *testing.T) {
	b := newFixture(t)
	b.f.DisableTarget(77)
	b.want(b.handle(packet(1, streams, ACK, 77)), DroppedWait)
	b.now += 5 * time.Second
	b.f.SetListCompleteAt(b.now)
	b.want(b.handle(packet(1, streams, ACK, 77)), DroppedWait)
	b.f.RemoveTarget(b.now, 77)
	b.want(b.handle(packet(1, streams, ACK, 77)), DroppedWait)
	b.readFor(lapseWindow)
	b.want(b.handle(packet(1, streams, ACK, 77)), ResetUnknown)
}

// After a restore of the store from an older copy, registrations less recent than what is
// known must not be applied until the targets have written again. Otherwise a leaving target
// would get flows, one that has left would return, and flows of a start missing in the copy
// would be reset.
func TestKnowsNewer(t *testing.T) {
	for _, c := range []struct {
		name  string
		known func(*fixture, Target) // events after the copy was made
		want  bool
	}{
		{"nothing", func(*fixture, Target) {}, false},
		{"announced that it leaves", func(b *fixture, x Target) {
			x.Draining = true
			b.f.PutTarget(b.now, x)
		}, true},
		{"left", func(b *fixture, x Target) { b.f.RemoveTarget(b.now, x.ID) }, true},
		{"started again", func(b *fixture, x Target) {
			x.Born.Millis++
			b.f.PutTarget(b.now, x)
		}, true},
		{"became cold", func(b *fixture, x Target) {
			x.ColdLeft = time.Second
			b.f.PutTarget(b.now, x)
		}, false},
	} {
		b := newFixture(t)
		x := startedTarget(77, 1000, 5)
		b.f.PutTarget(b.now, x)
		c.known(b, x)
		if got := b.f.KnowsNewer(x); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if newFixture(t).f.KnowsNewer(startedTarget(78, 1000, 5)) {
		t.Error("an unknown target: true, want false")
	}
}
