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

// A balancer that took its peers' findings for its own would reset living flows:
// the model has to see that.
func TestModelCatchesCarelessPeers(t *testing.T) {
	broken := 0
	random := rapid.Custom(func(t *rapid.T) int {
		m := newModel(3)
		m.careless = true
		m.fail = func(string, ...any) { broken++ }
		run(m, t)
		return 0
	})
	for seed := range 200 {
		random.Example(seed)
	}
	if broken == 0 {
		t.Error("200 random runs of the broken variant kept every promise")
	}
	t.Logf("the broken variant broke a promise %d times", broken)
}
