package direct

import (
	"slices"
	"testing"
	"time"
)

// manyTargets is a data centre of n targets and an idle one elsewhere.
func manyTargets(n int) []Target {
	out := []Target{target1(100, "b")}
	for i := range n {
		out = append(out, target1(TargetID(i+1), "a"))
	}
	return out
}

// alive shows life of a target, by an answered request on a flow of its own.
func (b *fixture) alive(id TargetID) {
	s := packet(aliveFlow(id), streams, ACK, id.Cookie())
	s.Ack = uint32(b.now / time.Millisecond)
	b.handle(s)
}

// aliveFlow is the port of the flow by which alive shows a target's life.
func aliveFlow(id TargetID) uint16 { return uint16(2000 + id) }

// live shows life of all targets but one, by answered requests on flows of
// their own.
func (b *fixture) live(but TargetID) {
	for id := range b.f.targets {
		if id != but {
			b.alive(id)
		}
	}
}

// A target loses power while callers wait for it. Two repeats keep new flows
// away, two checks without an answer reset the waiting callers, who try again
// elsewhere, and the idle ones, who open a new flow before they ask; a note that may
// have run is left alone.
func TestSilentTargetIsFound(t *testing.T) {
	b := newFixture(t, manyTargets(5)...)
	var waiting []uint16
	b.live(0)
	const silent1 = 1 // an idle flow there
	silent := b.open(silent1, streams)
	for port := uint16(2); len(waiting) < 3; port++ {
		if b.open(port, streams) == silent {
			waiting = append(waiting, port)
		}
	}
	note := uint16(500)
	for b.open(note, notes) != silent {
		note++
	}
	b.now += 300 * time.Millisecond
	for _, p := range append(waiting, note) {
		to := streams
		if p == note {
			to = notes
		}
		b.ask(p, to, silent, 101, 1000)
	}
	b.now += 200 * time.Millisecond
	b.live(silent)
	for _, p := range waiting {
		b.want(b.ask(p, streams, silent, 101, 1000), Forwarded)
	}
	if b.state(silent).eligible(b.now) {
		t.Error("new flows still go to the silent target")
	}
	var v CheckResult
	for range confirmChecks {
		if !b.f.ChecksDue() && len(b.f.TargetsToCheck(b.now)) == 0 {
			t.Fatal("the silent target is not checked")
		}
		b.f.TargetsToCheck(b.now)
		b.now += 150 * time.Millisecond
		b.live(silent)
		v = b.f.Checked(b.now, Start{ID: silent}, Silent)
		b.now += confirmPause
	}
	var reset []uint16
	for _, s := range v.Resets {
		reset = append(reset, s.Caller.Port())
	}
	if want := append([]uint16{silent1}, append(waiting, aliveFlow(silent))...); !slices.Equal(reset, want) {
		t.Errorf("the flows %v are reset, want %v: those that wait and those that are idle", reset, want)
	}
	b.want(b.ask(note, notes, silent, 101, 1000), Forwarded)
}

// A target's machine is reached, but nothing listens: it has crashed, and every
// flow of it is over.
func TestRefusedCheckResetsAtOnce(t *testing.T) {
	b := newFixture(t, manyTargets(3)...)
	id := b.open(1, notes)
	b.ask(1, notes, id, 101, 1000)
	b.now += minRequestTimeout
	b.f.Tick(b.now)
	if len(b.f.TargetsToCheck(b.now)) != 1 {
		t.Fatal("the target is not checked")
	}
	v := b.f.Checked(b.now, Start{ID: id}, Gone)
	if len(v.Resets) != 1 || !v.Notify {
		t.Errorf("verdict %+v, want one reset and news", v)
	}
	if again := b.f.Checked(b.now, Start{ID: id}, Gone); len(again.Resets) != 0 || again.Notify {
		t.Errorf("second verdict %+v, want nothing new", again)
	}
}

// A target that had said it would leave ends: it takes no more connections, so
// that a check is refused, while it still answers the requests it has. Those flows
// must not be reset. One whose caller repeats has ended with it.
func TestEndingTargetAnswersItsLastRequests(t *testing.T) {
	b := newFixture(t, manyTargets(3)...)
	b.live(0)
	ending := b.open(1, streams)
	leaves := b.state(ending).Target
	leaves.Draining = true
	b.f.PutTarget(b.now, leaves)
	b.now += 300 * time.Millisecond
	b.ask(1, streams, ending, 101, 1000)
	b.now += minRequestTimeout
	b.f.Tick(b.now)
	if len(b.f.TargetsToCheck(b.now)) != 1 {
		t.Fatal("the target is not checked")
	}
	if v := b.f.Checked(b.now, Start{ID: ending}, Gone); len(v.Resets) != 0 {
		t.Error("a flow was reset whose target still serves it")
	}
	b.want(b.ask(1, streams, ending, 401, 1000), Forwarded)
	b.now += 200 * time.Millisecond
	b.live(ending)
	b.ask(1, streams, ending, 401, 1000)
	if len(b.f.TargetsToCheck(b.now)) != 1 {
		t.Fatal("the target is not checked after a repeat")
	}
	v := b.f.Checked(b.now, Start{ID: ending}, Gone)
	if len(v.Resets) != 2 || v.Resets[0].Caller.Port() != 1 || v.Resets[1].Caller.Port() != aliveFlow(ending) {
		t.Errorf("reset after a repeat: %v, want the flow that repeats and the idle one", v.Resets)
	}
}

