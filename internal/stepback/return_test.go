package stepback

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an outage that lasts because all data centres have stepped back at once:
// each comes back within two checks of the time when targets answer, and within 2 s plus two
// checks if they answer at once.
func TestAllDataCentersAtOnce(t *testing.T) {
	const twoChecks = 2*checkInterval + 2*tick // and the ticks that take their answers
	for _, outage := range []time.Duration{0, 300 * time.Millisecond, 1900 * time.Millisecond, 2500 * time.Millisecond, 30*time.Second + tick} {
		var all []*sim
		for _, own := range []string{"a", "b", "c"} {
			s := newSim(t)
			s.view.Own = own
			s.fail("web", "notes")
			s.until(NoTarget, time.Second)
			s.run(outage)
			s.want(fmt.Sprintf("%s after %v", own, outage), NoTarget)
			all = append(all, s)
		}
		for _, s := range all {
			s.recover()
			limit := max(minAway-outage, 0) + twoChecks
			took := s.until(None, limit)
			if outage+took < minAway {
				t.Errorf("%s is back %v after it stepped back", s.view.Own, outage+took)
			}
			s.run(5 * time.Second)
			s.want("targets answer", None)
			if s.changes != 2 {
				t.Errorf("%s: %d changes, want 2", s.view.Own, s.changes)
			}
		}
	}
}

// Guards against a balancer that comes back after a single answer, or although every other
// check fails.
func TestTwoAnswersInARow(t *testing.T) {
	s := newSim(t)
	s.fail("web", "notes")
	s.until(NoTarget, time.Second)
	for i := range 20 {
		s.answering["b"] = i%2 == 0
		s.run(checkInterval)
	}
	s.want("every other check is answered", NoTarget)
	if s.changes != 1 {
		t.Errorf("%d changes, want 1", s.changes)
	}
	s.answering["b"] = true
	s.until(None, 2*checkInterval+tick)
}

// Guards against answers of one data centre that hide that no target answers two checks in a
// row there: single answers of two data centres do not add up.
func TestAnswersOfDifferentDataCenters(t *testing.T) {
	s := newSim(t)
	s.fail("web", "notes")
	s.until(NoTarget, time.Second)
	for i := range 20 {
		s.answering = map[string]bool{"b": i%2 == 0, "c": i%2 == 1}
		s.run(checkInterval)
	}
	s.want("each answers every other check", NoTarget)
	if s.changes != 1 {
		t.Errorf("%d changes, want 1", s.changes)
	}
}

// Guards against more checks than one each 0.5 s in each data centre, checks in an evacuated
// one, and a second check while the first one there is still running.
func TestNumberOfChecks(t *testing.T) {
	s := newSim(t)
	s.evacuate("c")
	s.fail("web", "notes")
	s.until(NoTarget, time.Second)
	s.run(10*time.Second - tick)
	count := func() map[string]int {
		n := map[string]int{}
		for _, x := range s.checks {
			n[x.DataCenter]++
		}
		s.checks = nil
		return n
	}
	if n := count(); n["a"] != 20 || n["b"] != 20 || n["c"] != 0 {
		t.Errorf("checks in 10 s: %v", n)
	}
	s.run(tick) // the last checks have ended
	count()
	for range 50 {
		s.step()
		s.pending = nil // no check ends
	}
	if n := count(); n["a"] != 1 || n["b"] != 1 {
		t.Errorf("checks while none ends: %v, want one in each of a and b", n)
	}
}

// Guards against a return because one service answers while the other one, which is out too,
// does not.
func TestChecksTakeTurns(t *testing.T) {
	s := newSim(t)
	s.fail("web", "notes")
	s.until(NoTarget, time.Second)
	for range 100 {
		s.step()
		for _, x := range s.pending {
			s.answering[x.DataCenter] = x.Service == "notes"
		}
	}
	s.want("no target of web answers", NoTarget)
	if s.changes != 1 {
		t.Errorf("%d changes, want 1", s.changes)
	}
}

// Guards against an answer to a check of an earlier outage that counts for the next one.
func TestLateAnswer(t *testing.T) {
	var c checks
	services := []string{"web"}
	list := []DataCenter{{Name: "b", Balancers: 1, Services: services}}
	begin := func(now time.Duration, want int) {
		t.Helper()
		if got := c.begin(now, list, services); len(got) != want {
			t.Errorf("%d checks begun at %v, want %d", len(got), now, want)
		}
	}
	begin(0, 1)
	c.reset(checkInterval)
	begin(checkInterval, 0) // the first check is still running
	c.done("b", true)
	begin(2*checkInterval, 1)
	c.done("b", true)
	if c.answered() {
		t.Error("the answer to the check of the earlier outage counts")
	}
	begin(3*checkInterval, 1)
	c.done("b", true)
	if !c.answered() {
		t.Error("two answers do not count")
	}
}

// Guards against flapping: after a return, only openings since then count.
func TestReturnForgetsEarlierOpenings(t *testing.T) {
	s := newSim(t)
	s.fail("web", "notes")
	s.until(NoTarget, time.Second)
	s.answering["b"] = true // targets answer checks but no openings
	s.until(None, 3*time.Second)
	if took := s.until(NoTarget, time.Second); took < minOutage {
		t.Errorf("stepped back again after %v", took)
	}
}
