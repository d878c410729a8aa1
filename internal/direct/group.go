package direct

import (
	"time"

	"rosedale.dev/rosedale/internal/admission"
)

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

	service *service
	pool    admission.Pool // number of the group at the service's gate
	share   float64        // of this balancer, in requests in flight; see updateShares
	arc     arc
	arcAt   time.Duration // serviceGate.sharedAt of the arc
}

func newGroup(s *service, c *centre, p admission.Pool) *group {
	return &group{service: s, pool: p, centre: c, latency: latencyRatio{ratio: 1}}
}

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
	g := newGroup(s, c, admission.Pool(len(s.far)+1))
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
