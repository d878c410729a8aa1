package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

const (
	// goal and timeout are those of all routes.
	goal    = 500 * time.Millisecond
	timeout = 2 * time.Second
	// usualWork is the time for which a target of usual speed works on a request.
	usualWork = 20 * time.Millisecond
	// slowness is the factor of the work time of a target that has turned slow.
	slowness = 5
	// lesserPerSlot is the number of callers with less urgent requests for each slot of the
	// usable targets. A target holds 5 requests for each of its 2 slots, with its queue. With
	// 10 callers, repetitions serve nine tenths of the urgent requests without admission.
	lesserPerSlot = 30
	// slotsPerUrgent is the number of slots for each caller with urgent requests. One
	// request at a time uses one slot, so that the urgent requests fit alone.
	slotsPerUrgent = 4
	// maxAttempts is how often a caller of the platform sends a request that is rejected.
	maxAttempts = 3
	// rejectedPause is the mean pause after a request that was rejected maxAttempts times. It
	// bounds the load of the machine.
	rejectedPause = 300 * time.Millisecond
	// minServed is the share of the requests that must be answered within their goal: of
	// the urgent ones during an overload, and of all when service is normal.
	minServed = 0.9
	// recoveryTime is the time after an overload until service must be normal.
	recoveryTime = 3 * time.Second
)

// speeds are the work times of targets relative to usualWork. Nothing reports them.
var speeds = [...]float64{0.6, 1, 1.6}

// workTime returns the work time of the n-th target. Each service has targets of each speed
// in each data centre.
func workTime(n int) time.Duration {
	return time.Duration(speeds[n/4%len(speeds)] * float64(usualWork))
}

// workloads lists the routes of an overload, by service.
var workloads = []struct {
	service        string
	urgent, lesser netip.AddrPort
}{{"catalogue", urgentPreviews, previews}, {"scan-store", notes, archive}}

// tally counts requests by their outcome, repetitions included in the request.
type tally struct {
	requests, inGoal, late, rejected, failed atomic.Int64
}

func (t *tally) String() string {
	return fmt.Sprintf("%d requests: %d in goal, %d late, %d rejected, %d failed",
		t.requests.Load(), t.inGoal.Load(), t.late.Load(), t.rejected.Load(), t.failed.Load())
}

// count counts a request that took so long and ended with err.
func (t *tally) count(took time.Duration, err error) {
	t.requests.Add(1)
	switch {
	case isRejection(err):
		t.rejected.Add(1)
	case err != nil:
		t.failed.Add(1)
	case took > goal:
		t.late.Add(1)
	default:
		t.inGoal.Add(1)
	}
}

// served reports whether enough requests were answered within their goal.
func (t *tally) served() bool {
	return float64(t.inGoal.Load()) >= minServed*float64(t.requests.Load())
}

// overload runs additional callers for a time. They open more flows to one service than its
// targets can hold.
func (w *world) overload(r *rand.Rand, d time.Duration) (urgent, lesser *tally) {
	load := workloads[r.IntN(len(workloads))]
	slots := w.usableSlots(load.service)
	urgent, lesser = &tally{}, &tally{}
	if slots == 0 {
		return urgent, lesser
	}
	until := time.Now().Add(d)
	var callers sync.WaitGroup
	run := func(n int, to netip.AddrPort, t *tally) {
		for range n {
			rng := rand.New(rand.NewPCG(r.Uint64(), 0))
			callers.Go(func() { w.runLoadCaller(rng, to, t, until) })
		}
	}
	run(max(1, slots/slotsPerUrgent), load.urgent, urgent)
	run(lesserPerSlot*slots, load.lesser, lesser)
	callers.Wait()
	w.t.Logf("overload of %s with %d slots: urgent %v; less urgent %v", load.service, slots, urgent, lesser)
	return urgent, lesser
}

// usableSlots returns the number of slots of a service's targets that new flows can use.
func (w *world) usableSlots(service string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, x := range w.targets {
		if x.service == service && !x.ended.Load() && x.draining.IsZero() && !(w.evacuated && x.dataCenter == "b") {
			n += x.Reg.Slots
		}
	}
	return n
}

// runLoadCaller sends requests one after another, each on a flow of its own.
func (w *world) runLoadCaller(rng *rand.Rand, to netip.AddrPort, t *tally, until time.Time) {
	c := w.loadCallers[rng.IntN(len(w.loadCallers))]
	pause := 20 * time.Millisecond
	for {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * pause))))
		if time.Now().After(until) {
			return
		}
		took, err := w.requestWithRetries(rng, c, to)
		t.count(took, err)
		pause = 20 * time.Millisecond
		if isRejection(err) {
			pause = rejectedPause
		}
	}
}

