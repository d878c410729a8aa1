package direct

import (
	"slices"
	"testing"
	"time"
)

// manyTargets returns n targets in data centre "a" and an idle one in "b".
func manyTargets(n int) []Target {
	out := []Target{target1(100, "b")}
	for i := range n {
		out = append(out, target1(TargetID(i+1), "a"))
	}
	return out
}

// showAlive makes a target show life by an answered request on a flow of its own.
func (b *fixture) showAlive(id TargetID) {
	s := packet(alivePort(id), streams, ACK, id.Cookie())
	s.Ack = uint32(b.now / time.Millisecond)
	b.handle(s)
}

// alivePort returns the port of that flow.
func alivePort(id TargetID) uint16 { return uint16(2000 + id) }

// showAllAlive makes all targets but one show life.
func (b *fixture) showAllAlive(but TargetID) {
	for id := range b.f.targets {
		if id != but {
			b.showAlive(id)
		}
	}
}

// A target loses power while callers wait for it. Two retransmissions keep new flows away.
// Two failed checks reset the waiting callers, who retry elsewhere, and the idle ones, who
// open a new flow before their next request. A non-idempotent request that may have run is
// left alone.
func TestSilentTargetIsFound(t *testing.T) {
	b := newFixture(t, manyTargets(5)...)
	var waiting []uint16
	b.showAllAlive(0)
	const idlePort = 1 // an idle flow there
	silent := b.openFlow(idlePort, streams)
	for port := uint16(2); len(waiting) < 3; port++ {
		if b.openFlow(port, streams) == silent {
			waiting = append(waiting, port)
		}
	}
	notePort := uint16(500)
	for b.openFlow(notePort, notes) != silent {
		notePort++
	}
	b.now += 300 * time.Millisecond
	for _, p := range append(waiting, notePort) {
		to := streams
		if p == notePort {
			to = notes
		}
		b.sendRequest(p, to, silent, 101, 1000)
	}
	b.now += 200 * time.Millisecond
	b.showAllAlive(silent)
	for _, p := range waiting {
		b.want(b.sendRequest(p, streams, silent, 101, 1000), Forwarded)
	}
	if b.state(silent).eligible(b.now) {
		t.Error("new flows still go to the silent target")
	}
	var result CheckResult
	for range confirmChecks {
		if !b.f.ChecksDue() && len(b.f.TargetsToCheck(b.now)) == 0 {
			t.Fatal("the silent target is not checked")
		}
		b.f.TargetsToCheck(b.now)
		b.now += 150 * time.Millisecond
		b.showAllAlive(silent)
		result = b.f.Checked(b.now, Start{ID: silent}, Silent)
		b.now += confirmPause
	}
	var reset []uint16
	for _, s := range result.Resets {
		reset = append(reset, s.Caller.Port())
	}
	if want := append([]uint16{idlePort}, append(waiting, alivePort(silent))...); !slices.Equal(reset, want) {
		t.Errorf("the flows %v are reset, want the waiting and the idle ones: %v", reset, want)
	}
	b.want(b.sendRequest(notePort, notes, silent, 101, 1000), Forwarded)
}

// A target's machine is reachable but refuses the connection: the target has crashed, and all
// its flows are lost.
func TestRefusedCheckResetsFlows(t *testing.T) {
	b := newFixture(t, manyTargets(3)...)
	id := b.openFlow(1, notes)
	b.sendRequest(1, notes, id, 101, 1000)
	b.now += minRequestTimeout
	b.f.Tick(b.now)
	if len(b.f.TargetsToCheck(b.now)) != 1 {
		t.Fatal("the target is not checked")
	}
	result := b.f.Checked(b.now, Start{ID: id}, Gone)
	if len(result.Resets) != 1 || !result.Notify {
		t.Errorf("result %+v, want one reset and a notification", result)
	}
	if again := b.f.Checked(b.now, Start{ID: id}, Gone); len(again.Resets) != 0 || again.Notify {
		t.Errorf("second result %+v, want nothing new", again)
	}
}

