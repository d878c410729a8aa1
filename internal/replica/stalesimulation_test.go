package replica

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// Parameters of the simulated fleet, in which every balancer sends heartbeats to every other.
const (
	simTick        = 100 * time.Millisecond
	simAnswer      = 10 * time.Millisecond // of the store and of peers
	simReadHedge   = 450 * time.Millisecond
	simReadTimeout = 1200 * time.Millisecond
	simTimeout     = time.Second     // of a request to a peer
	simIdle        = time.Second     // after which connections are closed
	simLoss        = 0.05            // of heartbeats
	simStable      = 4 * time.Second // after a cut, until a balancer counts like the others
	// simBound is the sum in docs/design/platform.md without the time to decode a change. It
	// includes the wait for changes that do not arrive, and the listing in their place.
	simBound = MaxFollowAge + awaitPatience + simTick + changesPatience + 2*simAnswer
	// simCutBound is that of a balancer which cannot reach the store: two heartbeats of a
	// peer, of which one is lost, and a request over a silent connection come after it.
	simCutBound = simBound + 6*simTick + FetchPatience + 20*time.Millisecond
)

// staleSimulation simulates balancers that follow changes in series while connections go
// silent and balancers answer no peer or cannot reach the store.
type staleSimulation struct {
	now     time.Duration
	queue   queue
	rng     *rand.Rand
	fleet   []*follower
	written []time.Duration // when revision i+1 was written
	changes delivery
}

// follower is a simulated balancer.
type follower struct {
	id       int
	place    Place
	replica  *Replica
	reader   Reader
	listings Listings
	fetches  Fetches
	lag      Lag
	nextRead time.Duration
	ticks    int
	heard    map[int]heartbeat // by sender
	store    pooled
	peers    map[int]*pooled
	deaf     bool // answers no peer
	cut      bool // cannot reach the store
	cutEnded time.Duration
}

// heartbeat is what a balancer tells its peers.
type heartbeat struct {
	at, history, last int64
	proven, arrived   time.Duration
	reading           bool // or a response of the store arrives
}

// pooled is a connection.
type pooled struct {
	usedAt time.Duration
	silent bool
}

// use uses the connection and reports whether it is silent.
func (p *pooled) use(now time.Duration) bool {
	if now-p.usedAt > simIdle {
		p.silent = false // a new one
	}
	p.usedAt = now
	return p.silent
}

func newStaleSimulation(size int, seed uint64) *staleSimulation {
	const dataCenters = 3
	w := &staleSimulation{rng: rand.New(rand.NewPCG(seed, 5)), written: []time.Duration{0}}
	for i := range size {
		f := &follower{id: i, place: Place{i % dataCenters, i / dataCenters}, replica: New(significant), heard: map[int]heartbeat{}, peers: map[int]*pooled{}}
		f.replica.Replace(nil, revision.Revision{Number: 1}, 0)
		for j := range size {
			f.peers[j] = &pooled{}
		}
		w.fleet = append(w.fleet, f)
		w.after(time.Duration(w.rng.Int64N(int64(simTick))), func() { w.tick(f) })
	}
	return w
}

func (w *staleSimulation) after(d time.Duration, do func()) {
	heap.Push(&w.queue, event{w.now + d, do})
}

func (w *staleSimulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at < until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

func (w *staleSimulation) tick(f *follower) {
	w.after(simTick, func() { w.tick(f) })
	f.ticks++
	if !f.reader.Busy() && w.now >= f.nextRead && f.reader.Decide(f.place, f.replica.Age(w.now), w.hasReader(f), f.fetches.Awaits(w.now)) {
		w.read(f)
	}
	w.catchUp(f)
	for _, o := range w.fleet {
		near := o.place.DataCenterRank == f.place.DataCenterRank
		if o == f || !near && f.ticks%3 != 0 || w.rng.Float64() < simLoss {
			continue
		}
		r := f.replica
		h := heartbeat{r.Position().Number, r.History(), r.LastChange(), w.now - r.Age(w.now), w.now, f.reader.Succeeding(w.now) || w.arrives(f)}
		w.after(time.Millisecond, func() { w.hear(o, f, h) })
	}
}

// arrives reports whether parts of a response of the store arrive at a balancer.
func (w *staleSimulation) arrives(f *follower) bool {
	return f.reader.Busy() && !f.cut && (w.changes == tooLate || w.changes == endEarly)
}

func (w *staleSimulation) hasReader(f *follower) bool {
	for id, h := range f.heard {
		before := w.fleet[id].place.Rank < f.place.Rank || w.fleet[id].place.Rank == f.place.Rank && w.fleet[id].place.DataCenterRank < f.place.DataCenterRank
		if h.reading && before && w.now-h.arrived < time.Second {
			return true
		}
	}
	return false
}

func (w *staleSimulation) hear(f, from *follower, h heartbeat) {
	f.heard[from.id] = h
	at := revision.Revision{Number: h.at}
	f.lag.Announced(w.now, at.At(h.last), f.replica.Position())
	if f.replica.Confirm(at, h.last, h.history, h.proven) == Behind && !f.reader.Succeeding(w.now) {
		w.fetch(f)
	}
}

func (w *staleSimulation) catchUp(f *follower) {
	if f.lag.For(w.now) > 0 && !f.reader.Succeeding(w.now) {
		w.fetch(f)
	}
}

// fetch asks one of the peers that are ahead.
func (w *staleSimulation) fetch(f *follower) {
	var ahead []netip.AddrPort
	for id, h := range f.heard {
		if h.last > f.replica.Position().Number && w.now-h.arrived < time.Second {
			ahead = append(ahead, addr(id))
		}
	}
	slices.SortFunc(ahead, netip.AddrPort.Compare)
	w.rng.Shuffle(len(ahead), func(a, b int) { ahead[a], ahead[b] = ahead[b], ahead[a] })
	late := f.fetches.OutOfPatience(w.now)
	r, ok := f.fetches.Begin(w.now, ahead)
	if !ok {
		return
	}
	if late {
		w.closeIdle(f)
	}
	id := slices.IndexFunc(w.fleet, func(o *follower) bool { return addr(o.id) == r.From })
	after := f.replica.Position().Number
	if f.peers[id].use(w.now) || w.fleet[id].deaf {
		w.after(simTimeout, func() {
			f.fetches.Ended(w.now, r, false)
			w.closeIdle(f)
			w.catchUp(f)
		})
		return
	}
	w.after(simAnswer/2, func() {
		o := w.fleet[id].replica
		items, whole := o.Since(after)
		at, proven := o.Position(), w.now-o.Age(w.now)
		w.after(simAnswer/2, func() {
			f.peers[id].usedAt = w.now
			f.fetches.Ended(w.now, r, true)
			if whole {
				f.replica.Merge(items, at, proven)
			} else {
				f.replica.Replace(o.All(), at, proven)
			}
			if _, ended := f.lag.Reached(w.now, f.replica.Position()); ended {
				f.fetches.CaughtUp()
			}
		})
	})
}

// closeIdle closes the connections of a balancer to its peers.
func (w *staleSimulation) closeIdle(f *follower) {
	for _, p := range f.peers {
		p.silent = false
	}
}
