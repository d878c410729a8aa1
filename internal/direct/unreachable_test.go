package direct

import (
	"testing"
	"time"
)

// Callers keep flows open and send about one non-idempotent request a second on each. A
// request sent on a flow of a dead target is lost, as its caller does not retry. Three of 14
// targets become unreachable, and their idle flows have to be reset before the next requests.
// At least twice as many requests have to be lost without resets of idle flows, and more if
// the reports of peers whose callers wait are ignored.
func TestIdleFlowsOfDarkTargets(t *testing.T) {
	lost := map[MechanismSet]int{}
	allRequests := 0 // of all runs
	for _, without := range []MechanismSet{0, 1 << IdleResets, 1 << PeerDeaths} {
		for seed := range uint64(20) {
			r := runWithUnreachable(11+seed, without)
			lost[without] += r.failed
			allRequests += r.requests
		}
		t.Logf("without %q: %d lost", without, lost[without])
	}
	if got := float64(lost[0]) / float64(allRequests/3); got > 0.0095 {
		t.Errorf("%.4f of the requests were lost", got)
	}
	if lost[0]*2 > lost[1<<IdleResets] {
		t.Errorf("%d lost, %d without resets of idle flows", lost[0], lost[1<<IdleResets])
	}
	if lost[0] >= lost[1<<PeerDeaths] {
		t.Errorf("%d lost, %d without the evidence of peers", lost[0], lost[1<<PeerDeaths])
	}
}

// runWithUnreachable runs a deployment in which three of 14 targets become unreachable under
// long-lived flows.
func runWithUnreachable(seed uint64, without MechanismSet) *replay {
	r := newReplayWithout(seed, []int{3, 2, 2}, []int{5, 5, 4}, without)
	r.nonIdempotent = true
	for i, n := range []float64{5, 5, 4} {
		r.load(i, capacity(14)*0.4*n/14, 8*time.Second)
	}
	r.run(3 * time.Second)
	for _, x := range []int{0, 1, 6} {
		r.targets[x].unreachable = true
	}
	r.run(12 * time.Second)
	return r
}

// All flows of this balancer at an unreachable target are idle, so its own failed checks are
// not sufficient evidence. A peer whose callers wait there reports the target as dead, and
// the idle flows are reset before a request is lost on them. A target that answers this
// balancer's check is kept despite the report.
func TestPeerReportsDeadTarget(t *testing.T) {
	for _, answers := range []bool{false, true} {
		b := newFixture(t, manyTargets(5)...)
		b.showAllAlive(0)
		id := b.openFlow(1, notes)
		b.now += time.Second
		b.showAllAlive(id)
		b.f.PeerSuspects(b.now, id)
		if len(b.f.TargetsToCheck(b.now)) != 1 {
			t.Fatal("the target is not checked")
		}
		b.now += 200 * time.Millisecond
		b.showAllAlive(id)
		finding := Silent
		if answers {
			finding = Alive
		}
		if result := b.f.Checked(b.now, Start{ID: id}, finding); len(result.Resets) != 0 {
			t.Errorf("%d flows were reset though no caller waits there", len(result.Resets))
		}
		b.now += 100 * time.Millisecond
		lost := b.f.PeerFoundDead(b.now, id)
		if want := map[bool]int{false: 2, true: 0}[answers]; len(lost) != want { // includes the flow of showAllAlive
			t.Errorf("answers %v: %d flows are reset, want %d", answers, len(lost), want)
		}
		if again := b.f.PeerFoundDead(b.now+tick, id); len(again) != 0 || len(b.f.TargetsToCheck(b.now+tick)) != 0 {
			t.Errorf("answers %v: the peer's report has an effect twice", answers)
		}
	}
}

// On a route whose requests are known to take 0.3 s, a target must not be checked after
// 0.1 s: each check takes a slot, and every request would cause one.
func TestRequestTimeoutFollowsTheRoute(t *testing.T) {
	b := newFixture(t, manyTargets(1)...)
	const work = 300 * time.Millisecond
	id := b.openFlow(1, streams)
	seq, ack := uint32(101), uint32(1000)
	for range minSamples + 1 {
		b.sendRequest(1, streams, id, seq, ack)
		seq += 300
		b.now += work
		ack += 2000
		s := packet(1, streams, ACK, id.Cookie())
		s.Seq, s.Ack = seq, ack
		b.handle(s)
	}
	b.f.TargetsToCheck(b.now)
	b.now += time.Second
	b.sendRequest(1, streams, id, seq, ack)
	b.now += work
	b.f.Tick(b.now)
	if n := len(b.f.TargetsToCheck(b.now)); n != 0 {
		t.Error("the target is checked though the answer is not late")
	}
	b.now += slowFactor * work
	b.f.Tick(b.now)
	if n := len(b.f.TargetsToCheck(b.now)); n != 1 {
		t.Error("the target is not checked though the answer is overdue")
	}
}

// tick is the time between two heartbeats of a peer.
const tick = 100 * time.Millisecond

// A dead target starts again under its identifier, and another balancer opens a flow there.
// This balancer has not learnt of the new start and must not reset the flow when its next
// packet arrives. Once a check that began after the packet finds the target dead, the flow is
// reset.
func TestFlowSeenAfterItsTargetDied(t *testing.T) {
	b := newFixture(t, manyTargets(3)...)
	id := b.openFlow(1, streams)
	b.sendRequest(1, streams, id, 101, 1000)
	check := func(x Finding) {
		t.Helper()
		b.now += time.Millisecond
		if len(b.f.TargetsToCheck(b.now)) != 1 {
			t.Fatal("the target is not checked")
		}
		b.f.Checked(b.now, Start{ID: id}, x)
	}
	b.now += minRequestTimeout
	b.f.Tick(b.now)
	check(Gone)
	b.now += recheckPause
	b.want(b.sendRequest(2, streams, id, 101, 1000), Forwarded)
	check(Gone)
	b.want(b.sendRequest(2, streams, id, 101, 1000), ResetSilent)
	b.now += recheckPause
	b.want(b.sendRequest(3, streams, id, 101, 1000), Forwarded)
	check(Alive)
	b.want(b.sendRequest(3, streams, id, 101, 1000), Forwarded)
}
