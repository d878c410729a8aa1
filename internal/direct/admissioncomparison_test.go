package direct

import (
	"fmt"
	"math"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// wayFigures are the results of a way of admission: a second, seconds, or a share.
type wayFigures struct{ dues, pitch, rejected, shed, reaction, oscillation float64 }

func (w *wayFigures) worth() float64 { return w.dues + w.pitch }

// measureBurst adds the figures of a burst, divided by the number of seeds.
func (w *wayFigures) measureBurst(r *replay, length time.Duration, load float64, seeds float64) {
	var before, all callCounts // before are the dues
	var n, sum, squares float64
	shed, reaction := 0, time.Duration(0)
	r.every(100*time.Millisecond, func() {
		at := r.now - simQuiet
		if at <= 0 || at > length {
			shed = r.refused
			return
		}
		dues, now := r.market.routes[1].total(), r.market.all()
		good, ended := dues.inGoal-before.inGoal, dues.inGoal+dues.late+dues.failed-before.inGoal-before.late-before.failed
		if float64(good) < 0.9*float64(ended) {
			reaction = at
		}
		if answers := float64(now.inGoal + now.late - all.inGoal - all.late); at > time.Second {
			n, sum, squares = n+1, sum+answers, squares+answers*answers
		}
		if at == length {
			w.shed += float64(r.refused-shed) / length.Seconds() / seeds
		}
		before, all = dues, now
	})
	r.burst(length, constant(load))
	weight := 1 / length.Seconds() / seeds
	earned := func(x *marketRoute) float64 {
		return x.worth*float64(x.total().inGoal) + x.late*float64(x.total().late)
	}
	w.pitch += earned(r.market.routes[0]) * weight
	w.dues += earned(r.market.routes[1]) * weight
	w.rejected += float64(r.market.all().rejected) * weight
	w.reaction += reaction.Seconds() / seeds
	w.oscillation += math.Sqrt(squares/n-sum*sum/n/n) / (sum / n) / seeds
}

// ways are those compared, the product's last. The choice by speed acts only with the gate;
// "gate alone" is without it, as the other ways are.
var ways = []struct {
	name    string
	without MechanismSet
	filter  func(f *filterFleet, balancers int) way
}{
	{"threshold", 1<<Admission | 1<<SpeedPlacement, func(f *filterFleet, _ int) way { return &threshold{fleet: f} }},
	{"credits", 1<<Admission | 1<<SpeedPlacement, func(f *filterFleet, n int) way { return &credits{fleet: f, share: 1 / float64(n), rate: startRate} }},
	{"gate alone", 1 << SpeedPlacement, nil},
	{"gate", 0, nil},
}

// Guards against a gate that serves less than simpler or published ways of admission do under
// the same load. Calls are the same in all ways; the times of repeated ones differ.
func TestAdmissionComparison(t *testing.T) {
	loads := []float64{1.7, 3}
	results := make([]wayFigures, len(fleets)*len(loads)*len(ways))
	var group errgroup.Group
	group.SetLimit(4)
	for i := range results {
		c, load, way := fleets[i/len(ways)/len(loads)], loads[i/len(ways)%len(loads)], ways[i%len(ways)]
		group.Go(func() error {
			length, seeds := 5*time.Second, []uint64{4, 11}
			if c.balancers > 100 {
				length, seeds = 2*time.Second, seeds[:1]
			}
			for _, seed := range seeds {
				r := newMarketWithout(seed, []int{c.balancers}, []int{c.targets}, true, way.without)
				if way.filter != nil {
					r.useFilters(way.filter)
				}
				results[i].measureBurst(r, length, load, float64(len(seeds)))
			}
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	table := fmt.Sprintf("\n%9s %4s  %-10s %6s %6s %6s %9s %6s %8s %11s\n", "balancers", "load", "way", "worth", "dues", "pitch", "rejected", "shed", "reaction", "oscillation")
	best := 0.0
	for i, w := range results {
		c, load, way := fleets[i/len(ways)/len(loads)], loads[i/len(ways)%len(loads)], ways[i%len(ways)]
		table += fmt.Sprintf("%9d %4.1f  %-10s %6.0f %6.0f %6.0f %9.0f %6.0f %8.2f %11.3f\n", c.balancers, load, way.name, w.worth(), w.dues, w.pitch, w.rejected, w.shed, w.reaction, w.oscillation)
		if i%len(ways) < len(ways)-1 {
			best = max(best, w.worth())
			continue
		}
		if w.worth() < 0.97*best {
			t.Errorf("%s: the gate's worth a second %.0f, %.0f another way", name(c, load), w.worth(), best)
		}
		best = 0
	}
	t.Log(table)
}
