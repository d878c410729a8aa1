package direct

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// replay is a deployment in simulated time: balancers with the real Forwarder,
// targets with slots and a short queue, and callers with long flows and short
// ones. Packets take a fixed time; nothing is lost unless a test says so.
type replay struct {
	rng       *rand.Rand
	now       time.Duration
	events    events
	balancers []*balancer
	targets   []*simTarget
	byID      map[TargetID]*simTarget
	centres   int
	nextPort  uint32
	retries   int // further tries of a caller
	perFlow   int // requests on a long flow on average; 0: no end
	// once has callers ask on the route whose requests must not run twice: they do not
	// try again once their flow is open.
	once bool
	// slower multiplies the work of all requests.
	slower float64
	// checkLimit is how long a check may take instead of what the balancer says.
	checkLimit time.Duration

	goal   time.Duration
	asked  int
	inGoal int
	late   int
	shed   int // requests turned away by a full target
	failed int
	far    int // openings to another data centre
	opened int
	sum    struct{ busiest, mean float64 }
}

// Times of the replayed deployments.
const (
	simNear   = 300 * time.Microsecond // between a balancer and a target near by
	simFar    = 900 * time.Microsecond // and one in another data centre
	simCaller = 3 * time.Millisecond   // between a caller and the rest
	simSlots  = 2
	simQueue  = 8
	// simSmall is the number of balancers up to which they tell one another their loads.
	simSmall = 16
	// simTurnedAway is how long a full target takes to turn a check away.
	simTurnedAway = 200 * time.Millisecond
)

type balancer struct {
	f      *Forwarder
	centre int
}

type simTarget struct {
	Target
	centre  int
	running int
	queue   []*simRequest
	dead    bool // crashed: openings are answered with resets at once
	dark    bool // lost power: nothing is answered
	served  int
	opened  int     // openings that reached it
	slow    float64 // factor of the work
	sick    sickness
	share   float64 // of the requests that it fails
	bad     int     // requests that it failed
}

type simRequest struct {
	flow  *simFlow
	asked time.Duration // the caller's first try
	work  time.Duration
	tries int
	check func() // a health check rather than a request
}

type simFlow struct {
	seg     Segment
	b       *balancer
	t       *simTarget
	long    bool
	copies  uint32
	open    bool
	dead    bool
	waiting *simRequest
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
	simAddress = netip.MustParseAddrPort("198.18.0.1:443")
	simOnce    = netip.MustParseAddrPort("198.18.0.2:443") // its requests must not run twice
)

// newReplay builds data centres with so many balancers and targets each.
func newReplay(seed uint64, balancers, targets []int) *replay {
	return newReplayWithout(seed, balancers, targets, 0)
}

// newReplayWithout is newReplay with some mechanisms of the balancers switched off.
func newReplayWithout(seed uint64, balancers, targets []int, without MechanismSet) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(seed, 9)), byID: map[TargetID]*simTarget{}, centres: len(targets), goal: 150 * time.Millisecond, retries: 2, slower: 1}
	cat := &Catalogue{
		Version: 1,
		Routes: map[netip.AddrPort]Route{
			simAddress: {Name: "r", Address: simAddress, Backends: []Backend{{"s", 1}}, Kind: Idempotent},
			simOnce:    {Name: "once", Address: simOnce, Backends: []Backend{{"s", 1}}, Kind: NonIdempotent},
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
	r.every(100*time.Millisecond, func() { r.exchange() })
	return r
}

func (r *replay) after(d time.Duration, do func()) {
	heap.Push(&r.events, event{r.now + d, len(r.events) + int(r.now), do})
}

func (r *replay) every(d time.Duration, do func()) {
	r.after(d, func() {
		do()
		r.every(d, do)
	})
}

func (r *replay) run(until time.Duration) {
	for len(r.events) > 0 && r.events[0].at <= until {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	r.now = until
}

// exchange is a tick of all balancers: they tell one another their loads.
func (r *replay) exchange() {
	loads := make([]map[TargetID]Load, len(r.balancers))
	for i, b := range r.balancers {
		loads[i] = b.f.Loads()
	}
	answers := make([]map[TargetID]Outcome, len(r.balancers))
	for i, b := range r.balancers {
		answers[i] = b.f.Outcomes(r.now)
	}
	for i, b := range r.balancers {
		b.f.SetPeerOutcomes(others(answers, i, Outcome.Plus), r.inCentre(b.centre))
	}
	for i, b := range r.balancers {
		if len(r.balancers) <= simSmall {
			b.f.SetPeerLoads(others(loads, i, Load.Plus))
		} else {
			b.f.SetFlowSpread(r.inCentre(b.centre))
		}
		b.f.Tick(r.now)
		r.check(b)
	}
	r.imbalance()
}

// others sums what all balancers but the i-th tell.
func others[T any](told []map[TargetID]T, i int, plus func(T, T) T) map[TargetID]T {
	sum := map[TargetID]T{}
	for j, m := range told {
		if j == i {
			continue
		}
		for id, x := range m {
			sum[id] = plus(sum[id], x)
		}
	}
	return sum
}

func (r *replay) inCentre(centre int) int {
	n := 0
	for _, b := range r.balancers {
		if b.centre == centre {
			n++
		}
	}
	return n
}

func (r *replay) imbalance() {
	most, total := 0, 0
	for _, t := range r.targets {
		n := t.running + len(t.queue)
		most = max(most, n)
		total += n
	}
	r.sum.busiest += float64(most)
	r.sum.mean += float64(total) / float64(len(r.targets))
}

// openFlows are the flows by key, to deliver resets that come on their own.
var openFlows = map[FlowKey]*simFlow{}

func (r *replay) reset(k FlowKey) {
	if fl := openFlows[k]; fl != nil {
		r.after(simCaller, func() { r.broken(fl) })
	}
}
