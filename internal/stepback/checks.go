package stepback

import (
	"slices"
	"time"
)

// checks decides which targets to check while the balancer has stepped back because it found
// no target, and counts the answers. At most one check per data centre is running.
type checks struct {
	next        time.Duration // when the next round of checks is due
	round       int           // number of rounds begun
	dataCenters map[string]*checkState
}

// checkState is the state of the checks in one data centre.
type checkState struct {
	running bool
	stale   bool // the running check began before the last reset
	streak  int  // consecutive answered checks
}

// reset discards all answers. Checks that are running stay counted as such.
func (c *checks) reset(now time.Duration) {
	c.next = now
	for _, s := range c.dataCenters {
		s.stale, s.streak = s.running, 0
	}
}

// begin returns the checks to begin now: one in each data centre that is not evacuated and has
// targets of a service concerned. Rounds take turns between the services.
func (c *checks) begin(now time.Duration, list []DataCenter, services []string) []Check {
	if now < c.next {
		return nil
	}
	c.next = now + checkInterval
	c.round++
	if c.dataCenters == nil {
		c.dataCenters = map[string]*checkState{}
	}
	var out []Check
	for _, dc := range list {
		var candidates []string
		for _, s := range services {
			if slices.Contains(dc.Services, s) {
				candidates = append(candidates, s)
			}
		}
		state := c.dataCenters[dc.Name]
		if state == nil {
			state = &checkState{}
			c.dataCenters[dc.Name] = state
		}
		if dc.Evacuated || len(candidates) == 0 {
			state.streak = 0 // earlier answers do not count while no flow can go there
			continue
		}
		if state.running {
			continue
		}
		state.running = true
		out = append(out, Check{dc.Name, candidates[c.round%len(candidates)]})
	}
	return out
}

// done takes the result of a check.
func (c *checks) done(dataCenter string, answered bool) {
	s := c.dataCenters[dataCenter]
	if s == nil {
		return
	}
	switch {
	case s.stale || !answered:
		s.streak = 0
	default:
		s.streak++
	}
	s.running, s.stale = false, false
}

// answered reports whether enough consecutive checks in one data centre were answered.
func (c *checks) answered() bool {
	for _, s := range c.dataCenters {
		if s.streak >= answersToReturn {
			return true
		}
	}
	return false
}
