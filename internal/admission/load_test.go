package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	usual   = 30 * ms
	goal    = 400 * ms
	maxWait = goal - 4*usual
	// tailEvery: one request in 33 takes seven times as long, as in market.
	tailEvery = 33
	tailTimes = 7
	// meanWork is the slot time of a request.
	meanWork = usual * (tailEvery - 1 + tailTimes) / tailEvery
	// attempts: a caller repeats a rejected opening at once, twice at most.
	attempts = 3
)

// job is a request of a simulated caller.
type job struct {
	key      int
	priority int
	attempt  int
	asked    time.Duration // first attempt
	sent     time.Duration
	work     time.Duration
}

// loadSim is a gate and targets with slots and an unlimited queue, in steps of 1 ms.
type loadSim struct {
	rng   *rand.Rand
	gate  *Gate[int]
	now   time.Duration
	slots []*job // nil: free
	ends  []time.Duration
	queue []*job
	jobs  map[int]*job // waiting at the gate
	key   int

	asked, inTime, rejected [3]int
	late                    [3]int
	longest                 int // queue at the targets
	waited                  int // rejections after a wait
}

func newLoadSim(slots int, share float64) *loadSim {
	return &loadSim{
		rng:   rand.New(rand.NewPCG(1, 2)),
		gate:  gateWith(share),
		slots: make([]*job, slots),
		ends:  make([]time.Duration, slots),
		jobs:  map[int]*job{},
	}
}

// capacity is the number of requests a second that the slots can do.
func (s *loadSim) capacity() float64 { return float64(len(s.slots)) / meanWork.Seconds() }

// run simulates a time with so many arrivals a second by priority.
func (s *loadSim) run(length time.Duration, rates [3]float64) {
	for end := s.now + length; s.now < end; s.now += ms {
		s.finish()
		for p, r := range rates {
			for s.rng.Float64() < r/1000/(1+r/1000) { // geometric, mean r/1000
				s.arrive(s.newJob(p))
			}
		}
		s.releases()
		if s.now%(100*ms) == 0 {
			s.gate.Tick(s.now)
			s.releases()
		}
		s.start()
	}
}

func (s *loadSim) newJob(priority int) *job {
	work := usual
	if s.rng.IntN(tailEvery) == 0 {
		work *= tailTimes
	}
	s.asked[priority]++
	return &job{priority: priority, asked: s.now, work: work}
}

func (s *loadSim) arrive(j *job) {
	s.key++
	j.key = s.key
	j.attempt++
	s.jobs[j.key] = j
	v, _ := s.gate.Arrive(s.now, opening(j.key, j.priority, maxWait))
	s.decided(j, v)
}

func (s *loadSim) decided(j *job, v Verdict) {
	switch v {
	case Admit, Forced:
		delete(s.jobs, j.key)
		j.sent = s.now
		s.queue = append(s.queue, j)
		s.start()
		s.longest = max(s.longest, len(s.queue))
	case Reject:
		delete(s.jobs, j.key)
		if j.attempt < attempts {
			s.arrive(j)
		} else {
			s.rejected[j.priority]++
		}
	}
}

func (s *loadSim) releases() {
	for r, ok := s.gate.Next(s.now); ok; r, ok = s.gate.Next(s.now) {
		if r.Verdict == Reject {
			s.waited++
		}
		s.decided(s.jobs[r.Key], r.Verdict)
	}
}

func (s *loadSim) start() {
	for i := range s.slots {
		if s.slots[i] == nil && len(s.queue) > 0 {
			s.slots[i], s.queue = s.queue[0], s.queue[1:]
			s.ends[i] = s.now + s.slots[i].work
		}
	}
}

func (s *loadSim) finish() {
	for i, j := range s.slots {
		if j == nil || s.now < s.ends[i] {
			continue
		}
		s.slots[i] = nil
		took := s.now - j.sent
		s.gate.Answered(s.now, home, float64(took)/float64(usual))
		s.gate.Done(s.now, home, took)
		if s.now-j.asked <= goal {
			s.inTime[j.priority]++
		} else {
			s.late[j.priority]++
		}
	}
}

