package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/rendezvous"
)

// policyRun holds the parameters of a simulated load of streams on the real pools
// of several homes. Each home knows only its own flows and its peers' last reports.
type policyRun struct {
	policy         balance.Policy
	slack          float64 // of the policy balance.Bounded
	homes          int
	targets        int
	streams        int           // mean number of open streams
	meanDuration   time.Duration // of a stream; durations have a Pareto distribution
	reportInterval time.Duration // between two reports from one home to another
	ramp           time.Duration // length of the slow start of a target that becomes eligible
}

// policySim is the state of a policyRun.
type policySim struct {
	policyRun
	rnd     *rand.Rand
	pools   []*balance.Pool
	reports *reports
	ends    departures
	next    time.Duration // time at which the next stream opens
	opened  []int         // streams opened at each target
	atFirst int           // of those, streams at their flow's first candidate
}

// simStep is the time step of a policySim.
const simStep = 10 * time.Millisecond

func (p policyRun) start(seed uint64) *policySim {
	s := &policySim{policyRun: p, rnd: rand.New(rand.NewPCG(seed, 5)), reports: newReports(p.homes, p.targets)}
	s.opened = make([]int, p.targets)
	for range p.homes {
		pool := balance.NewPool()
		pool.Policy, pool.Slack = p.policy, p.slack
		s.pools = append(s.pools, pool)
	}
	s.setTargets(0, -1)
	return s
}

// setTargets makes all targets eligible at every home, except the one with index down.
func (s *policySim) setTargets(now time.Duration, down int) {
	var ts []balance.Target
	for i := range s.targets {
		t := balance.Target{ID: uint32(i + 1), Seed: rendezvous.Seed(fmt.Sprint("target ", i)), Eligible: i != down, Ramp: s.ramp}
		t.Limit[balance.Connection], t.Limit[balance.Slot] = 1<<20, 2
		ts = append(ts, t)
	}
	for _, p := range s.pools {
		p.Update(now, s.homes, ts)
	}
}

// step ends and opens the streams that are due, and exchanges the homes' reports.
func (s *policySim) step(now time.Duration) {
	for len(s.ends) > 0 && s.ends[0].at <= now {
		d := heap.Pop(&s.ends).(departure)
		s.pools[d.home].Release(d.target, balance.Connection)
	}
	gap := float64(s.meanDuration) / float64(s.streams)
	for s.next <= now {
		s.next += time.Duration(s.rnd.ExpFloat64() * gap)
		s.open(now)
	}
	s.reports.exchange(now, s.reportInterval, s.pools)
}

func (s *policySim) open(now time.Duration) {
	h, key := s.rnd.IntN(s.homes), s.rnd.Uint64()
	id, ok := s.pools[h].Choose(now, balance.Connection, key, nil)
	if !ok {
		return
	}
	s.pools[h].Acquire(id, balance.Connection)
	s.opened[id-1]++
	if id == s.pools[h].First(key) {
		s.atFirst++
	}
	heap.Push(&s.ends, departure{now + s.randomDuration(), h, id})
}

// paretoShape is the shape parameter of the streams' durations. One stream in a hundred
// lasts more than seven times the mean.
const paretoShape = 1.5

func (s *policySim) randomDuration() time.Duration {
	return time.Duration(float64(s.meanDuration) * (paretoShape - 1) / paretoShape * math.Pow(1-s.rnd.Float64(), -1/paretoShape))
}

// endStreams ends all streams of a target.
func (s *policySim) endStreams(target int) {
	kept := s.ends[:0]
	for _, d := range s.ends {
		if int(d.target) != target+1 {
			kept = append(kept, d)
			continue
		}
		s.pools[d.home].Release(d.target, balance.Connection)
	}
	s.ends = kept
	heap.Init(&s.ends)
}

// totals returns the open streams of each target.
func (s *policySim) totals() []float64 { return s.reports.totals(s.pools) }

// belowAverage returns how far a target's streams are below the average, in percent of it.
func (s *policySim) belowAverage(target int) float64 {
	l := s.totals()
	avg := mean(l)
	return 100 * (avg - l[target]) / avg
}

func mean(l []float64) float64 {
	sum := 0.0
	for _, x := range l {
		sum += x
	}
	return sum / float64(len(l))
}