// requestWithRetries sends a request as callers of the platform do: at once again, on a new
// flow, if it was rejected. It returns the time since the first attempt and the last error.
func (w *world) requestWithRetries(rng *rand.Rand, c *direct.Caller, to netip.AddrPort) (time.Duration, error) {
	began := time.Now()
	for i := 1; ; i++ {
		_, err := w.requestOnNewFlow(rng, c, to)
		if !isRejection(err) || i == maxAttempts {
			return time.Since(began), err
		}
	}
}

// requestOnNewFlow sends a request on a flow of its own. All packets of the flow pass through
// one balancer while that is ready, as the platform's routers hash by flow. It also returns
// the flow's address at the caller.
func (w *world) requestOnNewFlow(rng *rand.Rand, c *direct.Caller, to netip.AddrPort) (netip.AddrPort, error) {
	body := fmt.Sprintf("l%d", w.loadRequests.Add(1))
	n := w.chooseBalancer(rng)
	via := func() netip.AddrPort {
		if !n.ready.Load() {
			n = w.chooseBalancer(rng)
		}
		return n.data()
	}
	fl, err := c.Open(to, via())
	if errors.Is(err, direct.ErrReset) {
		w.noteRejection(fl, to, body)
		return fl.Local(), errRefused
	}
	if err != nil {
		return fl.Local(), err
	}
	defer fl.Close()
	return fl.Local(), w.ask(fl, to, body, timeout, via)
}

// repeatOverloads overloads the deployment repeatedly, in parallel to the faults. Only what
// holds beside faults too is checked. It has a random generator of its own, so that a seed
// always gives the same faults.
func (w *world) repeatOverloads(r *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
		w.mu.Lock()
		w.faultCounts["overload"]++
		w.mu.Unlock()
		w.overload(r, time.Duration(1000+r.IntN(2000))*time.Millisecond)
	}
}

// slowTargets turns targets slow for a time, one after another, in parallel to the faults.
// It has a random generator of its own, so that a seed always gives the same faults.
func (w *world) slowTargets(r *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
		w.mu.Lock()
		w.faultCounts["target slow"]++
		i := r.IntN(len(w.targets))
		x := w.targets[i]
		w.mu.Unlock()
		x.SetWork(slowness * workTime(i))
		time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
		x.SetWork(workTime(i))
	}
}

// checkOverload overloads the deployment while there is no other fault. Of the urgent
// requests, minServed must be answered within their goal. Service must be normal
// recoveryTime after the overload.
func (w *world) checkOverload(r *rand.Rand) {
	urgent, _ := w.overload(r, 3*time.Second)
	if !urgent.served() {
		w.overloadFailed("urgent requests during an overload: %v; want %v in goal", urgent, minServed)
	}
	time.Sleep(recoveryTime)
	t := &tally{}
	for range 10 {
		for _, to := range []netip.AddrPort{previews, notes, urgentPreviews, archive} {
			began := time.Now()
			caller, err := w.requestOnNewFlow(r, w.loadCallers[0], to)
			t.count(time.Since(began), err)
			if err != nil {
				w.t.Logf("request to %v from %v: %v", to, caller, err)
				w.trace(caller)
			}
		}
	}
	if !t.served() || t.rejected.Load()+t.failed.Load() > 0 {
		w.overloadFailed("%v after an overload: %v; want all answered, %v in goal", recoveryTime, t, minServed)
	}
}

// errRefused is the error of a request whose flow was reset before it was open.
var errRefused = errors.New("opening was reset")

// isRejection reports whether a request failed without having run: its flow was reset before
// it was open, or the target answered so.
func isRejection(err error) bool {
	return errors.Is(err, errRefused) || errors.Is(err, direct.ErrNotRun)
}

// overloadFailed records a failed check of the service under overload, which reportOverload
// reports.
func (w *world) overloadFailed(format string, args ...any) {
	failure := fmt.Sprintf(format, args...)
	w.t.Log(failure)
	w.overloadFailures = append(w.overloadFailures, failure)
}

// reportOverload reports the failed checks of the service under overload as a test of its own,
// so that a known failure there does not hide the other guarantees.
func (w *world) reportOverload() {
	w.t.Run("overload", func(t *testing.T) {
		for _, failure := range w.overloadFailures {
			t.Error(failure)
		}
	})
}
