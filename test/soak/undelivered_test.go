package soak

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
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
// Each last version has to be in force in time at every balancer that is not disturbed itself. The
// number of further random seeds is that of TestSoak.
func TestChangesThatDoNotArrive(t *testing.T) {
	seeds := append([]uint64{}, undeliveredSeeds...)
	for range freshSeeds(t) {
		seeds = append(seeds, rand.Uint64())
	}
	for i, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			changesThatDoNotArrive(t, i+1, seed)
		})
	}
}

func changesThatDoNotArrive(t *testing.T, block int, seed uint64) {
	s := &series{world: newSilenceableWorld(t, block)}
	s.calmSince = make([]time.Time, len(s.nodes))
	for i := range idleRoutes {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(i / 200), byte(i%200 + 1)}), 443)
		s.idle = append(s.idle, direct.Route{Address: at, Service: serviceOf[previews]})
	}
	for i := range 3 {
		s.callers.Add(1)
		go s.runCaller(rand.New(rand.NewPCG(seed, uint64(100+i))), rand.New(rand.NewPCG(seed, uint64(200+i))), i)
	}
	time.Sleep(calmTime)
	end := time.Now().Add(seriesTime)
	var background sync.WaitGroup
	background.Go(func() { s.changePaces(rand.New(rand.NewPCG(seed, 31)), end) })
	background.Go(func() { s.disturb(rand.New(rand.NewPCG(seed, 32)), end) })
	r := rand.New(rand.NewPCG(seed, 33))
	for time.Now().Before(end) {
		s.storm(r)
		time.Sleep(time.Duration(50+r.IntN(1500)) * time.Millisecond)
	}
	background.Wait()
	s.checks.Wait()
	s.store.SetPace(direct.Pace{})
	s.mu.Lock()
	s.extra = true
	s.changeCatalogue()
	s.mu.Unlock()
	time.Sleep(settleTime)
	s.stopCallers()
	s.checkRecovered(false)
	t.Logf("seed %d: %d requests, %d answered; %d checks of a version; %v", seed, s.sent.Load(), s.answered.Load(), s.checked, s.faultCounts)
}

// storm writes versions in quick succession, and checks the last one later.
func (s *series) storm(r *rand.Rand) {
	for range 1 + r.IntN(maxStorm) {
		s.mu.Lock()
		s.extra = r.IntN(2) == 0
		s.changeCatalogue()
		s.mu.Unlock()
		time.Sleep(stormGap)
	}
	s.checkLater()
}

// changePaces changes how the store sends responses again and again.
func (s *series) changePaces(r *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		s.store.SetPace(paces[r.IntN(len(paces))])
		time.Sleep(time.Duration(1000+r.IntN(4000)) * time.Millisecond)
	}
}
