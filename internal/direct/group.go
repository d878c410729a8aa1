package direct

import "time"

// group holds the targets of one service in one data centre.
type group struct {
	centre  *centre
	targets []*target
	latency latencyRatio
	// spillShare is the fraction of this balancer's openings that spill from its data centre to
	// this group in another one; see updateSpill.
	spillShare float64
	massExpiry massExpiry
	lastAlive  time.Duration // see recordLife
}

func newGroup(c *centre) *group { return &group{centre: c, latency: latencyRatio{ratio: 1}} }

// group returns the service's group in a data centre and creates it if needed.
func (s *service) group(c *centre) *group {
	if s.near.centre == c {
		return s.near
	}
	for _, g := range s.far {
		if g.centre == c {
			return g
		}
	}
	g := newGroup(c)
	s.far = append(s.far, g)
	return g
}

// each calls do for every target of the service.
func (s *service) each(do func(*target)) {
	for _, t := range s.near.targets {
		do(t)
	}
	for _, g := range s.far {
		for _, t := range g.targets {
			do(t)
		}
	}
}
