package direct

import (
	"testing"

	"pgregory.net/rapid"
)

// run applies random events to a model and checks the invariants after each.
func run(m *model, t *rapid.T) {
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		m.step(t)
		m.invariants()
	}
}

// With differing views of targets and routes, flows that move between balancers, and targets
// that come, leave and reuse addresses, only flows whose target or route is gone may break.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3)
		m.fail = t.Fatalf
		run(m, t)
	})
}

// maxRuns limits the search for a run that exposes a defect.
const maxRuns = 30000

// The model has to detect the effects of known defects on callers.
func TestModelCatchesBrokenVariants(t *testing.T) {
	for _, c := range []struct {
		name  string
		apply func(*model)
	}{
		{"treats its peers' findings as its own", func(m *model) { m.trustsPeerFindings = true }},
		{"treats all flows of a restarted target as lost", func(m *model) { m.resetsAllOnRestart = true }},
		{"accepts all registrations of an older copy of the store", func(m *model) { m.trustsOldCopy = true }},
	} {
		broken := 0
		random := rapid.Custom(func(t *rapid.T) int {
			m := newModel(3)
			c.apply(m)
			m.fail = func(string, ...any) { broken++ }
			run(m, t)
			return 0
		})
		runs := 0
		for broken == 0 && runs < maxRuns {
			random.Example(runs)
			runs++
		}
		if broken == 0 {
			t.Errorf("%d random runs of a balancer that %s violated no invariant", runs, c.name)
		}
		t.Logf("run %d of a balancer that %s violated an invariant", runs, c.name)
	}
}
