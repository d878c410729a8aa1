package direct

import "time"

const (
	// busyFactor is the weight of an in-flight request of this balancer. It exceeds 1 because
	// the other balancers have requests in flight there too, and choose the same target when
	// few open flows make it look idle.
	//
	// With 1.5 instead of 1, 1,008 instead of 1,286 answers were late in 12 runs of a
	// 1.7-fold burst during a rolling replacement and 12 of bursts in one data centre. With
	// 2, the share of flows that cross data centres at 0.9 of the slots' capacity rises from
	// 0.08 to 0.22 (TestEvenLoad).
	busyFactor = 1.5
	// coldFactor is the weight of a request at a cold target, which is slower by about this
	// factor.
	coldFactor = 1.6
	// initialWorkPerFlow is the assumed number of slots an open flow keeps busy until it is
	// measured: one request of 30 ms a second.
	initialWorkPerFlow = 0.03
	// workTimeConstant is the time constant of that measurement.
	workTimeConstant = 2 * time.Second
)

// load returns the estimated requests per slot of the target: those in flight from this
// balancer, those expected from the target's open flows, through this balancer and its peers,
// and the additional load of failing targets (see updateScore).
//
// In-flight requests of peers are left out: a request takes a third of the time between two
// reports, and all balancers would turn to the target that looked idle in the latest ones. At
// 0.9 of the slots' capacity, leaving them out reduced late requests from 3.4 to 1.3 of 100,
// and requests refused by a full target from 42 to 5 of 7,500 (TestEvenLoad).
func (t *target) load(now time.Duration, work float64) float64 {
	n := busyFactor*float64(t.busy) + work*float64(t.flows+t.peerLoad.Flows)
	if now < t.coldUntil {
		n = n*coldFactor + coldFactor - 1
	}
	return n/float64(max(t.Slots, 1)) + t.extraLoad
}

// full reports whether the target has reached its maximum number of flows. Small fleets
// report their flows to one another; in large ones each balancer assumes that the others have
// as many flows there as it has.
func (t *target) full(s *service, spread int) bool {
	return s.maxConns > 0 && t.flows*spread+t.peerLoad.Flows >= s.maxConns
}
