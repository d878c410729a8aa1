package direct

import (
	"math"
	"testing"
	"time"
)

// fleet is the size of a data centre in a test.
type fleet struct{ balancers, targets int }

// fleets are data centres with many, some and few requests per balancer.
var fleets = []fleet{{3, 40}, {29, 40}, {200, 120}}

// length returns how long bursts are counted: as long as those measured, and shorter for fleets
// whose replay takes long.
func (c fleet) length() time.Duration {
	if c.balancers > 100 {
		return 3 * time.Second
	}
	return 6 * time.Second
}

// checkServed checks what the targets of docs/hard-load.md ask of a load that fits into the
// slots: worth at least 0.95, at most 3,000 of 108,907 requests refused by full targets, at most
// 1.1 connections a request, and nothing rejected beside a free slot.
func checkServed(t *testing.T, r *replay) {
	t.Helper()
	t.Log(r.figures())
	all := r.market.all()
	if got := r.market.worthShare(); got < 0.95 {
		t.Errorf("worth %.3f, want 0.95", got)
	}
	if got := all.share(all.refused); got > 3000.0/108907 {
		t.Errorf("%.4f of the requests refused by full targets, want %.4f at most", got, 3000.0/108907)
	}
	checkConnections(t, r)
}

// checkConnections checks the connections per request and that nothing was rejected beside a
// free slot.
func checkConnections(t *testing.T, r *replay) {
	t.Helper()
	all := r.market.all()
	if got := all.share(all.connections); got > 1.1 {
		t.Errorf("%.3f connections per request, want 1.1 at most", got)
	}
	t.Run("no rejection beside a free slot", func(t *testing.T) {
		if r.rejectedBesideRoom > 0 {
			t.Errorf("%d openings rejected while a target had a free slot for %v", r.rejectedBesideRoom, simRoom)
		}
	})
}

// checkChecks checks that at most 3,000 checks are started for 167,654 requests.
func checkChecks(t *testing.T, r *replay) {
	t.Helper()
	if got := float64(r.checks) / float64(r.market.all().calls); got > 3000.0/167654 {
		t.Errorf("%.4f checks per request, want %.4f at most", got, 3000.0/167654)
	}
}

// Targets run at 0.6, 1 and 1.6 of the normal speed. Guards against balancers that load slow
// and fast targets alike, so that the slow ones refuse requests while the fast ones idle.
func TestUnequalTargets(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.95} {
		for _, c := range fleets {
			t.Run(name(c, load), func(t *testing.T) {
				r := newMarket(1, []int{c.balancers}, []int{c.targets}, true)
				r.burst(c.length(), constant(load))
				checkServed(t, r)
			})
		}
	}
}

// Of the requests of equal targets, 3 % take seven times as long. Guards against balancers that
// take long requests for a sign of a dead or failing target, check it and avoid it.
func TestLongTails(t *testing.T) {
	for _, c := range fleets[:2] {
		t.Run(name(c, 0.8), func(t *testing.T) {
			d := &burstRun{replay: newMarket(2, []int{c.balancers}, []int{c.targets}, false)}
			d.every(20*time.Millisecond, d.recordDead)
			d.burst(6*time.Second, constant(0.8))
			checkServed(t, d.replay)
			checkChecks(t, d.replay)
			if n := len(d.falselyDead); n > 0 {
				t.Errorf("%d living targets were found dead", n)
			}
		})
	}
}

// Demand swings by half in waves of 13 s, at different times in each data centre, up to 0.95 of
// the slots. Guards against estimates and limits that follow demand too slowly.
func TestWaves(t *testing.T) {
	const mean = 0.95 / 1.5
	for _, c := range []fleet{{3, 40}, {29, 40}} {
		t.Run(name(c, mean), func(t *testing.T) {
			r := newMarket(3, []int{c.balancers, c.balancers, c.balancers}, []int{c.targets, c.targets, c.targets}, true)
			var waves []func(time.Duration) float64
			for centre := range 3 {
				waves = append(waves, func(now time.Duration) float64 {
					return mean * (1 + 0.5*math.Sin(2*math.Pi*(now.Seconds()/13+float64(centre)/3)))
				})
			}
			r.burst(13*time.Second, waves...)
			checkServed(t, r)
		})
	}
}
