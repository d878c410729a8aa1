package admission

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func opening(key, priority int, maxWait time.Duration) Request[int] {
	return Request[int]{Key: key, Priority: priority, MaxWait: maxWait, Pool: AnyPool}
}

func onFlow(key, priority int, maxWait time.Duration, p Pool) Request[int] {
	return Request[int]{Key: key, Priority: priority, MaxWait: maxWait, Pool: p, Established: true}
}

// gateWith returns a gate with these shares.
func gateWith(shares ...float64) *Gate[int] {
	g := NewGate[int]()
	for p, s := range shares {
		g.SetPool(Pool(p), s)
	}
	return g
}

// arrive sends a request to g and fails the test unless the verdict is want.
func arrive(t *testing.T, g *Gate[int], now time.Duration, r Request[int], want Verdict) Pool {
	t.Helper()
	v, p := g.Arrive(now, r)
	if v != want {
		t.Fatalf("request %d at %v: %v, want %v", r.Key, now, v, want)
	}
	return p
}

// drain returns all releases of now.
func drain(g *Gate[int], now time.Duration) (list []Release[int]) {
	for {
		r, ok := g.Next(now)
		if !ok {
			return list
		}
		list = append(list, r)
	}
}

// served returns the keys of the waiting requests in the order in which single places that
// become free serve them.
func served(g *Gate[int], now time.Duration) (keys []int) {
	for {
		g.Done(now, home, ms)
		list := drain(g, now)
		if len(list) == 0 {
			return keys
		}
		for _, r := range list {
			keys = append(keys, r.Key)
		}
	}
}

