package soak

import (
	"math/rand/v2"
	"testing"
	"time"
)

// silenceSeeds lists the seeds that are always run.
var silenceSeeds = []uint64{1, 2}

// TestChangesBesideSilence makes changes in series while open connections go silent, and
// balancers are killed, stopped, paused and started again. Each change has to be in force in
// time at every balancer that is not disturbed itself.
func TestChangesBesideSilence(t *testing.T) {
	runSeeds(t, silenceSeeds, func(t *testing.T, block int, seed uint64) {
		s := newSeries(t, block)
		s.run(seed, s.silenceRepeatedly, s.change)
	})
}

// change writes a version, or several in quick succession, and checks the last one later.
func (s *series) change(r *rand.Rand) time.Duration {
	s.mu.Lock()
	for range 1 + r.IntN(3) {
		s.extra = r.IntN(2) == 0
		s.changeCatalogue()
	}
	s.mu.Unlock()
	s.checkLater()
	return time.Duration(50+r.IntN(900)) * time.Millisecond
}

// silenceRepeatedly silences the open connections of all or of some balancers, to each other
// and to the store, again and again.
func (w *world) silenceRepeatedly(r *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(200+r.IntN(2500)) * time.Millisecond)
		w.mu.Lock()
		w.silenceSome(r, []float64{0.5, 1, 1}[r.IntN(3)])
		w.mu.Unlock()
	}
}

// silenceSome silences the connections of a share of the balancers. w.mu is held.
func (w *world) silenceSome(r *rand.Rand, share float64) {
	w.faultCounts["connections silenced"]++
	for _, n := range w.nodes {
		if r.Float64() >= share {
			continue
		}
		n.relay.Silence()
		if n.silenceable && n.running() && time.Since(n.started) > signalGrace {
			_ = n.cmd.Process.Signal(silenceSignal)
		}
	}
}
