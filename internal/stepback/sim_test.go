package stepback

import (
	"slices"
	"testing"
	"time"
)

const tick = 100 * time.Millisecond

// sim is one balancer of data centre a in simulated time. Data centres a, b and c have
// balancers and targets of both services.
type sim struct {
	t     *testing.T
	now   time.Duration
	d     Decider
	view  View
	heard bool // a balancer of data centre a sends heartbeats
	// load holds the openings of each service in a tick.
	load map[string]Openings
	// alive holds the services whose targets show life in every tick.
	alive map[string]bool
	last  map[string]time.Duration // signs of life by service
	// answering holds the data centres whose targets answer checks.
	answering map[string]bool
	checks    []Check // all checks that were asked for
	pending   []Check // checks to be answered before the next tick
	decision  Decision
	changes   int
}

// newSim returns a balancer that has run for ten seconds and whose openings are answered.
func newSim(t *testing.T) *sim {
	s := &sim{t: t, heard: true, view: View{Own: "a", Senders: 2}, last: map[string]time.Duration{}, answering: map[string]bool{},
		load:  map[string]Openings{"web": {Total: 2, Forwarded: 2}, "notes": {Total: 2, Forwarded: 2}},
		alive: map[string]bool{"web": true, "notes": true}}
	for _, name := range []string{"a", "b", "c"} {
		s.view.DataCenters = append(s.view.DataCenters, DataCenter{Name: name, Balancers: 3, Services: []string{"notes", "web"}})
	}
	s.run(10 * time.Second)
	s.want("at first", None)
	return s
}

// centre returns the view of a data centre.
func (s *sim) centre(name string) *DataCenter {
	i := slices.IndexFunc(s.view.DataCenters, func(c DataCenter) bool { return c.Name == name })
	return &s.view.DataCenters[i]
}

// run runs ticks for a time.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}

func (s *sim) step() {
	s.now += tick
	if s.heard {
		s.d.Heard(s.now)
	}
	for i := range s.view.DataCenters {
		if c := &s.view.DataCenters[i]; c.Evacuated {
			c.EvacuatedFor += tick
		}
	}
	for _, c := range s.pending {
		s.d.Checked(c.DataCenter, s.answering[c.DataCenter])
	}
	s.pending = nil
	s.view.Openings = nil
	for _, service := range []string{"notes", "web"} {
		if s.alive[service] {
			s.last[service] = s.now
		}
		o := s.load[service]
		o.Service, o.LastAlive = service, s.last[service]
		s.view.Openings = append(s.view.Openings, o)
	}
	s.decision = s.d.Tick(s.now, s.view)
	if s.decision.Changed {
		s.changes++
	}
	s.pending = s.decision.Checks
	s.checks = append(s.checks, s.pending...)
}

func (s *sim) want(what string, r Reason) {
	s.t.Helper()
	if s.decision.Reason != r {
		s.t.Errorf("%s, at %v: %v, want %v", what, s.now, s.decision.Reason, r)
	}
}

// until runs until the reason is r and returns how long that took, at most for a time.
func (s *sim) until(r Reason, limit time.Duration) time.Duration {
	s.t.Helper()
	began := s.now
	for s.decision.Reason != r {
		if s.now-began >= limit {
			s.t.Fatalf("still %v after %v, want %v", s.decision.Reason, limit, r)
		}
		s.step()
	}
	return s.now - began
}

// fail makes all openings of some services fail.
func (s *sim) fail(services ...string) {
	for _, x := range services {
		s.alive[x] = false
		s.load[x] = Openings{Total: s.load[x].Total, Forwarded: s.load[x].Total}
	}
}

// recover makes all targets answer.
func (s *sim) recover() {
	for x := range s.alive {
		s.alive[x] = true
	}
	s.answering = map[string]bool{"a": true, "b": true, "c": true}
}

func (s *sim) evacuate(name string) { s.centre(name).Evacuated = true }

func (s *sim) takeBack(name string) {
	c := s.centre(name)
	c.Evacuated, c.EvacuatedFor = false, 0
}
