package admission

import "testing"

// Guards against requests on flows to another data centre that take its places while openings
// wait for some here.
func TestOpenFlowsOfFarPoolsWhileHomeIsFull(t *testing.T) {
	g := gateWith(1, 4)
	arrive(t, g, 0, opening(1, 1, ms), Admit)
	arrive(t, g, 0, opening(2, 1, ms), Wait)
	arrive(t, g, 0, onFlow(3, 1, ms, 1), Admit)
	arrive(t, g, 0, onFlow(4, 1, ms, 1), Wait)
	now := homeFullFor + ms
	g.Cancel(2)
	g.Done(now, 0, ms)
	if got := drain(g, now); len(got) != 1 || got[0].Key != 4 {
		t.Errorf("released %v, want 4", got)
	}
}

// Guards against urgent openings that wait while less urgent requests are served in another
// data centre, and against reserved places that others take.
func TestUrgentOpeningsHaveFarPlaces(t *testing.T) {
	g := gateWith(1, 4)
	arrive(t, g, 0, opening(1, 1, ms), Admit)
	arrive(t, g, 0, opening(2, 1, ms), Wait)
	arrive(t, g, 0, opening(3, 2, ms), Wait)
	got := drain(g, 0)
	if len(got) != 1 || got[0].Key != 2 || got[0].Pool != 1 {
		t.Errorf("released %v, want 2 in pool 1", got)
	}
	g.Done(leastUrgentFor+ms, 1, ms)
	arrive(t, g, leastUrgentFor+ms, opening(4, 1, ms), Wait)
	if got := drain(g, leastUrgentFor+ms); len(got) != 0 {
		t.Errorf("released %v without a less urgent request lately", got)
	}
}
