package direct

import (
	"strings"
	"testing"
)

// An operator asks how openings would be handled. The answers must name the decisions that
// follow, and the questions must change none of them: of two balancers with the same random
// numbers, the one that is asked decides like the other.
func TestExplainNamesTheNextDecision(t *testing.T) {
	asked, other := newFixture(t, manyTargets(6)...), newFixture(t, manyTargets(6)...)
	for port := uint16(1); port <= 50; port++ {
		s := packet(port, streams, SYN, 0)
		x := asked.f.Explain(asked.now, s.Flow())
		want := OpenedNear.String() + " " + other.openFlow(port, streams).String()
		got := asked.openFlow(port, streams)
		if x.Outcome != want || !strings.HasSuffix(want, " "+got.String()) {
			t.Fatalf("flow %d: explained as %q, opened at %v, without the question %q", port, x.Outcome, got, want)
		}
	}
}

// A cold target takes no more openings, and no other target is left. An operator must be told
// of the limit, as callers are refused for it, and not that there is no target.
func TestExplainNamesTheColdLimit(t *testing.T) {
	b := coldFixture(t, coldTarget(1, "a"))
	port := uint16(1000)
	s := packet(port, streams, SYN, 0)
	for b.handle(s).Reason != ResetCold {
		port++
		s = packet(port, streams, SYN, 0)
	}
	if x := b.f.Explain(b.now, s.Flow()); x.Outcome != ResetCold.String() {
		t.Errorf("explained as %q, refused as %v", x.Outcome, ResetCold)
	}
}