// Guards against serving waiting requests in another order than priority, time left, arrival.
func TestOrderOfService(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests []Request[int]
		want     []int
	}{
		{"priority", []Request[int]{opening(1, 2, ms), opening(2, 1, 9*ms), opening(3, 0, 99*ms)}, []int{3, 2, 1}},
		{"time left", []Request[int]{opening(1, 1, 9*ms), opening(2, 1, 5*ms), opening(3, 1, 7*ms)}, []int{2, 3, 1}},
		{"arrival", []Request[int]{opening(3, 1, 5*ms), opening(1, 1, 5*ms), opening(2, 1, 5*ms)}, []int{3, 1, 2}},
		{"open flows", []Request[int]{opening(1, 1, 5*ms), onFlow(2, 1, 4*ms, 0), onFlow(3, 2, ms, 0)}, []int{2, 1, 3}},
	} {
		g := gateWith(1)
		arrive(t, g, 0, opening(99, 0, ms), Admit)
		for _, r := range c.requests {
			arrive(t, g, 0, r, Wait)
		}
		if got := served(g, 0); !slices.Equal(got, c.want) {
			t.Errorf("%s: served %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against starvation of less urgent requests, and against giving them more than an eighth.
func TestLesserShare(t *testing.T) {
	g := gateWith(1)
	arrive(t, g, 0, opening(999, 0, time.Second), Admit)
	for i := range 40 {
		arrive(t, g, 0, opening(i, 0, time.Second), Wait)
	}
	arrive(t, g, 0, opening(102, 2, time.Second), Wait) // longest waiting, though least urgent
	arrive(t, g, 0, opening(101, 1, time.Second), Wait)
	got := served(g, 0)
	if got[7] != 102 || got[15] != 101 || len(got) != 42 {
		t.Errorf("served %v, want 102 as the 8th and 101 as the 16th", got)
	}
	if n := g.Stats().Lesser; n != 2 {
		t.Errorf("%d counted as lesser, want 2", n)
	}
}

// Guards against newcomers that overtake waiting requests between Done and Next.
func TestNewcomerDoesNotOvertake(t *testing.T) {
	g := gateWith(1, 1)
	arrive(t, g, 0, opening(1, 0, ms), Admit)
	arrive(t, g, 0, opening(2, 5, ms), Wait)
	arrive(t, g, 0, onFlow(3, 0, ms, 1), Admit) // which the waiting opening cannot use
	g.Done(0, home, ms)
	arrive(t, g, 0, onFlow(4, 5, ms, home), Wait)
	if got := served(g, 0); !slices.Equal(got, []int{2, 4}) {
		t.Errorf("served %v, want 2 before 4", got)
	}
}

// Guards against limits where none is known: before SetPool, and if no target can be used.
func TestNothingUsableLimitsNothing(t *testing.T) {
	g := NewGate[int]()
	for i := range 1000 {
		arrive(t, g, 0, opening(i, 1, 0), Admit)
		arrive(t, g, 0, onFlow(2000+i, 1, 0, 3), Admit)
	}
	if g.Saturated(0) {
		t.Error("saturated without a limit")
	}

	g = gateWith(1)
	arrive(t, g, 0, opening(1, 1, ms), Admit)
	arrive(t, g, 0, opening(2, 1, ms), Wait)
	g.SetPool(home, 0)
	if got := drain(g, ms); len(got) != 1 || got[0].Verdict != Admit {
		t.Errorf("released %v when the last pool became unusable, want 2 admitted", got)
	}
}

// Guards against waiting or rejecting while a place is free.
func TestFreePlaceIsUsed(t *testing.T) {
	g := gateWith(2.1)
	for i := range 3 { // 2.1 is rounded up
		arrive(t, g, 0, opening(i, 9, 0), Admit)
	}
	arrive(t, g, 0, opening(3, 9, 0), Wait)
	for now := time.Duration(0); now < time.Second; now += 10 * ms { // makes the rate known
		g.Arrive(now, opening(100+int(now/ms), 9, time.Second))
		g.Arrive(now, opening(10000+int(now/ms), 9, time.Second))
		g.Done(now, home, ms)
		drain(g, now)
	}
	for range 2 {
		g.Done(time.Second, home, ms)
	}
	late := 10 * time.Second // all that wait are late
	g.Tick(late)
	got := drain(g, late)
	if got[0].Verdict != Admit || got[1].Verdict != Admit {
		t.Errorf("late requests rejected with two free places: %v", got[:2])
	}
}

// Guards against lost and doubly returned requests when the queue is full.
func TestFullQueue(t *testing.T) {
	g := gateWith(1)
	arrive(t, g, 0, opening(-1, 0, ms), Admit)
	for i := range maxWaiting {
		arrive(t, g, 0, opening(i, 1+i%2, time.Second+time.Duration(i)*ms), Wait)
	}
	arrive(t, g, 0, opening(1000, 2, time.Hour), Reject)
	arrive(t, g, 0, opening(1001, 0, time.Second), Wait)
	if !g.IsWaiting(511) {
		t.Error("an evicted request is not waiting before Next returned it")
	}
	arrive(t, g, 0, opening(511, 1, 0), Wait) // a copy
	got := drain(g, 0)
	if len(got) != 1 || got[0].Key != 511 || got[0].Verdict != Reject {
		t.Fatalf("released %v, want 511 rejected", got)
	}
	arrive(t, g, 0, onFlow(1002, 7, time.Second, home), Wait)
	if !g.Cancel(509) || g.Cancel(509) || g.IsWaiting(509) {
		t.Error("an evicted request was not canceled exactly once")
	}
	if got := drain(g, 0); got != nil {
		t.Errorf("released %v, want none", got)
	}
	seen := map[int]bool{}
	for _, k := range served(g, 0) {
		if seen[k] {
			t.Errorf("%d served twice", k)
		}
		seen[k] = true
	}
	if len(seen) != maxWaiting {
		t.Errorf("%d served, want %d", len(seen), maxWaiting)
	}
}

// Guards against rejections of requests on open flows, and against holding them forever.
func TestForced(t *testing.T) {
	g := gateWith(1)
	arrive(t, g, 0, opening(0, 0, ms), Admit)
	arrive(t, g, 0, opening(1, 0, time.Second), Wait)
	arrive(t, g, 0, onFlow(2, 1, 30*ms, home), Wait)
	if got := drain(g, 29*ms); got != nil {
		t.Fatalf("released %v, want none", got)
	}
	want := Release[int]{Key: 2, Pool: home, Verdict: Forced, Waited: 30 * ms, Priority: 1}
	if got := drain(g, 30*ms); len(got) != 1 || got[0] != want {
		t.Errorf("released %v, want %v", got, want)
	}
	arrive(t, g, 0, onFlow(3, 1, 0, home), Forced)
	if s := g.Stats(); s.Forced[1] != 2 || s.Pools[0].InFlight != 3 {
		t.Errorf("%d forced and %d in flight, want 2 and 3", s.Forced[1], s.Pools[0].InFlight)
	}
}

// Guards against a queue full of requests on open flows that rejects one of them.
func TestFullQueueOfOpenFlows(t *testing.T) {
	g := gateWith(1)
	arrive(t, g, 0, opening(-1, 0, ms), Admit)
	for i := range maxWaiting {
		arrive(t, g, 0, onFlow(i, 1, time.Second, home), Wait)
	}
	arrive(t, g, 0, onFlow(1000, 1, time.Second, home), Forced)
	arrive(t, g, 0, opening(1001, 0, time.Second), Reject)
}

// Guards against copies that lose the place in the queue, and against canceled requests that are
// served.
func TestCopyAndCancel(t *testing.T) {
	g := gateWith(1)
	arrive(t, g, 0, opening(0, 0, ms), Admit)
	for i := 1; i <= 3; i++ {
		arrive(t, g, 0, opening(i, 1, 100*ms), Wait)
	}
	arrive(t, g, ms, opening(1, 1, 100*ms), Wait)
	if !g.Cancel(2) || g.Cancel(2) || g.Cancel(77) {
		t.Error("Cancel does not report whether the request waited")
	}
	if got := served(g, ms); !slices.Equal(got, []int{1, 3}) {
		t.Errorf("served %v, want 1 and 3", got)
	}
}

// Guards against late requests that take the place of one that can meet its goal.
func TestLateYields(t *testing.T) {
	g := gateWith(1)
	arrive(t, g, 0, opening(0, 0, ms), Admit)
	arrive(t, g, 0, opening(1, 0, 5*ms), Wait)
	arrive(t, g, 0, opening(2, 3, time.Second), Wait)
	if got := served(g, 10*ms); !slices.Equal(got, []int{2, 1}) {
		t.Errorf("served %v, want 2 and then 1", got)
	}
}

// Guards against a saturated state that is never entered or never left.
func TestSaturated(t *testing.T) {
	g := gateWith(1)
	arrive(t, g, 0, opening(0, 0, ms), Admit)
	if g.Saturated(0) {
		t.Error("saturated although nothing waited")
	}
	arrive(t, g, time.Second, opening(1, 0, ms), Wait)
	g.Done(2*time.Second, home, ms)
	drain(g, 2*time.Second)
	for at, want := range map[time.Duration]bool{2 * time.Second: true, 4 * time.Second: true, 4*time.Second + 1: false} {
		if got := g.Saturated(at); got != want {
			t.Errorf("saturated at %v: %v", at, got)
		}
	}
}

// Guards against nonsensical calls that corrupt the counts or stop the service.
func TestNonsense(t *testing.T) {
	g := gateWith(1)
	for range 3 {
		g.Done(0, home, -ms)
		g.Abandon(0, 7)
		g.Move(2, home)
	}
	for range 3 {
		g.Done(0, home, ms)
	}
	nan := 0.0
	nan /= nan
	g.SetPool(1, nan)
	g.SetPool(2, -1)
	g.Answered(0, home, nan)
	g.Answered(0, home, -1)
	arrive(t, g, 0, Request[int]{Key: 1, Priority: -3, Pool: -9}, Admit)
	arrive(t, g, 0, opening(2, 1, ms), Wait)
	if r := g.Ratio(0); r != 1 {
		t.Errorf("ratio %v, want 1", r)
	}
	g.SetPool(home, 1e300)
	if got := drain(g, 0); len(got) != 1 {
		t.Errorf("released %v, want one", got)
	}
}
