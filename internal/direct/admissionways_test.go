package direct

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"rosedale.dev/rosedale/internal/admission"
)

// filter is admission at one balancer, before its Forwarder: an opening that it does not admit
// is reset at its caller.
type filter struct {
	way
	fleet  *filterFleet
	signal *admission.Gate[FlowKey]   // smooths response times as the product's gate does
	sent   map[*simFlow]time.Duration // when the flow's request was forwarded
}

// way decides which openings are admitted. tick gets the smoothed response time relative to
// normal every 100 ms.
type way interface {
	admits(now time.Duration, c *marketCall) bool
	tick(ratio float64)
}

// filterFleet is what the filters of all balancers know at once, without messages. This favours
// them over the product's gate.
type filterFleet struct {
	completions [10]float64                // answers in each of the last 100 ms
	sum, n      map[netip.AddrPort]float64 // response times before the burst, by route
	draws       map[*marketCall]float64    // position of a call among those of its route
	rng         *rand.Rand
}

// handle passes a packet through the balancer's filter to its Forwarder.
func (b *balancer) handle(now time.Duration, fl *simFlow, s *Segment) Decision {
	if b.filter != nil {
		if s.Flags == SYN && s.Ack == 0 && !b.filter.admits(now, fl.waiting.call) {
			return Decision{Verb: Reset}
		}
		b.filter.observe(now, fl, s)
	}
	return b.f.Handle(now, s)
}

// observe measures the time from a request to the acknowledgement of its answer. A request that
// its target or caller has ended without an answer counts as long.
func (x *filter) observe(now time.Duration, fl *simFlow, s *Segment) {
	began, sent := x.sent[fl]
	switch {
	case s.Len > 0 && !sent:
		x.sent[fl] = now
	case s.Len == 0 && fl.open && sent:
		delete(x.sent, fl)
		if fl.waiting != nil {
			x.signal.Answered(now, 0, unansweredRatio)
			return
		}
		f, route, took := x.fleet, s.Address, (now - began).Seconds()
		f.completions[0]++
		if now < simQuiet {
			f.sum[route] += took
			f.n[route]++
		}
		x.signal.Answered(now, 0, took*f.n[route]/f.sum[route])
	}
}

// threshold rejects a share of the less urgent openings, and of the urgent ones only when all
// others are rejected: a level of 1.2 rejects all pitch checks and 0.2 of the dues.
type threshold struct {
	fleet *filterFleet
	level float64
}

// levelStep is the change of the threshold in 100 ms. Of 0.01, 0.02, 0.05 and 0.1 up, and the same
// or less down, 0.05 both ways earned most with 3 and 29 balancers at 3 times the slots.
const levelStep = 0.05

func (x *threshold) admits(_ time.Duration, c *marketCall) bool {
	u, ok := x.fleet.draws[c]
	if !ok {
		u = x.fleet.rng.Float64()
		x.fleet.draws[c] = u
	}
	return u+float64(2-c.route.Priority) >= x.level
}

func (x *threshold) tick(ratio float64) {
	switch {
	case ratio > 2:
		x.level = min(x.level+levelStep, 2)
	case ratio < 1.3:
		x.level = max(x.level-levelStep, 0)
	}
}

// startRate is the rate of credits before anything is measured: it limits nothing.
const startRate = 1000

// credits admits at a rate, which is a balancer's share of the measured capacity. The last half of
// the credits is for dues.
type credits struct {
	fleet           *filterFleet
	share           float64 // of the fleet's completions
	rate, available float64
	at              time.Duration
}

func (x *credits) admits(now time.Duration, c *marketCall) bool {
	most := max(x.rate/10, 4) // credits of 100 ms
	x.available = min(x.available+x.rate*(now-x.at).Seconds(), most)
	x.at = now
	if c.route.Priority > 1 && x.available < 1+most/2 || x.available < 1 {
		return false
	}
	x.available--
	return true
}

func (x *credits) tick(ratio float64) {
	capacity := 0.0
	for _, n := range x.fleet.completions {
		capacity += n * x.share
	}
	x.rate *= 1.1
	if ratio > 1.5 {
		x.rate = capacity
	}
	// The rate neither grows without bound while demand is low nor stays at 0.
	x.rate = min(max(x.rate, 1), 4*capacity+20)
}

// useFilters gives each balancer a filter.
func (r *replay) useFilters(newWay func(*filterFleet, int) way) {
	fleet := &filterFleet{sum: map[netip.AddrPort]float64{}, n: map[netip.AddrPort]float64{}, draws: map[*marketCall]float64{}, rng: rand.New(rand.NewPCG(1, 2))}
	for _, b := range r.balancers {
		b.filter = &filter{newWay(fleet, len(r.balancers)), fleet, admission.NewGate[FlowKey](), map[*simFlow]time.Duration{}}
	}
	r.every(100*time.Millisecond, func() {
		for _, b := range r.balancers {
			b.filter.tick(b.filter.signal.Ratio(r.now))
		}
		copy(fleet.completions[1:], fleet.completions[:])
		fleet.completions[0] = 0
	})
}
