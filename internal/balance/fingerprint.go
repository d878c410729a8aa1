package balance

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// Fingerprint writes the state that later choices depend on, in a fixed order;
// the model checker uses it to compare states. Targets are listed by turn,
// since only the order of turns matters.
func (p *Pool) Fingerprint(w io.Writer) {
	byTurn := slices.Clone(p.list)
	slices.SortStableFunc(byTurn, func(a, b *state) int { return cmp.Compare(a.turn, b.turn) })
	for _, t := range byTurn {
		_, _ = fmt.Fprintf(w, "t%d %v %v %v %d;", t.ID, t.Eligible, t.used, t.shedUntil, t.unanswered)
	}
	for _, l := range p.delayed {
		_, _ = fmt.Fprintf(w, "l%d %d %v;", l.id, l.unit, l.until)
	}
}
