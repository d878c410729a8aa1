package direct

import (
	"testing"
	"time"
)

// Guards against taking targets for dead while this balancer's own link is congested, as just after its
// start: targets that it has only learnt of have shown no life.
func TestLearntTargetsHaveShownNoLife(t *testing.T) {
	b := newFixture(t, manyTargets(9)...)
	b.sendRequest(1, streams, 1, 101, 1000)
	for range confirmChecks {
		b.now += 150 * time.Millisecond
		b.sendRequest(1, streams, 1, 101, 1000)
		b.f.requestCheck(b.state(1))
		b.f.TargetsToCheck(b.now)
		if result := b.f.Checked(b.now, Start{ID: 1}, Silent); len(result.Resets) != 0 || b.state(1).dead {
			t.Errorf("%d flows are reset %v after the start, and nothing has shown that the link works", len(result.Resets), b.now-time.Second)
		}
	}
}
