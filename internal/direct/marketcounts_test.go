package direct

import "time"

// callCounts counts the calls of one route from one data centre.
type callCounts struct {
	calls, inGoal, late, failed int
	refused                     int // requests refused by full targets
	lost                        int // failed calls whose last opening was not reset by a balancer
	rejected                    int // openings reset by balancers
	connections                 int // openings that reached a target
}

func (c callCounts) plus(o callCounts) callCounts {
	return callCounts{c.calls + o.calls, c.inGoal + o.inGoal, c.late + o.late, c.failed + o.failed,
		c.refused + o.refused, c.lost + o.lost, c.rejected + o.rejected, c.connections + o.connections}
}

func (c callCounts) share(n int) float64 { return float64(n) / float64(max(c.calls, 1)) }

// settle ends a call as answered.
func (c *marketCall) settle(now time.Duration) {
	c.settled = true
	c.count(func(n *callCounts) {
		if now-c.startedAt <= c.route.Goal {
			n.inGoal++
		} else {
			n.late++
		}
	})
}

// count changes the counts of a call's route, unless the call is not counted or nil.
func (c *marketCall) count(change func(*callCounts)) {
	if c != nil && c.counted {
		change(&c.route.counts[c.centre])
	}
}

// total returns the counts of a route over all data centres.
func (x *marketRoute) total() callCounts {
	var sum callCounts
	for _, n := range x.counts {
		sum = sum.plus(n)
	}
	return sum
}

// all returns the counts of all routes and data centres.
func (m *market) all() callCounts {
	var sum callCounts
	for _, x := range m.routes {
		sum = sum.plus(x.total())
	}
	return sum
}

// earned returns the worth of all answers, and what it would be if all calls met their goal.
func (m *market) earned() (earned, asked float64) {
	for _, x := range m.routes {
		n := x.total()
		earned += x.worth*float64(n.inGoal) + x.late*float64(n.late)
		asked += x.worth * float64(n.calls)
	}
	return earned, asked
}

func (m *market) worthShare() float64 {
	earned, asked := m.earned()
	return earned / asked
}
