package direct

import (
	"testing"

	"pgregory.net/rapid"
)

func run(m *model, t *rapid.T) {
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		m.step(t)
		m.invariants()
	}
}

// Views of targets and routes differ, flows move between balancers, targets come,
// leave, and their addresses are used again. No caller may notice but those whose
// target or route is gone.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3)
		m.fail = t.Fatalf
		run(m, t)
	})
}

// mostRuns bounds the search for a run that shows a broken variant.
const mostRuns = 30000

// Broken variants of a balancer: the model has to see what they do to callers.
func TestModelCatchesBrokenVariants(t *testing.T) {
	for _, c := range []struct {
		name string
		harm func(*model)
	}{
		{"takes its peers' findings for its own", func(m *model) { m.careless = true }},
		{"takes all flows of a restarted target for lost", func(m *model) { m.hasty = true }},
		{"takes all that an older copy of the store says", func(m *model) { m.gullible = true }},
	} {
		broken := 0
		random := rapid.Custom(func(t *rapid.T) int {
			m := newModel(3)
			c.harm(m)
			m.fail = func(string, ...any) { broken++ }
			run(m, t)
			return 0
		})
		runs := 0
		for broken == 0 && runs < mostRuns {
			random.Example(runs)
			runs++
		}
		if broken == 0 {
			t.Errorf("%d random runs of a balancer that %s kept every promise", runs, c.name)
		}
		t.Logf("run %d of a balancer that %s broke a promise", runs, c.name)
	}
}
