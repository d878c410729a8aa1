package direct

import "time"

// service holds the targets of a service and measurements of its flows.
type service struct {
	near     *group        // in this data centre
	far      []*group      // in other data centres
	maxConns int           // open flows per target; 0 for no limit
	coldFor  time.Duration // see Service
	coldRate float64
	// workPerFlow is the average number of slots that an open flow keeps busy.
	workPerFlow float64
	normalRatio float64 // long-term average latency ratio
	record      record  // of all requests through this balancer
	openings    openingCounts
	// saturation is the smoothed response time relative to normal while the service is
	// saturated; 0 means that it is not.
	saturation float64
	gate       *serviceGate // nil until a route with a goal leads to the service
}

// saturationRatio returns the factor, at least 1, by which the answers of the service take
// longer because it is saturated.
func (s *service) saturationRatio() float64 { return max(s.saturation, 1) }

// configure applies the catalogue's settings of the service.
func (s *service) configure(c Service) {
	s.maxConns = c.MaxConns
	s.coldFor = c.ColdFor
	s.coldRate = c.ColdRate
}
