package direct

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// sequentialCaller sends one request after another to the targets of a fixture in turn, so that
// no target has another request in flight that would show it alive.
type sequentialCaller struct {
	*fixture
	rng    *rand.Rand
	ports  []uint16   // by flow, of which each target has one
	ids    []TargetID // by flow
	seq    []uint32
	ack    []uint32
	turn   int
	checks int // of living targets
	beyond int // requests of askMany that took longer than maxTailTimeout
}

const (
	// callerGoal is the goal of the route of newSequentialCaller.
	callerGoal = 400 * time.Millisecond
	// requestInterval is the time between two requests of a sequentialCaller: 15 requests a
	// second are what one of 27 balancers sees in a quiet hour.
	requestInterval = time.Second / 15
	// overdueTick is the interval at which overdue requests are looked for. Any packet does
	// that too, so it is shorter than the interval of Tick.
	overdueTick = 10 * time.Millisecond
)

// newSequentialCaller opens a flow to each of n targets on a route with the given goal.
func newSequentialCaller(t *testing.T, n int, goal time.Duration) *sequentialCaller {
	c := &sequentialCaller{fixture: newFixture(t, manyTargets(n)...), rng: rand.New(rand.NewPCG(1, 2))}
	cat := testCatalogue()
	r := cat.Routes[streams]
	r.Goal = goal
	cat.Routes[streams] = r
	cat.IdleTimeout = time.Hour
	c.f.SetCatalogue(cat)
	c.f.SetBalancers("b", nil) // no other balancer shares the targets, so that nothing waits
	for port := uint16(1); len(c.ids) < n; port++ {
		id := c.openFlow(port, streams)
		if slices.Contains(c.ids, id) {
			continue
		}
		c.ports = append(c.ports, port)
		c.ids = append(c.ids, id)
		c.seq = append(c.seq, 101)
		c.ack = append(c.ack, 1000)
	}
	return c
}

// send sends a request on the flow of the current turn.
func (c *sequentialCaller) send() {
	c.sendRequest(c.ports[c.turn], streams, c.ids[c.turn], c.seq[c.turn], c.ack[c.turn])
}

// wait passes time with ticks, and answers the checks that become due. It returns how long after
// its start the first one did, or -1.
func (c *sequentialCaller) wait(d time.Duration) time.Duration {
	first := time.Duration(-1)
	began := c.now
	for end := c.now + d; c.now < end; {
		c.now = min(c.now+overdueTick, end)
		c.f.Tick(c.now)
		for _, x := range c.f.TargetsToCheck(c.now) {
			if first < 0 {
				first = c.now - began
			}
			c.checks++
			c.f.Checked(c.now, x.Start(), Alive)
		}
	}
	return first
}

// ask sends a request that is answered after a time.
func (c *sequentialCaller) ask(took time.Duration) {
	c.send()
	c.wait(took)
	c.seq[c.turn] += 300
	c.ack[c.turn] += 2000
	s := packet(c.ports[c.turn], streams, ACK, c.ids[c.turn].Cookie())
	s.Seq, s.Ack = c.seq[c.turn], c.ack[c.turn]
	c.handle(s)
	c.turn = (c.turn + 1) % len(c.ids)
	c.wait(requestInterval)
}

// askMany sends n requests with long-tailed response times, times a factor, and returns the
// number of checks: 26 ms at targets of 0.6, 1.0 and 1.6 of the normal speed, and seven times as
// long for 3 % of the requests.
func (c *sequentialCaller) askMany(n int, factor float64) int {
	before := c.checks
	for range n {
		took := 26 * float64(time.Millisecond) * factor / []float64{0.6, 1, 1.6}[c.turn%3]
		if c.rng.Float64() < 0.03 {
			took *= 7
		}
		if took > float64(maxTailTimeout) {
			c.beyond++
		}
		c.ask(time.Duration(took))
	}
	return c.checks - before
}

// Three of 100 requests take seven times as long. Such a request must not cause a check, which
// takes a slot, once the route's tail is known, unless it takes longer than maxTailTimeout.
// Without a goal the route keeps the usual timeout, with which each of them causes one.
func TestLongTailCausesNoChecks(t *testing.T) {
	const warmUp, requests = 1000, 3000
	checks := map[time.Duration]int{}
	for _, goal := range []time.Duration{0, callerGoal} {
		c := newSequentialCaller(t, 9, goal)
		learning := c.askMany(warmUp, 1)
		c.beyond = 0
		checks[goal] = c.askMany(requests, 1)
		t.Logf("goal %v: %d checks in %d requests, of which %d took longer than %v; %d checks in %d requests before", goal, checks[goal], requests, c.beyond, maxTailTimeout, learning, warmUp)
		// The estimate varies: between two requests of the tail it may fall too low for the next.
		if tail := checks[0] - c.beyond; goal > 0 && checks[goal] > c.beyond+tail/20 {
			t.Errorf("%d checks, but only %d requests took longer than %v", checks[goal], c.beyond, maxTailTimeout)
		}
	}
	if checks[0] < requests*2/100 {
		t.Errorf("%d checks without a goal: the tail is too short for this test", checks[0])
	}
}

