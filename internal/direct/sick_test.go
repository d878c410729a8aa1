package direct

import (
	"testing"
	"time"
)

// sickness is how a target fails requests while its health check is good.
type sickness uint8

const (
	failsAtOnce sickness = iota // a short answer at once
	hangs                       // no answer; the caller gives up at its deadline
	breaks                      // the flow ends without an answer
)

// Four of 14 targets fail four tenths of their requests while their health check
// is good, for 8 s: with errors, without any answer, or by ending the flow. All
// that balancers see are the callers' acknowledgements. New flows have to go
// elsewhere; flows that are open there fail about once each, as they cannot move.
func TestFailingTargetsAreLeft(t *testing.T) {
	for _, c := range []struct {
		name string
		sick sickness
		most int // of about 3,300 requests
	}{{"errors", failsAtOnce, 170}, {"hangs", hangs, 80}, {"breaks", breaks, 90}} {
		r := sickDay(func(x *simTarget) { x.sick, x.share = c.sick, 0.4 })
		t.Logf("%s: %d bad; %v", c.name, r.bad(), r)
		if bad := r.bad(); bad > c.most {
			t.Errorf("%s: %d of %d requests met a failure, want %d at most", c.name, bad, r.asked, c.most)
		}
	}
}

// Four of 14 targets become five or eight times slower while their health check is
// good. New flows have to go elsewhere.
func TestSlowTargetsAreLeft(t *testing.T) {
	for _, c := range []struct{ slow, inGoal float64 }{{5, 0.94}, {8, 0.93}} {
		r := sickDay(func(x *simTarget) { x.slow = c.slow })
		t.Logf("%.0f times slower: %v", c.slow, r)
		if got := r.share(r.inGoal); got < c.inGoal {
			t.Errorf("%.0f times slower: %.3f in goal, want %.2f", c.slow, got, c.inGoal)
		}
	}
}

// All targets fail alike, as after a bad release. There is nothing better to be
// had: no data centre's flows may move to another for it, no target may be left
// out.
func TestAllTargetsFailAlike(t *testing.T) {
	r := newReplay(7, []int{3, 2, 2}, []int{5, 5, 4})
	for i, n := range []float64{5, 5, 4} {
		r.load(i, capacity(14)*0.4*n/14, 8*time.Second)
	}
	for _, x := range r.targets {
		x.sick, x.share = failsAtOnce, 0.4
	}
	r.run(10 * time.Second)
	t.Log(r)
	if got := float64(r.far) / float64(r.opened); got > 0.1 {
		t.Errorf("%.3f of the flows crossed data centres", got)
	}
	least := r.asked
	for _, x := range r.targets {
		least = min(least, x.served)
	}
	if least < r.asked/14/3 {
		t.Errorf("a target served %d of %d requests", least, r.asked)
	}
}

// sickDay loads 14 targets at 0.4 of their slots for 10 s. After 2 s four of them
// fall sick.
func sickDay(fall func(*simTarget)) *replay {
	r := newReplay(6, []int{3, 2, 2}, []int{5, 5, 4})
	r.perFlow = 4 // as at Kavango
	for i, n := range []float64{5, 5, 4} {
		r.load(i, capacity(14)*0.4*n/14, 10*time.Second)
	}
	r.run(2 * time.Second)
	for _, i := range []int{0, 1, 5, 10} {
		fall(r.targets[i])
	}
	r.run(13 * time.Second)
	return r
}

// bad returns the number of requests that targets failed.
func (r *replay) bad() int {
	n := 0
	for _, x := range r.targets {
		n += x.bad
	}
	return n
}
