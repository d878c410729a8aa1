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

// A target that had announced that it leaves closes its listening socket, so that a check is
// refused, while it still answers its last requests. Those flows must not be reset. If a
// caller's retransmission stays unacknowledged, the target has ended.
func TestEndingTargetAnswersItsLastRequests(t *testing.T) {
	b, ending := flowOfEndingTarget(t, 3)
	b.now += 300 * time.Millisecond
	b.sendRequest(1, streams, ending, 101, 1000)
	b.now += minRequestTimeout
	b.f.Tick(b.now)
	if len(b.f.TargetsToCheck(b.now)) != 1 {
		t.Fatal("the target is not checked")
	}
	if result := b.f.Checked(b.now, Start{ID: ending}, Gone); len(result.Resets) != 0 {
		t.Error("a flow was reset whose target still serves it")
	}
	b.want(b.sendRequest(1, streams, ending, 401, 1000), Forwarded)
	b.now += 200 * time.Millisecond
	b.showAllAlive(ending)
	b.sendRequest(1, streams, ending, 401, 1000)
	if len(b.f.TargetsToCheck(b.now)) != 1 {
		t.Fatal("the target is not checked after a retransmission")
	}
	result := b.f.Checked(b.now, Start{ID: ending}, Gone)
	if len(result.Resets) != 2 || result.Resets[0].Caller.Port() != 1 || result.Resets[1].Caller.Port() != alivePort(ending) {
		t.Errorf("reset after a retransmission: %v, want the retransmitting flow and the idle one", result.Resets)
	}
}

// A target that had announced that it leaves refuses connections while it works on its queue,
// and its callers retransmit. Refused checks must not count towards marking it dead, neither
// two in a row nor one before an unanswered check: its flows would be reset shortly before
// their answers.
func TestRefusedChecksOfEndingTargetDoNotCount(t *testing.T) {
	for _, findings := range [][]Finding{{Gone, Gone, Gone}, {Gone, Gone, Silent}} {
		b, ending := flowOfEndingTarget(t, 5)
		b.sendRequest(1, streams, ending, 101, 1000)
		b.now += 200 * time.Millisecond
		for _, x := range findings {
			b.now += confirmPause
			b.showAllAlive(ending)
			b.sendRequest(1, streams, ending, 101, 1000)
			if len(b.f.TargetsToCheck(b.now)) != 1 {
				t.Fatalf("%v: the target is not checked", findings)
			}
			b.now += time.Millisecond
			result := b.f.Checked(b.now, Start{ID: ending}, x)
			if silent := b.now - b.state(ending).lastAlive; len(result.Resets) != 0 {
				t.Errorf("%v: %d flows are reset after %v of silence, within the check timeout of %v", findings, len(result.Resets), silent, b.f.CheckTimeout("s"))
			}
			if x == Gone && result.Notify {
				t.Errorf("%v: peers are told of a refused check", findings)
			}
		}
		answered := packet(1, streams, ACK, ending.Cookie())
		answered.Seq, answered.Ack = 401, 3000
		b.want(b.handle(answered), Forwarded)
	}
}
