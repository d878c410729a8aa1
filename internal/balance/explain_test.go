package balance

import (
	"testing"
	"time"
)

// An operator asks for the target of a new flow while loads change. The question must not
// change the average load, by which the next choices are made.
func TestExplainChangesNoChoice(t *testing.T) {
	p := NewPool()
	var targets []Target
	for id := uint32(1); id <= 3; id++ {
		x := Target{ID: id, Seed: uint64(id), Eligible: true}
		x.Limit[Connection] = 100
		targets = append(targets, x)
	}
	p.Update(0, 1, targets)
	p.Choose(time.Second, Connection, 7, nil)
	for range 30 {
		p.Acquire(1, Connection)
	}
	before := p.avg
	x := p.Explain(time.Second, Connection, 7)
	if p.avg != before {
		t.Errorf("the average load was %v, and is %v after the question", before, p.avg)
	}
	if id, _ := p.Choose(time.Second, Connection, 7, nil); id != x.Choice {
		t.Errorf("explained as %d, chosen %d", x.Choice, id)
	}
}
