package direct

import (
	"testing"
	"time"
)

// flowOfEndingTarget opens a flow of port 1 at one of n targets, which then announces that it leaves.
func flowOfEndingTarget(t *testing.T, n int) (*fixture, TargetID) {
	t.Helper()
	b := newFixture(t, manyTargets(n)...)
	b.showAllAlive(0)
	ending := b.openFlow(1, streams)
	leaves := b.state(ending).Target
	leaves.Draining = true
	b.f.PutTarget(b.now, leaves)
	return b, ending
}

// leave removes the registration of a target that leaves. The list of targets is current.
func (b *fixture) leave(id TargetID) []Segment {
	b.f.SetListCompleteAt(b.now)
	return b.f.RemoveTarget(b.now, id)
}

// refuse lets a check of a target be refused. It returns the flows to reset.
func (b *fixture) refuse(id TargetID) []Segment {
	b.t.Helper()
	if len(b.f.TargetsToCheck(b.now)) != 1 {
		b.t.Fatal("the target is not checked")
	}
	b.now += time.Millisecond
	return b.f.Checked(b.now, Start{ID: id}, Gone).Resets
}

// Guards against resetting flows of a leaving target that refuses connections while it works on
// its last requests, and against callers that wait after the news of its end.
func TestEndingTargetAnswersItsLastRequests(t *testing.T) {
	b, ending := flowOfEndingTarget(t, 3)
	b.f.SetListCompleteAt(b.now)
	b.now += 5 * time.Second // the flow is idle
	b.f.SetListCompleteAt(b.now)
	b.sendRequest(1, streams, ending, 101, 1000)
	b.now += minRequestTimeout
	b.f.Tick(b.now)
	for silent := minRequestTimeout; silent < 10*time.Second; silent += checkPause {
		if resets := b.refuse(ending); len(resets) != 0 {
			t.Fatalf("%d flows are reset after %v of work, want none", len(resets), silent)
		}
		b.showAllAlive(ending)
		b.now += checkPause
		b.f.SetListCompleteAt(b.now)
		b.want(b.sendRequest(1, streams, ending, 101, 1000), Forwarded)
	}
	resets := b.leave(ending)
	if len(resets) != 2 || resets[0].Caller.Port() != 1 || resets[1].Caller.Port() != alivePort(ending) {
		t.Errorf("reset when the target has left: %v, want the waiting flow and the idle one", resets)
	}
	b.want(b.sendRequest(1, streams, ending, 101, 1000), ResetGone)
}

// A target that had announced that it leaves refuses connections while it works on its queue,
// and its callers retransmit. Refused checks must not count towards marking it dead, neither
// several in a row nor one before an unanswered check: its flows would be reset shortly before
// their answers.
func TestRefusedChecksOfEndingTargetDoNotCount(t *testing.T) {
	for _, findings := range [][]Finding{{Gone, Gone, Gone}, {Gone, Gone, Silent}} {
		b, ending := flowOfEndingTarget(t, 5)
		b.sendRequest(1, streams, ending, 101, 1000)
		b.now += 200 * time.Millisecond
		for _, x := range findings {
			b.now += checkPause
			b.showAllAlive(ending)
			b.sendRequest(1, streams, ending, 101, 1000)
			if len(b.f.TargetsToCheck(b.now)) != 1 {
				t.Fatalf("%v: the target is not checked", findings)
			}
			b.now += time.Millisecond
			result := b.f.Checked(b.now, Start{ID: ending}, x)
			if silent := b.now - b.state(ending).lastAlive; len(result.Resets) != 0 {
				t.Errorf("%v: %d flows are reset after %v of silence", findings, len(result.Resets), silent)
			}
			if x == Gone && (result.Notify || len(b.f.Suspected()) != 0) {
				t.Errorf("%v: peers are told of a refused check", findings)
			}
		}
		answered := packet(1, streams, ACK, ending.Cookie())
		answered.Seq, answered.Ack = 401, 3000
		b.want(b.handle(answered), Forwarded)
	}
}

