package direct

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// replay is a deployment in simulated time: balancers with the real Forwarder, targets with
// slots and a short queue, and callers with long and short flows. Packets take a fixed time
// and are not lost unless a test says so.
type replay struct {
	rng       *rand.Rand
	now       time.Duration
	events    events
	balancers []*balancer
	targets   []*simTarget
	byID      map[TargetID]*simTarget
	centres   int
	nextPort  uint32
	// flows are the callers' flows by key, to deliver resets that balancers send without a packet
	// of the flow.
	flows   map[FlowKey]*simFlow
	retries int // maximum number of retries of a request
	perFlow int // mean number of requests on a long flow; 0 for no limit
	// nonIdempotent makes callers use the route with non-idempotent requests, which they do
	// not retry once their flow is open.
	nonIdempotent bool
	// workFactor multiplies the work of all requests.
	workFactor float64
	// checkTimeout, if not 0, replaces the balancers' timeout of checks.
	checkTimeout time.Duration

	goal     time.Duration // response time within which an answer counts as in goal
	requests int
	inGoal   int // requests answered within goal
	late     int // requests answered later
	refused  int // requests refused by a full target
	failed   int // requests that failed in all tries
	far      int // openings to another data centre
	opened   int // openings, without retransmissions
	checks   int // checks started at targets
	hung     int // checks of living targets that were not answered in time
	ticks    int
	// rejectedBesideRoom counts openings of market callers that a balancer reset while a target
	// had had a free slot for longer than simRoom.
	rejectedBesideRoom int
	market             *market // set when the callers are those of market_test.go
	// sum adds up, over all ticks, the requests at the busiest target and the mean of all
	// targets.
	sum struct{ busiest, mean float64 }
}

// Delays and sizes of the simulation.
const (
	simNear   = 300 * time.Microsecond // one way between a balancer and a target nearby
	simFar    = 900 * time.Microsecond // to one in another data centre
	simCaller = 3 * time.Millisecond   // one way between a caller and a data centre
	simSlots  = 2                      // requests that a target serves concurrently
	simQueue  = 8                      // requests that a target queues beyond these
	// simSmallFleet is the number of balancers up to which they report their loads to one
	// another.
	simSmallFleet = 16
	// simLargeFleet is the number of balancers above which they exchange outcomes once a second
	// instead of on each tick, as adding them up takes half of the time of a replay of 200.
	simLargeFleet = 180
	// simCheckRefusal is how long a full target takes to refuse a check.
	simCheckRefusal = 200 * time.Millisecond
)

type balancer struct {
	f      *Forwarder
	centre int
	held   map[FlowKey][]func(Decision) // what to do with held packets once they are released
	filter *filter                      // admission before the Forwarder; nil for none
}

type simTarget struct {
	Target
	centre       int
	running      int
	queue        []*simRequest
	crashed      bool // openings are answered with resets at once
	unreachable  bool // lost power: no answers at all
	served       int
	opened       int     // openings received
	slow         float64 // factor on the work
	failure      failureMode
	failureShare float64 // share of requests that it fails
	failed       int     // requests that it failed
	refusing     int     // requests that wait for the answer that they were not run
	freeSince    time.Duration
}

type simRequest struct {
	flow      *simFlow
	startedAt time.Duration // of the caller's first try
	work      time.Duration // time it takes in a slot
	tries     int           // retries so far
	check     func()        // set for a health check instead of a request
	call      *marketCall   // set for requests of the market's routes
	delivered bool          // has reached its target
	notRun    bool          // the target answered that it did not run the request
}

