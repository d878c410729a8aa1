package direct

import (
	"testing"
	"time"
)

// The balancer's own link is congested while it loads a large catalogue: retransmissions and
// failed checks occur on many targets at once. None of their flows may be reset.
func TestChokedLinkResetsNobody(t *testing.T) {
	b := newFixture(t, manyTargets(6)...)
	flows := map[uint16]TargetID{}
	for port := uint16(1); port < 40; port++ {
		flows[port] = b.openFlow(port, streams)
	}
	b.now += 200 * time.Millisecond
	for range 4 {
		for p, id := range flows {
			b.sendRequest(p, streams, id, 101, 1000)
		}
		for _, x := range b.f.TargetsToCheck(b.now) {
			if result := b.f.Checked(b.now+150*time.Millisecond, x.Start(), Silent); len(result.Resets) > 0 {
				t.Fatalf("flows of target %d are reset", x.ID)
			}
		}
		b.now += 400 * time.Millisecond
	}
}

// Most targets of the data centre lose power at once. An answered check of a living target
// rules out this balancer's own link as the cause, and the waiting callers are reset after the
// next failed check rather than when the registrations expire. With a congested link, that
// check fails as well, and no flow is reset.
func TestManyDarkTargetsOrAChokedLink(t *testing.T) {
	for _, congested := range []bool{false, true} {
		b := newFixture(t, manyTargets(5)...)
		flows := map[uint16]TargetID{}
		for port := uint16(1); port < 40; port++ {
			flows[port] = b.openFlow(port, streams)
		}
		b.now += 300 * time.Millisecond
		resets := 0
		for range 4 {
			for p, id := range flows {
				if id < 5 || congested {
					b.sendRequest(p, streams, id, 101, 1000)
				}
			}
			if !congested {
				b.showAlive(5)
			}
			for checks := b.f.TargetsToCheck(b.now); len(checks) > 0; checks = b.f.TargetsToCheck(b.now) {
				resets += b.finishChecks(checks, func(id TargetID) bool { return id >= 5 && !congested })
				b.now += confirmPause
			}
			b.now += 200 * time.Millisecond
		}
		if congested && resets > 0 {
			t.Errorf("%d flows were reset though the link is congested", resets)
		}
		if !congested && resets == 0 {
			t.Error("no flow of the unreachable targets was reset")
		}
	}
}

// checkDuration is how long a check without an answer takes.
const checkDuration = 200 * time.Millisecond

// finishChecks finishes checks, those with an answer first, and returns the number of flows
// reset.
func (b *fixture) finishChecks(checks []Target, answers func(TargetID) bool) int {
	resets := 0
	for _, x := range checks {
		if answers(x.ID) {
			resets += len(b.f.Checked(b.now+time.Millisecond, x.Start(), Alive).Resets)
		}
	}
	b.now += checkDuration
	for _, x := range checks {
		if !answers(x.ID) {
			resets += len(b.f.Checked(b.now, Start{ID: x.ID}, Silent).Resets)
		}
	}
	return resets
}

// Four of 14 targets lose power at once. Callers that wait for them, and those with open
// flows there, have to be served elsewhere within about a second.
func TestDarkTargetsAreLeft(t *testing.T) {
	r := newReplay(4, []int{3, 2, 2}, []int{5, 5, 4})
	for i, n := range []float64{5, 5, 4} {
		r.load(i, capacity(14)*0.45*n/14, 6*time.Second)
	}
	r.run(2 * time.Second)
	for _, i := range []int{0, 5, 6, 10} {
		r.targets[i].unreachable = true
	}
	r.run(3200 * time.Millisecond)
	lateBefore := r.late
	r.run(8 * time.Second)
	t.Log(r)
	if got := r.late - lateBefore; got > r.requests/25 {
		t.Errorf("%d requests late more than 1.2 s after the loss", got)
	}
	if r.failed > 5 {
		t.Errorf("%d requests failed", r.failed)
	}
}

// Four of a data centre's five targets lose power at once. Callers with flows there must not
// wait until the registrations expire.
func TestUnreachableDataCentreIsLeft(t *testing.T) {
	r := newReplay(4, []int{3, 2, 2}, []int{5, 5, 4})
	r.perFlow = 4
	for i, n := range []float64{5, 5, 4} {
		r.load(i, capacity(14)*0.4*n/14, 6*time.Second)
	}
	r.run(2 * time.Second)
	for i := range 4 {
		r.targets[i].unreachable = true
	}
	r.run(8 * time.Second)
	t.Log(r)
	if got := r.share(r.inGoal); got < 0.975 {
		t.Errorf("%.3f in goal, want 0.975", got)
	}
}