// Targets look dead for a moment, and with no flow left nothing would ever show
// that they live. New flows must come back by themselves, and a service whose
// targets are all suspected must serve on.
func TestSuspicionEndsAndFailsOpen(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"))
	for id := TargetID(1); id <= 2; id++ {
		b.state(id).avoidUntil = b.now + suspicionTime
	}
	if d := b.handle(packet(1, streams, SYN, 0)); d.Verb != Forward {
		t.Errorf("opening while all targets are suspected: %v", d.Reason)
	}
	b.now += suspicionTime
	if !b.state(1).eligible(b.now) {
		t.Error("the suspicion does not end")
	}
}

// A peer behind a cut finds a target dead that this balancer reaches. Flows go
// on; only new ones avoid the target until it is checked.
func TestPeersSuspicionResetsNobody(t *testing.T) {
	b := newFixture(t, manyTargets(3)...)
	id := b.open(1, streams)
	b.now += time.Second
	if !b.f.PeerSuspects(b.now, id) {
		t.Error("the suspicion is no news")
	}
	if b.state(id).eligible(b.now) {
		t.Error("new flows still go there")
	}
	b.want(b.ask(1, streams, id, 101, 1000), Forwarded)
	if got := b.f.TargetsToCheck(b.now); len(got) != 1 {
		t.Fatalf("%d targets to check, want 1", len(got))
	}
	b.f.Checked(b.now+time.Millisecond, Start{ID: id}, Alive)
	if !b.state(id).eligible(b.now) {
		t.Error("the check's answer does not clear the target")
	}
}

// A target's health check hangs while its flows are served, and a packet of one
// flow is lost. The target lives: none of its flows may be reset.
func TestHangingHealthCheck(t *testing.T) {
	b := newFixture(t, manyTargets(3)...)
	b.live(0)
	id := b.open(1, streams)
	b.ask(1, streams, id, 101, 1000)
	b.now += 400 * time.Millisecond
	b.ask(1, streams, id, 101, 1000) // the packet was lost
	for ack := uint32(1000); ack < 1400; ack += 100 {
		b.f.TargetsToCheck(b.now)
		b.now += 30 * time.Millisecond
		answered := packet(1, streams, ACK, id.Cookie())
		answered.Seq, answered.Ack = 401, ack+100
		b.handle(answered)
		b.now += 170 * time.Millisecond
		b.live(id)
		if v := b.f.Checked(b.now, Start{ID: id}, Silent); len(v.Resets) > 0 || v.Notify {
			t.Fatalf("verdict %+v on a living target", v)
		}
	}
	if !b.state(id).eligible(b.now) {
		t.Error("the target is avoided")
	}
}

// Nothing is asked of a target whose health check hangs: that alone must not
// make it dead.
func TestSilentCheckAloneProvesNothing(t *testing.T) {
	b := newFixture(t, manyTargets(3)...)
	id := b.open(1, streams)
	for range 5 {
		b.now += time.Second
		b.live(id)
		b.f.PeerSuspects(b.now, id)
		b.f.TargetsToCheck(b.now)
		b.f.Checked(b.now, Start{ID: id}, Silent)
	}
	b.want(b.ask(1, streams, id, 101, 1000), Forwarded)
}

// Ten of 40 targets crash, and their machines answer openings with resets that
// no balancer sees. The dead ones look idle, and a caller's three tries end there
// within 30 ms. Openings that stay unanswered have to give them away.
func TestCrashedTargetsDrawNoOpenings(t *testing.T) {
	r := newReplay(3, []int{6, 6, 6}, []int{14, 13, 13})
	for i, n := range []float64{14, 13, 13} {
		r.load(i, capacity(40)*0.3*n/40, 5*time.Second)
	}
	r.run(2 * time.Second)
	for i := range 10 {
		r.targets[i*4].dead = true
	}
	r.run(7 * time.Second)
	t.Log(r)
	if r.failed > 10 {
		t.Errorf("%d requests failed in all tries", r.failed)
	}
}

// A target is forgotten while it is being checked. The number of checks under way
// must not stay up: after a few of these no target would be checked any more.
func TestForgottenTargetEndsItsCheck(t *testing.T) {
	b := newFixture(t, manyTargets(2)...)
	for id := TargetID(1000); id < 1000+2*maxChecks; id++ {
		b.f.PutTarget(b.now, target1(id, "a"))
		b.f.RemoveTarget(b.now, id)
		b.ask(uint16(id), streams, id, 101, 1000) // a flow there is what it is checked for
		if len(b.f.TargetsToCheck(b.now)) != 1 {
			t.Fatalf("target %d is not checked", id)
		}
		b.now += 2 * departedRetention
		b.f.Tick(b.now)
		b.f.Checked(b.now, Start{ID: id}, Silent)
	}
}

// The longest wait in a queue decides; later ones must not be reported before.
func TestWaitsComeInOrder(t *testing.T) {
	var q waitQueue
	for i := range 100 {
		q.push(&flow{}, time.Duration(i))
	}
	for i := range 50 {
		w, ok := q.pop(49)
		if !ok || w.since != time.Duration(i) {
			t.Fatalf("wait %d: %v %v", i, w.since, ok)
		}
	}
	if _, ok := q.pop(49); ok {
		t.Error("a wait came too early")
	}
	q.push(&flow{}, 100)
	if w, ok := q.pop(50); !ok || w.since != 50 {
		t.Errorf("after compaction: %v %v", w.since, ok)
	}
}