type simFlow struct {
	seg    Segment
	b      *balancer
	t      *simTarget
	long   bool
	copies uint32 // retransmissions of the opening
	open   bool   // the caller has accepted an answer to its opening
	dead   bool   // ended at the caller
	// rejected is set when a balancer resets the flow before it is open.
	rejected bool
	waiting  *simRequest // request without an answer yet
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

var (
	simAddress       = netip.MustParseAddrPort("198.18.0.1:443")
	simNonIdempotent = netip.MustParseAddrPort("198.18.0.2:443") // non-idempotent requests
)

// newReplay builds data centres with the given numbers of balancers and targets.
func newReplay(seed uint64, balancers, targets []int) *replay {
	return newReplayWithout(seed, balancers, targets, 0)
}

// newReplayWithout is newReplay with some features of the balancers turned off.
func newReplayWithout(seed uint64, balancers, targets []int, without MechanismSet) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(seed, 9)), byID: map[TargetID]*simTarget{}, flows: map[FlowKey]*simFlow{}, centres: len(targets), goal: 150 * time.Millisecond, retries: 2, workFactor: 1}
	cat := &Catalogue{
		Version: 1,
		Routes: map[netip.AddrPort]Route{
			simAddress:       {Name: "r", Address: simAddress, Backends: []Backend{{"s", 1}}, Kind: Idempotent},
			simNonIdempotent: {Name: "once", Address: simNonIdempotent, Backends: []Backend{{"s", 1}}, Kind: NonIdempotent},
		},
		Services: map[string]Service{"s": {Name: "s"}},
	}
	for c, n := range targets {
		for range n {
			id := TargetID(0xa100000001 + len(r.targets))
			t := &simTarget{Target: Target{ID: id, Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:1"), DataCenter: fmt.Sprint(c), Slots: simSlots}, centre: c, slow: 1}
			r.targets = append(r.targets, t)
			r.byID[id] = t
		}
	}
	for c, n := range balancers {
		for range n {
			f := New(Config{DataCenter: fmt.Sprint(c), FlowMaxAge: time.Minute, MaxFlows: 100000, Seed: seed + uint64(len(r.balancers)), Without: without})
			f.SetCatalogue(cat)
			for _, t := range r.targets {
				f.PutTarget(0, t.Target)
			}
			r.balancers = append(r.balancers, &balancer{f: f, centre: c})
		}
	}
	r.every(100*time.Millisecond, func() { r.tick() })
	return r
}

// after schedules do at a time from now.
func (r *replay) after(d time.Duration, do func()) {
	heap.Push(&r.events, event{r.now + d, len(r.events) + int(r.now), do})
}

// every schedules do repeatedly, at equal intervals.
func (r *replay) every(d time.Duration, do func()) {
	r.after(d, func() {
		do()
		r.every(d, do)
	})
}

// run processes the events up to a time.
func (r *replay) run(until time.Duration) {
	for len(r.events) > 0 && r.events[0].at <= until {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	r.now = until
}

// tick is the periodic work of all balancers, which exchange their loads and outcomes.
func (r *replay) tick() {
	loads := make([]map[TargetID]Load, len(r.balancers))
	for i, b := range r.balancers {
		loads[i] = b.f.Loads()
	}
	if r.ticks++; len(r.balancers) <= simLargeFleet || r.ticks%10 == 0 {
		r.exchangeOutcomes()
	}
	for i, b := range r.balancers {
		if len(r.balancers) <= simSmallFleet {
			b.f.SetPeerLoads(others(loads, i, Load.Plus))
		} else {
			b.f.SetFlowSpread(r.inCentre(b.centre))
		}
		b.f.Tick(r.now)
		r.release(b)
		r.startChecks(b)
	}
	r.recordImbalance()
}

func (r *replay) exchangeOutcomes() {
	answers := make([]map[TargetID]Outcome, len(r.balancers))
	for i, b := range r.balancers {
		answers[i] = b.f.Outcomes(r.now)
	}
	for i, b := range r.balancers {
		b.f.SetPeerOutcomes(others(answers, i, Outcome.Plus), r.inCentre(b.centre))
	}
}

// others returns the sum of the reports of all balancers but the i-th.
func others[T any](reports []map[TargetID]T, i int, plus func(T, T) T) map[TargetID]T {
	sum := map[TargetID]T{}
	for j, m := range reports {
		if j == i {
			continue
		}
		for id, x := range m {
			sum[id] = plus(sum[id], x)
		}
	}
	return sum
}

// inCentre returns the number of balancers in a data centre.
func (r *replay) inCentre(centre int) int {
	n := 0
	for _, b := range r.balancers {
		if b.centre == centre {
			n++
		}
	}
	return n
}

// recordImbalance adds the present loads to sum.
func (r *replay) recordImbalance() {
	most, total := 0, 0
	for _, t := range r.targets {
		n := t.running + len(t.queue)
		most = max(most, n)
		total += n
	}
	r.sum.busiest += float64(most)
	r.sum.mean += float64(total) / float64(len(r.targets))
}

// reset delivers such a reset to the caller.
func (r *replay) reset(k FlowKey) {
	if fl := r.flows[k]; fl != nil {
		r.after(simCaller, func() { r.breakFlow(fl) })
	}
}
