package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/edge"
	"rosedale.dev/rosedale/internal/standin/direct"
)

const (
	// seriesTime is how long changes are made in series.
	seriesTime = 12 * time.Second
	// applyTime is the time within which a change has to be in force.
	applyTime = 3 * time.Second
	// calmTime is how long after a disturbance of its process a balancer has to keep to
	// applyTime again.
	calmTime = 4 * time.Second
)

// series makes changes and checks when they are in force.
type series struct {
	*world
	calmSince []time.Time // by balancer; guarded by world.mu
	checks    sync.WaitGroup
	checked   int // guarded by world.mu
}

// runSeeds runs a test with the seeds given and with further random ones, whose number is that of
// TestSoak.
func runSeeds(t *testing.T, seeds []uint64, run func(t *testing.T, block int, seed uint64)) {
	seeds = append([]uint64{}, seeds...)
	for range freshSeeds(t) {
		seeds = append(seeds, rand.Uint64())
	}
	for i, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			run(t, i+1, seed)
		})
	}
}

// newSeries starts a deployment whose balancers are disturbed one after another.
func newSeries(t *testing.T, block int) *series {
	t.Helper()
	s := &series{world: newSilenceableWorld(t, block)}
	s.calmSince = make([]time.Time, len(s.nodes))
	return s
}

// run makes changes beside a trouble and beside disturbed balancers, and checks afterwards that all
// balancers have recovered. change makes one change and returns the pause after it.
func (s *series) run(seed uint64, trouble func(*rand.Rand, time.Time), change func(*rand.Rand) time.Duration) {
	for i := range 3 {
		s.callers.Add(1)
		go s.runCaller(rand.New(rand.NewPCG(seed, uint64(100+i))), rand.New(rand.NewPCG(seed, uint64(200+i))), i)
	}
	time.Sleep(calmTime)
	end := time.Now().Add(seriesTime)
	var background sync.WaitGroup
	background.Go(func() { trouble(rand.New(rand.NewPCG(seed, 21)), end) })
	background.Go(func() { s.disturb(rand.New(rand.NewPCG(seed, 22)), end) })
	r := rand.New(rand.NewPCG(seed, 23))
	for time.Now().Before(end) {
		time.Sleep(change(r))
	}
	background.Wait()
	s.checks.Wait()
	s.store.SetPace(direct.Pace{})
	s.writeVersion(true)
	time.Sleep(settleTime)
	s.stopCallers()
	s.checkRecovered(false)
	s.t.Logf("seed %d: %d requests, %d answered; %d checks of a version; %v", seed, s.sent.Load(), s.answered.Load(), s.checked, s.faultCounts)
}

// writeVersion writes a version of the desired state with or without the extra route.
func (s *series) writeVersion(extra bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = extra
	s.changeCatalogue()
}

// checkLater checks the present version after applyTime.
func (s *series) checkLater() {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.version
	s.checks.Go(func() {
		time.Sleep(applyTime)
		s.checkVersion(version)
	})
}

// checkVersion checks that the version, which was written applyTime ago, is in force at all
// balancers that have been calm.
func (s *series) checkVersion(version int) {
	now := time.Now()
	for i, n := range s.nodes {
		s.mu.Lock()
		calm := !n.down && now.Sub(s.calmSince[i]) > calmTime
		s.checked++
		s.mu.Unlock()
		if !calm {
			continue
		}
		got, err := n.version()
		s.mu.Lock()
		calm = !n.down && s.calmSince[i].Before(now)
		s.mu.Unlock()
		if calm && (err != nil || got < int64(version)) {
			s.t.Errorf("balancer %s has version %d (%v) %v after version %d was written", n.addr, got, err, applyTime, version)
		}
	}
}

// version returns the version in force at a balancer.
func (n *node) version() (int64, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + net.JoinHostPort(n.addr.String(), edge.AdminPort) + edge.StatusPath)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var status edge.Status
	err = json.NewDecoder(resp.Body).Decode(&status)
	return status.Version, err
}

// disturb kills, stops or pauses one balancer after another.
func (s *series) disturb(r *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		i, kind := r.IntN(len(s.nodes)), r.IntN(3)
		n := s.nodes[i]
		if time.Since(n.started) < signalGrace {
			continue
		}
		s.mu.Lock()
		s.faultCounts[[]string{"kill", "term", "pause"}[kind]]++
		n.down = true
		s.mu.Unlock()
		_ = n.cmd.Process.Signal([]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGSTOP}[kind])
		time.Sleep(time.Duration(300+r.IntN(2000)) * time.Millisecond)
		if kind == 2 {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
		} else {
			<-n.ended
		}
		s.mu.Lock()
		if kind != 2 {
			s.start(n)
		}
		n.down = false
		s.calmSince[i] = time.Now()
		s.mu.Unlock()
	}
}
