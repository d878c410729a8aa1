package direct

import (
	"testing"
	"time"
)

// Callers keep flows open and send about one request a second on each, which must not
// run twice: one that is sent on a flow of a dead target is lost, as its caller does not
// try again. Three of 14 targets go dark. Their idle flows have to end before the next
// requests are sent there.
func TestIdleFlowsOfDarkTargets(t *testing.T) {
	failed, asked := 0, 0
	for seed := range uint64(5) {
		r := newReplay(11+seed, []int{3, 2, 2}, []int{5, 5, 4})
		r.once = true
		for i, n := range []float64{5, 5, 4} {
			r.load(i, capacity(14)*0.4*n/14, 8*time.Second)
		}
		r.run(3 * time.Second)
		for _, x := range []int{0, 1, 6} {
			r.targets[x].dark = true
		}
		r.run(12 * time.Second)
		t.Log(r)
		failed += r.failed
		asked += r.asked
	}
	if failed > 120 {
		t.Errorf("%d of %d requests were lost", failed, asked)
	}
}
