package direct

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func name(c fleet, load float64) string {
	return fmt.Sprintf("%d balancers, load %.2f", c.balancers, load)
}

// Demand is 1.7 times what the slots can do, of which dues alone need 0.45. Guards against
// urgent requests that are lost among less urgent ones, and against a fleet that makes its own
// overload worse by connections, checks and repeated requests.
func TestTwoPrioritiesBeyondTheSlots(t *testing.T) {
	for _, c := range fleets {
		t.Run(name(c, 1.7), func(t *testing.T) {
			length := c.length()
			r := newMarket(4, []int{c.balancers}, []int{c.targets}, true)
			r.burst(length, constant(1.7))
			t.Log(r.figures())
			dues := r.market.routes[1].total()
			if got := dues.share(dues.inGoal); got < 0.95 {
				t.Errorf("%.3f of the dues in goal, want 0.95", got)
			}
			if got, bound := r.market.worthShare(), r.bound(length); got < 0.9*bound {
				t.Errorf("worth %.3f, want 0.9 of the bound %.3f", got, bound)
			}
			if all := r.market.all(); all.share(all.lost) > 0.384/5 {
				t.Errorf("%.3f of the requests lost, want a fifth of the 0.384 without admission at most", all.share(all.lost))
			}
			checkConnections(t, r)
			checkChecks(t, r)
		})
	}
}

// Only the pitch checks rise, to twice the slots together with the dues, which need 0.05 of
// them. Guards against dues that pay for the demand of a less urgent route.
func TestPitchChecksBeyondTheSlots(t *testing.T) {
	for _, c := range fleets[:2] {
		t.Run(name(c, 2), func(t *testing.T) {
			r := newMarket(5, []int{c.balancers}, []int{c.targets}, true)
			r.market.duesShare = 0.02
			r.burst(6*time.Second, constant(2))
			t.Log(r.figures())
			if dues := r.market.routes[1].total(); dues.share(dues.inGoal) < 0.98 {
				t.Errorf("%.3f of the dues in goal, want 0.98", dues.share(dues.inGoal))
			}
			checkConnections(t, r)
		})
	}
}

// One data centre has 2.3 times the demand of its slots while the others use 0.2 of theirs.
// Guards against callers that are refused beside free slots elsewhere, and against callers of
// the other data centres who pay for it.
func TestOneDataCentreBeyondItsSlots(t *testing.T) {
	for _, c := range []fleet{{3, 40}, {29, 40}} {
		t.Run(name(c, 2.3), func(t *testing.T) {
			r := newMarket(6, []int{c.balancers, c.balancers, c.balancers}, []int{c.targets, c.targets, c.targets}, true)
			r.burst(6*time.Second, constant(2.3), constant(0.2), constant(0.2))
			t.Log(r.figures())
			for centre := range 3 {
				var n callCounts
				for _, x := range r.market.routes {
					n = n.plus(x.counts[centre])
				}
				t.Logf("data centre %d: %.3f in goal of %d", centre, n.share(n.inGoal), n.calls)
				if got := n.share(n.inGoal); got < 0.97 {
					t.Errorf("data centre %d: %.3f in goal, want 0.97", centre, got)
				}
			}
			checkConnections(t, r)
		})
	}
}

// Guards against goodput that collapses when demand rises from 1 to 4 times what the slots can
// do: the worth of the answers in a second must not fall below 0.9 of that at any lower demand.
func TestGoodputBeyondTheSlots(t *testing.T) {
	for _, c := range fleets[:2] {
		best := 0.0
		for _, load := range []float64{1, 1.5, 2, 3, 4} {
			const length = 4 * time.Second
			r := newMarket(7, []int{c.balancers}, []int{c.targets}, true)
			r.burst(length, constant(load))
			earned, _ := r.market.earned()
			perSecond := earned / length.Seconds()
			t.Logf("%s: worth a second %.0f; %s", name(c, load), perSecond, r.figures())
			if perSecond < 0.9*best {
				t.Errorf("%s: worth a second %.0f, %.0f at a lower demand", name(c, load), perSecond, best)
			}
			best = max(best, perSecond)
		}
	}
}

// figures summarises the counted calls.
func (r *replay) figures() string {
	var b strings.Builder
	for _, x := range r.market.routes {
		n := x.total()
		fmt.Fprintf(&b, "%s: %d, in goal %.3f, late %d, failed %d, lost %d, refused %d, rejected %d; ", x.Name, n.calls, n.share(n.inGoal), n.late, n.failed, n.lost, n.refused, n.rejected)
	}
	all := r.market.all()
	fmt.Fprintf(&b, "worth %.3f, connections/request %.3f, checks %d, rejected beside room %d, busiest/mean %.2f",
		r.market.worthShare(), all.share(all.connections), r.checks, r.rejectedBesideRoom, r.sum.busiest/r.sum.mean)
	return b.String()
}
