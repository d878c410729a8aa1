package stepback

import (
	"slices"
	"testing"
	"time"
)

// Guards against callers that stay with balancers that reach no target: both openings that no
// target can take and openings that stay unanswered count.
func TestNoTarget(t *testing.T) {
	for _, unplaced := range []bool{false, true} {
		s := newSim(t)
		s.fail("web", "notes")
		if unplaced {
			for x, o := range s.load {
				s.load[x] = Openings{Total: o.Total, Unplaced: o.Total}
			}
		}
		if took := s.until(NoTarget, time.Second); took < minOutage || took > minOutage+2*tick {
			t.Errorf("unplaced %v: stepped back after %v", unplaced, took)
		}
		if !slices.Equal(s.decision.Services, []string{"notes", "web"}) {
			t.Errorf("services %v", s.decision.Services)
		}
	}
}

// Guards against a data centre that serves half of its openings or more and steps back as one
// of two services is out, and against one that stays although most of its openings fail.
func TestOneOfTwoServicesOut(t *testing.T) {
	for _, c := range []struct {
		web, notes int // openings in a tick
		want       Reason
	}{{3, 1, NoTarget}, {6, 5, NoTarget}, {2, 2, None}, {1, 3, None}} {
		s := newSim(t)
		s.load = map[string]Openings{"web": {Total: c.web, Forwarded: c.web}, "notes": {Total: c.notes, Forwarded: c.notes}}
		s.run(3 * time.Second)
		s.fail("web")
		s.run(5 * time.Second)
		s.want("web is out", c.want)
		if c.want == NoTarget && !slices.Equal(s.decision.Services, []string{"web"}) {
			t.Errorf("services %v", s.decision.Services)
		}
		for _, x := range s.checks {
			if x.Service != "web" {
				t.Errorf("check of a target of %s, which works", x.Service)
			}
		}
	}
}

// Guards against a data centre that stays because each of two services that are out has less
// than half of the openings.
func TestServicesThatAreOutAddUp(t *testing.T) {
	s := newSim(t)
	s.fail("web")
	s.run(300 * time.Millisecond)
	s.fail("notes")
	s.until(NoTarget, 700*time.Millisecond)
}

// Guards against stepping back when targets answer some openings.
func TestSignOfLifeKeepsReady(t *testing.T) {
	s := newSim(t)
	s.fail("web", "notes")
	for range 20 {
		s.run(300 * time.Millisecond)
		s.last["web"], s.last["notes"] = s.now, s.now
	}
	s.want("a sign of life each 0.3 s", None)
}

// Guards against stepping back on too little evidence: two openings, or three of the last
// moment after a time without openings and signs of life.
func TestFewOpenings(t *testing.T) {
	s := newSim(t)
	s.alive = map[string]bool{}
	s.load = map[string]Openings{}
	s.run(5 * time.Second)
	burst := func(n int) {
		s.load["web"] = Openings{Total: n, Forwarded: n}
		s.step()
		s.load = map[string]Openings{}
	}
	burst(2)
	s.run(5 * time.Second)
	s.want("two unanswered openings", None)
	burst(3)
	s.want("three openings of the last moment", None)
	s.last["web"] = s.now + 5*time.Millisecond
	s.run(5 * time.Second)
	s.want("they were answered", None)
}

// Guards against a process that was paused and steps back before it has handled the answers
// that wait in its socket.
func TestPausedProcess(t *testing.T) {
	s := newSim(t)
	s.load["web"] = Openings{Total: 5, Forwarded: 5}
	s.alive = map[string]bool{}
	s.run(2 * tick)
	s.load = map[string]Openings{}
	s.now += time.Second - tick
	s.step()
	s.want("first tick after a pause", None)
	s.alive = map[string]bool{"web": true, "notes": true}
	s.run(time.Second)
	s.want("answers handled", None)
}

// Guards against balancers of large fleets that never step back because each sees few
// openings.
func TestSlowFailures(t *testing.T) {
	s := newSim(t)
	s.alive = map[string]bool{}
	s.load = map[string]Openings{}
	s.run(5 * time.Second)
	for range 3 {
		s.load["web"] = Openings{Total: 1, Forwarded: 1}
		s.step()
		s.load = map[string]Openings{}
		s.run(500 * time.Millisecond)
	}
	s.want("three unanswered openings in 1.2 s", NoTarget)
}

// Guards against rejections under overload, which are neither unplaced nor forwarded, being
// taken for an outage.
func TestRejectedOpeningsAreNoOutage(t *testing.T) {
	s := newSim(t)
	s.alive = map[string]bool{}
	s.load = map[string]Openings{"web": {Total: 20}, "notes": {Total: 5, Unplaced: 5}}
	s.run(5 * time.Second)
	s.want("most openings are rejected", None)
}

// Guards against a balancer that steps back before it knows the state of its data centre.
func TestJustStarted(t *testing.T) {
	s := &sim{t: t, now: 20 * time.Second, heard: true, view: newSim(t).view, last: map[string]time.Duration{},
		load: map[string]Openings{"web": {Total: 4, Unplaced: 4}}}
	s.d.Start(s.now)
	s.evacuate("a")
	s.run(2900 * time.Millisecond)
	s.want("in the first 3 s", None)
	s.run(200 * time.Millisecond)
	s.want("later", Evacuated)
}

// Guards against a balancer that steps back because its own link is broken, and against a
// single balancer of a data centre that never steps back because nobody can be heard.
func TestOwnLinkBroken(t *testing.T) {
	for _, senders := range []int{2, 0} {
		s := newSim(t)
		s.view.Senders = senders
		s.heard = false
		s.run(1100 * time.Millisecond)
		s.fail("web", "notes")
		s.run(3 * time.Second)
		if senders == 0 {
			s.want("no balancer to hear", NoTarget)
			continue
		}
		s.want("no balancer heard", None)
		s.heard = true
		s.step()
		s.want("heard again", NoTarget)
	}
}

// Guards against a change of readiness or a check during a planned stop.
func TestPlannedStop(t *testing.T) {
	s := newSim(t)
	s.d.Stop()
	s.evacuate("a")
	s.fail("web", "notes")
	s.run(10 * time.Second)
	s.want("stopping", None)
	if s.changes != 0 || len(s.checks) != 0 {
		t.Errorf("%d changes and %d checks, want none", s.changes, len(s.checks))
	}
}

// Guards against stepping back without a data centre known to have targets of the service
// that is out, and balancers.
func TestNoOtherDataCenter(t *testing.T) {
	s := newSim(t)
	s.centre("b").Balancers = 0
	s.centre("c").Services = []string{"notes"}
	s.fail("web", "notes")
	s.run(10 * time.Second)
	s.want("no other data centre has both", None)
	s.centre("c").Services = []string{"notes", "web"}
	s.until(NoTarget, tick)
	s.evacuate("c")
	s.step()
	s.want("that data centre is evacuated", None)
}
