package stepback

import (
	"testing"
	"time"
)

// Guards against callers that stay with the balancers of an evacuated data centre, and
// against balancers that stay away after it was taken back.
func TestEvacuated(t *testing.T) {
	s := newSim(t)
	s.evacuate("a")
	s.run(2 * time.Second)
	s.want("evacuated for 2 s", None)
	s.step()
	s.want("evacuated for longer", Evacuated)
	s.run(time.Minute)
	s.want("a minute later", Evacuated)
	s.takeBack("a")
	s.step()
	s.want("taken back", None)
	if s.changes != 2 || len(s.checks) != 0 {
		t.Errorf("%d changes and %d checks, want 2 and none", s.changes, len(s.checks))
	}
}

// Guards against a balancer of an evacuated data centre that comes back, or takes long to
// step back, because the data centre is cut off from all others.
func TestEvacuatedAndCutOff(t *testing.T) {
	for _, cutAfter := range []time.Duration{0, time.Second, 11 * time.Second} {
		s := newSim(t)
		s.evacuate("a")
		s.run(cutAfter)
		s.fail("web", "notes")
		s.until(Evacuated, 2100*time.Millisecond)
		s.run(10 * time.Second)
		s.want("cut off", Evacuated)
		s.takeBack("a")
		s.recover()
		s.step()
		s.want("taken back", None)
		s.run(5 * time.Second)
		s.want("later", None)
	}
}

// Guards against a data centre that stays away because checks are answered or not while it is
// evacuated: the evacuation decides.
func TestEvacuatedWhileNoTargetAnswers(t *testing.T) {
	s := newSim(t)
	s.fail("web", "notes")
	s.until(NoTarget, time.Second)
	s.evacuate("a")
	s.heard = false // the operator has cut the power of the others
	s.run(2100 * time.Millisecond)
	s.want("evacuated", Evacuated)
	s.recover()
	s.run(5 * time.Second)
	s.want("targets elsewhere answer", Evacuated)
	s.takeBack("a")
	s.step()
	s.want("taken back", None)
}

// Guards against an outage of everything because an operator has evacuated all data centres,
// at once or one after the other.
func TestAllEvacuated(t *testing.T) {
	s := newSim(t)
	for _, dc := range []string{"a", "b", "c"} {
		s.evacuate(dc)
	}
	s.fail("web", "notes")
	s.run(10 * time.Second)
	s.want("all at once", None)
	s.takeBack("c")
	s.step()
	s.want("one is taken back", Evacuated)
	s.evacuate("c")
	s.step()
	s.want("and evacuated again", None)
}

// Guards against a balancer that sends callers of an evacuated data centre to one without
// balancers, or without targets of one of the services.
func TestEvacuatedWithoutSubstitute(t *testing.T) {
	s := newSim(t)
	s.evacuate("a")
	s.centre("b").Balancers = 0
	s.centre("c").Services = []string{"web"}
	s.run(5 * time.Second)
	s.want("c lacks a service", None)
	s.centre("c").Services = []string{"notes", "web"}
	s.step()
	s.want("c has it", Evacuated)
	s.centre("c").Services = nil
	s.step()
	s.want("c has no targets any more", None)
}

// Guards against a lasting split of a data centre whose balancers learn of an evacuation at
// different times, or know different data centres.
func TestViewsDiffer(t *testing.T) {
	early, late, unaware := newSim(t), newSim(t), newSim(t)
	unaware.view.DataCenters = unaware.view.DataCenters[:1]
	all := []*sim{early, late, unaware}
	run := func(d time.Duration) {
		for _, s := range all {
			s.run(d)
		}
	}
	early.evacuate("a")
	unaware.evacuate("a")
	run(1500 * time.Millisecond)
	late.evacuate("a")
	run(time.Second)
	early.want("learnt first", Evacuated)
	late.want("learnt 1.5 s later", None)
	unaware.want("knows no other data centre", None)
	run(1500 * time.Millisecond)
	late.want("after 2 s", Evacuated)
	unaware.view.DataCenters = append(unaware.view.DataCenters, DataCenter{Name: "b", Balancers: 1, Services: []string{"notes", "web"}})
	run(tick)
	unaware.want("has learnt of another data centre", Evacuated)
}
