package direct

import (
	"testing"
	"time"
)

// The balancer's own link is choked while it loads a large catalogue: repeats
// and failed checks on many targets at once. None of their flows may be reset.
func TestChokedLinkResetsNobody(t *testing.T) {
	b := newFixture(t, manyTargets(6)...)
	flows := map[uint16]TargetID{}
	for port := uint16(1); port < 40; port++ {
		flows[port] = b.open(port, streams)
	}
	b.now += 200 * time.Millisecond
	for range 4 {
		for p, id := range flows {
			b.ask(p, streams, id, 101, 1000)
		}
		for _, x := range b.f.TargetsToCheck(b.now) {
			if v := b.f.Checked(b.now+150*time.Millisecond, x.Start(), Silent); len(v.Resets) > 0 {
				t.Fatalf("flows of target %d are reset", x.ID)
			}
		}
		b.now += 400 * time.Millisecond
	}
}

// Most targets of the data centre lose power at once. A check of one that lives
// shows that it is not this balancer's own link, and the waiting callers are reset
// after the next check that is not answered, not when the registrations lapse.
// With the link choked, that check is not answered either, and nobody is reset.
func TestManyDarkTargetsOrAChokedLink(t *testing.T) {
	for _, choked := range []bool{false, true} {
		b := newFixture(t, manyTargets(5)...)
		flows := map[uint16]TargetID{}
		for port := uint16(1); port < 40; port++ {
			flows[port] = b.open(port, streams)
		}
		b.now += 300 * time.Millisecond
		resets := 0
		for range 4 {
			for p, id := range flows {
				if id < 5 || choked {
					b.ask(p, streams, id, 101, 1000)
				}
			}
			if !choked {
				b.alive(5)
			}
			for checks := b.f.TargetsToCheck(b.now); len(checks) > 0; checks = b.f.TargetsToCheck(b.now) {
				resets += b.carryOut(checks, func(id TargetID) bool { return id >= 5 && !choked })
				b.now += confirmPause
			}
			b.now += 200 * time.Millisecond
		}
		if choked && resets > 0 {
			t.Errorf("%d flows were reset though the link is choked", resets)
		}
		if !choked && resets == 0 {
			t.Error("no flow of the dark targets was reset")
		}
	}
}

// checkTook is how long a check without an answer takes.
const checkTook = 200 * time.Millisecond

// carryOut ends checks, first those that are answered, and returns how many flows
// were reset.
func (b *fixture) carryOut(checks []Target, answers func(TargetID) bool) int {
	resets := 0
	for _, x := range checks {
		if answers(x.ID) {
			resets += len(b.f.Checked(b.now+time.Millisecond, x.Start(), Alive).Resets)
		}
	}
	b.now += checkTook
	for _, x := range checks {
		if !answers(x.ID) {
			resets += len(b.f.Checked(b.now, Start{ID: x.ID}, Silent).Resets)
		}
	}
	return resets
}

// Four of 14 targets lose power at once. Callers who wait for them, and those who
// come later on flows that are open there, have to be served elsewhere within a
// second or so.
func TestDarkTargetsAreLeft(t *testing.T) {
	r := newReplay(4, []int{3, 2, 2}, []int{5, 5, 4})
	for i, n := range []float64{5, 5, 4} {
		r.load(i, capacity(14)*0.45*n/14, 6*time.Second)
	}
	r.run(2 * time.Second)
	for _, i := range []int{0, 5, 6, 10} {
		r.targets[i].dark = true
	}
	r.run(3200 * time.Millisecond)
	before := r.late
	r.run(8 * time.Second)
	t.Log(r)
	if got := r.late - before; got > r.asked/25 {
		t.Errorf("%d requests late more than 1.2 s after the loss", got)
	}
	if r.failed > 5 {
		t.Errorf("%d requests failed", r.failed)
	}
}

// Four of a data centre's five targets lose power at once. Callers with flows
// there must not wait until the registrations lapse.
func TestDarkDataCentreIsLeft(t *testing.T) {
	r := newReplay(4, []int{3, 2, 2}, []int{5, 5, 4})
	r.perFlow = 4
	for i, n := range []float64{5, 5, 4} {
		r.load(i, capacity(14)*0.4*n/14, 6*time.Second)
	}
	r.run(2 * time.Second)
	for i := range 4 {
		r.targets[i].dark = true
	}
	r.run(8 * time.Second)
	t.Log(r)
	if got := r.share(r.inGoal); got < 0.975 {
		t.Errorf("%.3f in goal, want 0.975", got)
	}
}
