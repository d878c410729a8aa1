package direct

import (
	"testing"
	"time"
)

// Callers keep flows open and send about one request a second on each, which must not
// run twice: one that is sent on a flow of a dead target is lost, as its caller does not
// try again. Three of 14 targets go dark. Their idle flows have to end before the next
// requests are sent there.
// Without the resets of idle flows twice as many are lost, and more if callers that wait
// at other balancers prove nothing.
func TestIdleFlowsOfDarkTargets(t *testing.T) {
	lost := map[MechanismSet]int{}
	asked := 0
	for _, without := range []MechanismSet{0, 1 << IdleResets, 1 << PeerDeaths} {
		for seed := range uint64(20) {
			r := darkDay(11+seed, without)
			lost[without] += r.failed
			asked += r.asked
		}
		t.Logf("without %q: %d lost", without, lost[without])
	}
	if got := float64(lost[0]) / float64(asked/3); got > 0.0095 {
		t.Errorf("%.4f of the requests were lost", got)
	}
	if lost[0]*2 > lost[1<<IdleResets] {
		t.Errorf("%d lost, %d without resets of idle flows", lost[0], lost[1<<IdleResets])
	}
	if lost[0] >= lost[1<<PeerDeaths] {
		t.Errorf("%d lost, %d without the evidence of peers", lost[0], lost[1<<PeerDeaths])
	}
}

// darkDay has three of 14 targets go dark under flows that stay open.
func darkDay(seed uint64, without MechanismSet) *replay {
	r := newReplayWithout(seed, []int{3, 2, 2}, []int{5, 5, 4}, without)
	r.once = true
	for i, n := range []float64{5, 5, 4} {
		r.load(i, capacity(14)*0.4*n/14, 8*time.Second)
	}
	r.run(3 * time.Second)
	for _, x := range []int{0, 1, 6} {
		r.targets[x].dark = true
	}
	r.run(12 * time.Second)
	return r
}

// A target goes dark while this balancer's flows there are idle. Its own checks prove
// nothing as long as nobody waits, but a peer whose callers wait in vain tells that it
// found the target dead: the idle flows end before a request is lost on them. A target
// that answers this balancer's check stays, whatever the peer says.
func TestPeerFoundTargetDead(t *testing.T) {
	for _, answers := range []bool{false, true} {
		b := newFixture(t, manyTargets(5)...)
		b.live(0)
		id := b.open(1, notes)
		b.now += time.Second
		b.live(id)
		b.f.PeerSuspects(b.now, id)
		if len(b.f.TargetsToCheck(b.now)) != 1 {
			t.Fatal("the target is not checked")
		}
		b.now += 200 * time.Millisecond
		b.live(id)
		finding := Silent
		if answers {
			finding = Alive
		}
		if v := b.f.Checked(b.now, Start{ID: id}, finding); len(v.Resets) != 0 {
			t.Errorf("%d flows were reset though nobody waits there", len(v.Resets))
		}
		b.now += 100 * time.Millisecond
		lost := b.f.PeerFoundDead(b.now, id)
		if want := map[bool]int{false: 2, true: 0}[answers]; len(lost) != want { // with that of live
			t.Errorf("answers %v: %d flows are reset, want %d", answers, len(lost), want)
		}
		if again := b.f.PeerFoundDead(b.now+tick, id); len(again) != 0 || len(b.f.TargetsToCheck(b.now+tick)) != 0 {
			t.Errorf("answers %v: the peer's word is acted on again", answers)
		}
	}
}

// A service takes 0.3 s for each request. Once that is known, no target may be checked
// after 0.1 s already: each check takes a slot, and there would be one for each request.
func TestPatienceFollowsTheRoute(t *testing.T) {
	b := newFixture(t, manyTargets(1)...)
	const work = 300 * time.Millisecond
	id := b.open(1, streams)
	seq, ack := uint32(101), uint32(1000)
	for range minSamples + 1 {
		b.ask(1, streams, id, seq, ack)
		seq += 300
		b.now += work
		ack += 2000
		s := packet(1, streams, ACK, id.Cookie())
		s.Seq, s.Ack = seq, ack
		b.handle(s)
	}
	b.f.TargetsToCheck(b.now)
	b.now += time.Second
	b.ask(1, streams, id, seq, ack)
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

// A target was found dead, starts again under its identifier, and a balancer that
// knows opens a flow there. This balancer has not heard of it and gets the flow's next
// packet: it must not reset the flow of a living target. Once a check that began after
// the packet finds the target dead, the flow is certainly lost.
func TestFlowSeenAfterItsTargetDied(t *testing.T) {
	b := newFixture(t, manyTargets(3)...)
	id := b.open(1, streams)
	b.ask(1, streams, id, 101, 1000)
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
	b.want(b.ask(2, streams, id, 101, 1000), Forwarded)
	check(Gone)
	b.want(b.ask(2, streams, id, 101, 1000), ResetSilent)
	b.now += recheckPause
	b.want(b.ask(3, streams, id, 101, 1000), Forwarded)
	check(Alive)
	b.want(b.ask(3, streams, id, 101, 1000), Forwarded)
}