// Guards against goodput that falls when more is asked than the slots can do, and against
// urgent requests that pay for less urgent ones.
func TestGoodputIsFlat(t *testing.T) {
	const length = 20 * time.Second
	for _, load := range []float64{0.5, 1, 1.5, 2, 3, 4} {
		s := newLoadSim(8, 16)
		c := s.capacity()
		s.run(length, [3]float64{1: 0.45 * c, 2: (load - 0.45) * c})
		urgent := float64(s.inTime[1]) / float64(s.asked[1])
		good := float64(s.inTime[1]+s.inTime[2]) / (c * length.Seconds())
		t.Logf("load %.1f: goodput %.3f of the slots, urgent in time %.4f; in time %v late %v rejected %v, %d openings after a wait, ratio %.2f, factor %.2f",
			load, good, urgent, s.inTime, s.late, s.rejected, s.waited, s.gate.Ratio(s.now), s.gate.Stats().Factor)
		if want := min(load, 1) * 0.93; good < want {
			t.Errorf("load %v: goodput %.3f of the slots, want at least %.3f", load, good, want)
		}
		if urgent < 0.99 {
			t.Errorf("load %v: %.4f of the urgent requests in time, want at least 0.99", load, urgent)
		}
		if load <= 0.5 && s.rejected != [3]int{} {
			t.Errorf("load %v: rejected %v", load, s.rejected)
		}
	}
}

// Guards against urgent requests that starve the others when they alone exceed the slots.
func TestLesserShareUnderLoad(t *testing.T) {
	s := newLoadSim(8, 16)
	c := s.capacity()
	s.run(20*time.Second, [3]float64{1: 2 * c, 2: c})
	share := float64(s.inTime[2]) / (c * 20)
	t.Logf("in time %v late %v rejected %v", s.inTime, s.late, s.rejected)
	if share < 0.10 || share > 0.15 {
		t.Errorf("the less urgent requests got %.3f of the slots, want about an eighth", share)
	}
}

// Guards against idle slots when the share is computed for more balancers than there are, and
// against long queues at the targets when it is computed for fewer.
func TestShareForOtherFleet(t *testing.T) {
	for _, c := range []struct {
		name   string
		shares float64 // of the intended share
		queued int     // at most, in requests per slot
	}{
		{"a third of the balancers is gone", 2. / 3, 1},
		{"three quarters are gone", 1. / 4, 1},
		{"half are unknown", 2, 2},
	} {
		s := newLoadSim(8, 16*c.shares)
		rates := [3]float64{1: 0.3 * s.capacity(), 2: 1.7 * s.capacity()}
		s.run(3*time.Second, rates) // the factor adjusts
		s.inTime, s.late, s.asked, s.longest = [3]int{}, [3]int{}, [3]int{}, 0
		s.run(10*time.Second, rates)
		total := 10 * s.capacity()
		served := float64(s.inTime[1]+s.inTime[2]+s.late[1]+s.late[2]) / total
		urgent := float64(s.inTime[1]) / float64(s.asked[1])
		t.Logf("%s: served %.3f of the slots' work, urgent in time %.4f; in time %v late %v, queue up to %d, factor %.2f",
			c.name, served, urgent, s.inTime, s.late, s.longest, s.gate.Stats().Factor)
		if served < 0.97 {
			t.Errorf("%s: served %.3f of the slots' work, want at least 0.97", c.name, served)
		}
		if urgent < 0.99 {
			t.Errorf("%s: %.4f of the urgent requests in time, want at least 0.99", c.name, urgent)
		}
		if limit := c.queued * len(s.slots); s.longest > limit {
			t.Errorf("%s: %d queued at the targets, want at most %d", c.name, s.longest, limit)
		}
	}
}

// Guards against decisions that only work with many places: one slot, and a share below 1.
func TestSmallShares(t *testing.T) {
	for _, share := range []float64{2, 0.7} {
		s := newLoadSim(1, share)
		c := s.capacity()
		s.run(60*time.Second, [3]float64{1: 0.3 * c, 2: 1.7 * c})
		served := float64(s.inTime[1]+s.inTime[2]+s.late[1]+s.late[2]) / (c * 60)
		urgent := float64(s.inTime[1]) / float64(s.asked[1])
		t.Logf("share %v: served %.3f of the slot's work, urgent in time %.4f; asked %v in time %v late %v rejected %v, factor %.2f",
			share, served, urgent, s.asked, s.inTime, s.late, s.rejected, s.gate.Stats().Factor)
		if served < 0.9 {
			t.Errorf("share %v: served %.3f of the slot's work, want at least 0.9", share, served)
		}
		if urgent < 0.95 {
			t.Errorf("share %v: %.4f of the urgent requests in time, want at least 0.95", share, urgent)
		}
	}
}

// Guards against rejections of a burst that can be served: arrivals of a quarter of a second at
// once, after a quiet time.
func TestBurstIsServed(t *testing.T) {
	s := newLoadSim(8, 16)
	s.run(2*time.Second, [3]float64{2: 0.1 * s.capacity()})
	s.asked, s.inTime = [3]int{}, [3]int{}
	for range int(0.2 * s.capacity()) {
		s.arrive(s.newJob(2))
	}
	s.run(time.Second, [3]float64{})
	if s.rejected != [3]int{} || s.late != [3]int{} {
		t.Errorf("rejected %v, late %v of %v", s.rejected, s.late, s.asked)
	}
}