// All targets have the same speed. No request of the tail may cause a check.
func TestTailOfEqualTargetsCausesNoChecks(t *testing.T) {
	c := newSequentialCaller(t, 9, callerGoal)
	ask := func(n int) int {
		before := c.checks
		for range n {
			took := 26 * time.Millisecond
			if c.rng.Float64() < 0.03 {
				took *= 7
			}
			c.ask(took)
		}
		return c.checks - before
	}
	learning := ask(1000)
	if n := ask(3000); n > 0 {
		t.Errorf("%d checks in 3,000 requests, %d in the 1,000 before", n, learning)
	}
}

// A target becomes silent on a route with a long tail. It must be checked within maxTailTimeout
// though nothing is retransmitted, and at once when the caller retransmits.
func TestSilentTargetIsFoundDespiteTail(t *testing.T) {
	c := newSequentialCaller(t, 9, callerGoal)
	c.askMany(1000, 1)
	if x := c.f.overdueTimeout(c.f.baselineOf(streams)); x < 2*minRequestTimeout || x > maxTailTimeout {
		t.Errorf("the timeout is %v, want up to %v with this tail", x, maxTailTimeout)
	}
	c.send()
	if first := c.wait(time.Second); first < 0 || first > maxTailTimeout+overdueTick {
		t.Errorf("first check after %v, want within %v", first, maxTailTimeout)
	}
	c.turn++
	c.send()
	c.wait(190 * time.Millisecond)
	c.now += 10 * time.Millisecond
	c.send()
	due, checked := c.f.ChecksDue(), c.f.TargetsToCheck(c.now)
	if !due || len(checked) != 1 {
		t.Errorf("due %v, checked %v at the first retransmission, want the silent target", due, checked)
	}
}

// A service is saturated, and its answers take three times as long in full queues. Its targets
// must not be checked more often than before: each check takes a slot when there are none.
// Afterwards a silent target is found as soon as before.
func TestSaturatedServiceIsCheckedNoMoreOften(t *testing.T) {
	const requests = 2000
	checks := map[bool]int{} // by whether the saturation is reported
	for _, reported := range []bool{false, true} {
		c := newSequentialCaller(t, 9, callerGoal)
		c.f.service("s").gate, c.f.gates = nil, nil // they would overwrite the reported saturation
		c.askMany(1000, 2)
		quiet := c.askMany(requests, 2)
		if reported {
			c.f.service("s").saturation = 3
		}
		checks[reported] = c.askMany(requests, 6)
		t.Logf("reported %v: %d checks in %d quiet requests, %d while saturated", reported, quiet, requests, checks[reported])
		if reported && checks[true] > quiet {
			t.Errorf("%d checks while saturated, %d before", checks[true], quiet)
		}
		c.f.service("s").saturation = 0
		c.askMany(500, 1)
		c.send()
		if first := c.wait(time.Second); reported && (first < 0 || first > maxTailTimeout+overdueTick) {
			t.Errorf("first check of a silent target after %v", first)
		}
	}
	if checks[false] <= checks[true] {
		t.Errorf("%d checks without the report of saturation, %d with it: the load is too low for this test", checks[false], checks[true])
	}
}

// The estimate of the tail must come near the 0.99 quantile whatever it starts from, as the
// timeout of requests follows it.
func TestTailEstimate(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var b baseline
	learn := func(n int, factor float64) (mean float64) {
		for range n {
			took := time.Duration((0.5 + rng.ExpFloat64()/2) * factor * float64(30*time.Millisecond))
			b.learn(took, 1000)
			b.learnTail(took)
			mean += b.tailTime / float64(n)
		}
		return mean
	}
	for _, factor := range []float64{1, 4, 0.5} {
		learn(2000, factor)
		got := learn(5000, factor)
		want := (0.5 + 4.605/2) * factor * float64(30*time.Millisecond) // -ln(0.01) = 4.605
		t.Logf("factor %v: %.1f ms, want %.1f ms", factor, got/1e6, want/1e6)
		if got < want*0.75 || got > want*1.33 {
			t.Errorf("factor %v: the mean estimate is %.1f ms, want about %.1f ms", factor, got/1e6, want/1e6)
		}
	}
}