// Targets are suspected by mistake, and no flow is left to show that they are alive. The
// suspicion must expire by itself, and a service whose targets are all suspected must stay
// available.
func TestSuspicionExpiresAndFailsOpen(t *testing.T) {
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

// A peer behind a network cut suspects a target that this balancer reaches. Open flows
// continue; only new ones avoid the target until it is checked.
func TestPeersSuspicionResetsNobody(t *testing.T) {
	b := newFixture(t, manyTargets(3)...)
	id := b.openFlow(1, streams)
	b.now += time.Second
	if !b.f.PeerSuspects(b.now, id) {
		t.Error("the suspicion is not new")
	}
	if b.state(id).eligible(b.now) {
		t.Error("new flows still go there")
	}
	b.want(b.sendRequest(1, streams, id, 101, 1000), Forwarded)
	if got := b.f.TargetsToCheck(b.now); len(got) != 1 {
		t.Fatalf("%d targets to check, want 1", len(got))
	}
	b.f.Checked(b.now+time.Millisecond, Start{ID: id}, Alive)
	if !b.state(id).eligible(b.now) {
		t.Error("the target is still avoided after an answered check")
	}
}

// A target's health check hangs while its flows are served, and one packet of a flow is lost.
// The target is alive, and none of its flows may be reset.
func TestHangingHealthCheck(t *testing.T) {
	b := newFixture(t, manyTargets(3)...)
	b.showAllAlive(0)
	id := b.openFlow(1, streams)
	b.sendRequest(1, streams, id, 101, 1000)
	b.now += 400 * time.Millisecond
	b.sendRequest(1, streams, id, 101, 1000) // the packet was lost
	for ack := uint32(1000); ack < 1400; ack += 100 {
		b.f.TargetsToCheck(b.now)
		b.now += 30 * time.Millisecond
		answered := packet(1, streams, ACK, id.Cookie())
		answered.Seq, answered.Ack = 401, ack+100
		b.handle(answered)
		b.now += 170 * time.Millisecond
		b.showAllAlive(id)
		if result := b.f.Checked(b.now, Start{ID: id}, Silent); len(result.Resets) > 0 || result.Notify {
			t.Fatalf("result %+v for a living target", result)
		}
	}
	if !b.state(id).eligible(b.now) {
		t.Error("the target is avoided")
	}
}

// A target with a hanging health check and no requests in flight must not be marked dead
// because of failed checks alone.
func TestUnansweredCheckAloneIsNoEvidence(t *testing.T) {
	b := newFixture(t, manyTargets(3)...)
	id := b.openFlow(1, streams)
	for range 5 {
		b.now += time.Second
		b.showAllAlive(id)
		b.f.PeerSuspects(b.now, id)
		b.f.TargetsToCheck(b.now)
		b.f.Checked(b.now, Start{ID: id}, Silent)
	}
	b.want(b.sendRequest(1, streams, id, 101, 1000), Forwarded)
}

// Ten of 40 targets crash, and their machines answer openings with resets that no balancer
// sees. The targets look idle, and a caller's three tries end there within 30 ms. Unanswered
// openings have to reveal them.
func TestCrashedTargetsDrawNoOpenings(t *testing.T) {
	r := newReplay(3, []int{6, 6, 6}, []int{14, 13, 13})
	for i, n := range []float64{14, 13, 13} {
		r.load(i, capacity(40)*0.3*n/40, 5*time.Second)
	}
	r.run(2 * time.Second)
	for i := range 10 {
		r.targets[i*4].crashed = true
	}
	r.run(7 * time.Second)
	t.Log(r)
	if r.failed > 10 {
		t.Errorf("%d requests failed in all tries", r.failed)
	}
}

// A target is forgotten while it is being checked. The number of running checks must not
// leak: at its maximum, no target would be checked any more.
func TestForgottenTargetEndsItsCheck(t *testing.T) {
	b := newFixture(t, manyTargets(2)...)
	for id := TargetID(1000); id < 1000+2*maxChecks; id++ {
		b.f.PutTarget(b.now, target1(id, "a"))
		b.f.RemoveTarget(b.now, id)
		b.sendRequest(uint16(id), streams, id, 101, 1000) // the flow that the target is checked for
		if len(b.f.TargetsToCheck(b.now)) != 1 {
			t.Fatalf("target %d is not checked", id)
		}
		b.now += 2 * departedRetention
		b.f.Tick(b.now)
		b.f.Checked(b.now, Start{ID: id}, Silent)
	}
}
