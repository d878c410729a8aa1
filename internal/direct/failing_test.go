package direct

import (
	"testing"
	"time"
)

// failureMode is how a target fails requests while its health check is good.
type failureMode uint8

const (
	failsWithError failureMode = iota // answers at once with a short error
	hangs                             // sends no answer; the caller ends the flow at its deadline
	breaks                            // ends the flow without an answer
)

// Four of 14 targets fail four tenths of their requests for 8 s while their health check is
// good: with errors, without an answer, or by ending the flow. Balancers see only the
// callers' acknowledgements. New flows have to go elsewhere. Flows already open there fail
// about once each, as they cannot move.
func TestFailingTargetsAreLeft(t *testing.T) {
	for _, c := range []struct {
		name    string
		failure failureMode
		most    int // maximum number of failed requests, of about 3,300
	}{{"errors", failsWithError, 170}, {"hangs", hangs, 80}, {"breaks", breaks, 90}} {
		r := runWithFailing(func(x *simTarget) { x.failure, x.failureShare = c.failure, 0.4 })
		t.Logf("%s: %d failed; %v", c.name, r.failedRequests(), r)
		if bad := r.failedRequests(); bad > c.most {
			t.Errorf("%s: %d of %d requests met a failure, want %d at most", c.name, bad, r.requests, c.most)
		}
	}
}

// Four of 14 targets become five or eight times slower while their health check is good. New
// flows have to go elsewhere.
func TestSlowTargetsAreLeft(t *testing.T) {
	for _, c := range []struct{ slow, inGoal float64 }{{5, 0.94}, {8, 0.93}} {
		r := runWithFailing(func(x *simTarget) { x.slow = c.slow })
		t.Logf("%.0f times slower: %v", c.slow, r)
		if got := r.share(r.inGoal); got < c.inGoal {
			t.Errorf("%.0f times slower: %.3f in goal, want %.2f", c.slow, got, c.inGoal)
		}
	}
}

// All targets fail alike, as after a faulty release. No flows may move to another data centre
// because of it, and no target may be left out.
func TestAllTargetsFailAlike(t *testing.T) {
	r := newReplay(7, []int{3, 2, 2}, []int{5, 5, 4})
	for i, n := range []float64{5, 5, 4} {
		r.load(i, capacity(14)*0.4*n/14, 8*time.Second)
	}
	for _, x := range r.targets {
		x.failure, x.failureShare = failsWithError, 0.4
	}
	r.run(10 * time.Second)
	t.Log(r)
	if got := float64(r.far) / float64(r.opened); got > 0.1 {
		t.Errorf("%.3f of the flows crossed data centres", got)
	}
	least := r.requests
	for _, x := range r.targets {
		least = min(least, x.served)
	}
	if least < r.requests/14/3 {
		t.Errorf("a target served %d of %d requests", least, r.requests)
	}
}

// runWithFailing loads 14 targets with 0.4 of their slots' capacity for 10 s. After 2 s it
// calls fail on four of them.
func runWithFailing(fail func(*simTarget)) *replay {
	r := newReplay(6, []int{3, 2, 2}, []int{5, 5, 4})
	r.perFlow = 4 // mean number of requests on a long flow
	for i, n := range []float64{5, 5, 4} {
		r.load(i, capacity(14)*0.4*n/14, 10*time.Second)
	}
	r.run(2 * time.Second)
	for _, i := range []int{0, 1, 5, 10} {
		fail(r.targets[i])
	}
	r.run(13 * time.Second)
	return r
}

// failedRequests returns the number of requests that targets failed.
func (r *replay) failedRequests() int {
	n := 0
	for _, x := range r.targets {
		n += x.failed
	}
	return n
}