// Guards against flows that stay at a leaving target although another one has its address.
func TestEndingTargetWhoseAddressIsReused(t *testing.T) {
	b, ending := flowOfEndingTarget(t, 3)
	b.now += time.Second
	b.sendRequest(1, notes, ending, 101, 1000)
	b.now += 200 * time.Millisecond
	b.sendRequest(1, notes, ending, 101, 1000)
	b.f.TargetsToCheck(b.now)
	if result := b.f.Checked(b.now, Start{ID: ending}, AddressReused); len(result.Resets) != 3 {
		t.Errorf("%d flows are reset, want the waiting flow and the idle ones", len(result.Resets))
	}
}

// Guards against taking a target for dead that was unreachable for a while and refuses
// connections since: its machine responds, and it may work on requests that must not run twice.
func TestUnreachableTargetThatRefusesLater(t *testing.T) {
	b, ending := flowOfEndingTarget(t, 3)
	b.now += time.Second
	b.sendRequest(2, notes, ending, 101, 1000)
	b.findDead(2, notes, ending)
	b.now += checkPause
	b.sendRequest(2, notes, ending, 101, 1000)
	if resets := b.refuse(ending); len(resets) != 0 {
		t.Errorf("%d flows are reset", len(resets))
	}
	b.want(b.sendRequest(2, notes, ending, 101, 1000), Forwarded)
}

// Guards against resetting flows of a target that leaves by a balancer that has not heard of it, as the
// store turns it away: its list is older than the drain time when the target refuses connections.
func TestTargetThatLeavesUnheard(t *testing.T) {
	for _, c := range []struct {
		name string
		away time.Duration // since the list was last complete
		news func(*fixture) []Segment
		want int // flows that are reset, with the news
	}{
		{"crashed", time.Second, func(*fixture) []Segment { return nil }, 0},
		{"left", 4 * time.Second, func(b *fixture) []Segment {
			leaves := target1(1, "a")
			leaves.Draining = true
			b.f.PutTarget(b.now, leaves)
			b.readFor(lapseWindow)
			return b.leave(1)
		}, 1},
		{"crashed while the store was away", 4 * time.Second, func(b *fixture) []Segment {
			b.readFor(checkPause)
			return b.refuse(1)
		}, 1},
	} {
		b := newFixture(t, target1(1, "a"))
		b.f.drainTime = 3 * time.Second
		b.openFlow(1, streams)
		b.readFor(lapseWindow)
		b.now += c.away
		b.sendRequest(1, streams, 1, 101, 1000)
		b.now += 200 * time.Millisecond
		b.sendRequest(1, streams, 1, 101, 1000)
		if resets := b.refuse(1); len(resets) != 1-c.want {
			t.Errorf("%s: %d flows are reset without news", c.name, len(resets))
		}
		if b.state(1).eligible(b.now) {
			t.Errorf("%s: new flows go there", c.name)
		}
		if resets := c.news(b); len(resets) != c.want {
			t.Errorf("%s: %d flows are reset with the news, want %d", c.name, len(resets), c.want)
		}
	}
}

// Guards against a target that has crashed and counts as one that may leave once the store is away: what
// was found with a current list holds for that start.
func TestCrashedTargetStaysDeadWhileTheStoreIsAway(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"))
	b.f.drainTime = 3 * time.Second
	b.openFlowTo(1, streams, 1)
	b.readFor(lapseWindow)
	b.sendRequest(1, streams, 1, 101, 1000)
	b.now += 200 * time.Millisecond
	b.sendRequest(1, streams, 1, 101, 1000)
	if resets := b.refuse(1); len(resets) != 1 {
		t.Fatalf("%d flows are reset when the target is found to have crashed, want 1", len(resets))
	}
	b.now += 2 * b.f.drainTime
	b.refuse(1)
	if !b.state(1).dead {
		t.Error("the target is not dead any more")
	}
}
