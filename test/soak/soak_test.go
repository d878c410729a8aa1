// Package soak runs balancers as real processes and injects random faults while
// callers use open and new flows. During and after the faults it checks, at callers
// and targets, that no guarantee is violated.
package soak

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// regressions lists the seeds that failed before a fault was fixed.
var regressions = []uint64{
	// A target had just registered while the store was slow. A balancer that had
	// not received the registration reset flows that others had opened there.
	2,
	2741705829797151432,
	// A signal 1 ms after the start of a process ended it, and it was not started
	// again. The seeds 4116564383361792273 and 12839547385569337787, which are not
	// listed, failed in the same way.
	12394035969135028012,
	15839160413560902178,
	3379556818896069025,
	// A balancer was paused after a restore of the store. The heartbeats that waited in its
	// socket made old copies count as current, and others reset flows of an added target.
	8628029741762727042,
}

const (
	faultTime  = 10 * time.Second // in which faults begin
	settleTime = 5 * time.Second  // after the last fault, until all guarantees must hold again
)

// TestSoak runs the regressions and some random seeds. The environment variable
// SOAK_SEEDS sets the number of random seeds, SOAK_BALANCERS the number of balancers
// in each run.
func TestSoak(t *testing.T) { runSeeds(t, regressions, soak) }

// freshSeeds returns the number of random seeds.
func freshSeeds(t *testing.T) int { return envNumber(t, "SOAK_SEEDS", 1) }

// envNumber returns the number in an environment variable, or fallback if it is not set.
func envNumber(t *testing.T, name string, fallback int) int {
	v := os.Getenv(name)
	if v == "" {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// soak runs one seed. The block selects its loopback addresses.
func soak(t *testing.T, block int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := newWorld(t, block)
	for i := range 6 {
		w.callers.Add(1)
		go w.runCaller(rand.New(rand.NewPCG(seed, uint64(100+i))), rand.New(rand.NewPCG(seed, uint64(200+i))), i)
	}
	time.Sleep(time.Second)
	end := time.Now().Add(faultTime)
	var background sync.WaitGroup
	background.Go(func() { w.toggleEvacuation(rand.New(rand.NewPCG(seed, 8)), end) })
	if os.Getenv("SOAK_OLD") == "" { // older versions do not support eras
		background.Go(func() { w.restoreBackups(rand.New(rand.NewPCG(seed, 9)), end) })
	}
	background.Go(func() { w.repeatOverloads(rand.New(rand.NewPCG(seed, 10)), end) })
	background.Go(func() { w.silenceRepeatedly(rand.New(rand.NewPCG(seed, 13)), end) })
	background.Go(func() { w.slowTargets(rand.New(rand.NewPCG(seed, 11)), end) })
	for time.Now().Before(end) {
		w.injectFault(rng)
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
	}
	w.endFaults()
	background.Wait()
	evacuated := w.evacuate()
	time.Sleep(settleTime)
	if os.Getenv("SOAK_OLD") == "" { // older versions do not limit the load of targets
		w.checkOverload(rand.New(rand.NewPCG(seed, 12)))
	}
	w.stopCallers()
	w.checkRecovered(evacuated)
	w.checkRejections()
	w.reportOverload()
	t.Logf("seed %d: %d requests, %d answered, %d lost with their target or balancer; faults: %v",
		seed, w.sent.Load(), w.answered.Load(), w.lost.Load(), w.faultCounts)
	if t.Failed() {
		t.Logf("logs of the balancers are in %s; run it again with seed %d in regressions", w.dir, seed)
	}
	if w.answered.Load() < w.sent.Load()/2 {
		t.Errorf("only %d of %d requests were answered", w.answered.Load(), w.sent.Load())
	}
}
