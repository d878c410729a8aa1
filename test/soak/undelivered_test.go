package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

const (
	idleRoutes = 1400 // of a large catalogue: 0.23 MB
	stormGap   = 80 * time.Millisecond
	maxStorm   = 25 // versions of a storm
)

// undeliveredSeeds lists the seeds that are always run.
var undeliveredSeeds = []uint64{1, 2}

// paces are ways in which the store sends responses. Changes of a storm do not arrive with most
// of them, while the last version alone does.
var paces = []direct.Pace{
	{},
	{BytesPerSecond: 1_500_000},
	{PrepareMB: 250 * time.Millisecond},
	{Largest: 800_000},
	{Largest: 800_000, Stall: true},
	{Largest: 800_000, Refuse: true},
}

// TestChangesThatDoNotArrive writes versions of a large catalogue in storms while the store does
// not deliver what has become large, and balancers are killed, stopped, paused and started again.
// Each last version has to be in force in time at every balancer that is not disturbed itself.
func TestChangesThatDoNotArrive(t *testing.T) {
	runSeeds(t, undeliveredSeeds, func(t *testing.T, block int, seed uint64) {
		s := newSeries(t, block)
		s.addIdleRoutes(idleRoutes)
		s.run(seed, s.changePaces, s.storm)
	})
}

// storm writes versions in quick succession, and checks the last one later.
func (s *series) storm(r *rand.Rand) time.Duration {
	for range 1 + r.IntN(maxStorm) {
		s.writeVersion(r.IntN(2) == 0)
		time.Sleep(stormGap)
	}
	s.checkLater()
	return time.Duration(50+r.IntN(1500)) * time.Millisecond
}

// changePaces changes how the store sends responses again and again.
func (s *series) changePaces(r *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		s.store.SetPace(paces[r.IntN(len(paces))])
		time.Sleep(time.Duration(1000+r.IntN(4000)) * time.Millisecond)
	}
}
