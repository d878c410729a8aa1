package admission

import (
	"math"
	"testing"
	"time"
)

// fill takes all free places of openings and returns how many there were by pool.
func fill(g *Gate[int], now time.Duration, key int) (by [3]int) {
	for {
		key++
		v, p := g.Arrive(now, opening(key, 1, time.Second))
		if v != Admit {
			g.Cancel(key)
			return by
		}
		by[p]++
	}
}

// tickWith ticks g every 100 ms, with an answer of the pool just before each tick.
func tickWith(g *Gate[int], now *time.Duration, ticks int, p Pool, ratio float64) {
	for range ticks {
		*now += 100 * ms
		for range 16 {
			g.Answered(*now, p, ratio)
		}
		g.Tick(*now)
	}
}

// Guards against a factor that does not follow the answers, or that moves while places are free.
func TestFactor(t *testing.T) {
	for _, c := range []struct {
		name   string
		full   bool
		ratio  float64
		silent bool
		ticks  int
		want   float64
	}{
		{"quick", true, 1, false, 3, 1.1 * 1.1 * 1.1},
		{"quick for long", true, 1, false, 100, 4},
		{"as intended", true, 2, false, 100, 1},
		{"slow for long", true, 4, false, 100, 0.5},
		{"places are free", false, 1, false, 100, 1},
		{"no answers", true, 1, true, 100, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, now := gateWith(4), time.Duration(0)
			for range c.ticks {
				if c.full {
					fill(g, now, 0)
				}
				now += 100 * ms
				if !c.silent {
					for range 16 {
						g.Answered(now, home, c.ratio)
					}
				}
				g.Tick(now)
			}
			got := g.Stats().Factor
			if math.Abs(got-c.want) > 1e-9 {
				t.Errorf("factor %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a factor that stays where an overload has left it.
func TestFactorReturns(t *testing.T) {
	for _, ratio := range []float64{1, 4} {
		g, now := gateWith(2), time.Duration(0)
		for range 100 {
			fill(g, now, 0)
			tickWith(g, &now, 1, home, ratio)
		}
		before := g.Stats().Factor
		for range 8 {
			g.Abandon(now, home)
		}
		tickWith(g, &now, 5, home, ratio)
		if got := g.Stats().Factor; math.Abs(math.Abs(got-before)-0.1) > 1e-9 {
			t.Errorf("ratio %v: factor from %v to %v in 5 ticks, want a step of 0.1", ratio, before, got)
		}
		tickWith(g, &now, 200, home, ratio)
		if got := g.Stats().Factor; got != 1 {
			t.Errorf("ratio %v: factor %v after 20 s, want 1", ratio, got)
		}
	}
}

// Guards against smoothing that one long request dominates, that depends on the rate of answers,
// or that does not end.
func TestSmoothedRatio(t *testing.T) {
	s := newSmoothed()
	s.add(0, 1000)
	if got := s.at(0); got != 1+3.0/16 {
		t.Errorf("one long answer: %v, want %v", got, 1+3.0/16)
	}
	now := time.Duration(0)
	for range 100 { // 10 answers a second
		now += 100 * ms
		s.add(now, 3)
	}
	if got := s.at(now); got < 2.9 || got > 3 {
		t.Errorf("answers of 3: %v", got)
	}
	if got := s.at(now + maxGap + time.Second); math.Abs(got-(1+(s.value-1)/math.E)) > 1e-9 {
		t.Errorf("after a second without answers: %v of %v", got, s.value)
	}
}

// Guards against a share below 1 that is rounded up to a place that is always taken.
func TestPace(t *testing.T) {
	for _, c := range []struct {
		share float64
		want  time.Duration // after an answer that took 30 ms
	}{{1, 0}, {0.75, 10 * ms}, {0.5, 30 * ms}, {0.25, 90 * ms}, {1e-9, maxPause}} {
		g := gateWith(c.share)
		arrive(t, g, 0, opening(1, 1, time.Second), Admit)
		arrive(t, g, 0, opening(2, 1, time.Second), Wait)
		g.Done(time.Second, home, 30*ms)
		if c.want > 0 {
			if got := drain(g, time.Second+c.want-1); got != nil {
				t.Errorf("share %v: released %v before %v", c.share, got, c.want)
			}
		}
		if got := drain(g, time.Second+c.want); len(got) != 1 {
			t.Errorf("share %v: released %v after %v, want one", c.share, got, c.want)
		}
	}
}

// Guards against a paced pool that has no mean number in flight of its share.
func TestPaceMean(t *testing.T) {
	g := gateWith(0.4)
	busy, end := 0, time.Duration(-1)
	for now := time.Duration(0); now < 10*time.Second; now += ms {
		if now == end {
			g.Done(now, home, 30*ms)
		}
		v, _ := g.Arrive(now, opening(int(now), 1, time.Hour))
		if v == Admit || len(drain(g, now)) > 0 {
			end = now + 30*ms
		}
		if now < end {
			busy++
		}
	}
	if busy < 3900 || busy > 4100 {
		t.Errorf("busy for %d ms of 10 s, want 4,000", busy)
	}
}

// Guards against use of other data centres while the own one has free places, and against
// sending them more than their answers allow.
func TestFarPools(t *testing.T) {
	g, now := gateWith(2, 3, 5), time.Duration(0)
	tickWith(g, &now, 10, 1, 1)
	if got := fill(g, now, 0); got != [3]int{2, 0, 0} {
		t.Fatalf("places %v, want none in far pools", got)
	}
	tickWith(g, &now, 2, 1, 1)
	if got := fill(g, now, 0); got != [3]int{0, 2, 4} {
		t.Errorf("gained %v in two ticks, want 1 of 3 and 2 of 5 places at each", got)
	}
	tickWith(g, &now, 10, 1, 1) // pool 2 has requests in flight and no answers
	if got := fill(g, now, 0); got != [3]int{0, 1, 0} {
		t.Errorf("gained %v, want pool 1's share and nothing without answers", got)
	}
	g.Abandon(now, home)
	if _, p := g.Arrive(now, opening(9999, 1, time.Second)); p != home {
		t.Errorf("free place of the own data centre not used, but pool %d", p)
	}
	for range 3 {
		for range 40 {
			g.Answered(now, 2, 4)
		}
		tickWith(g, &now, 1, 2, 4)
	}
	for range 4 {
		g.Done(now, 2, ms)
	}
	if got := g.Stats().Pools[2].Places; got != 0 {
		t.Errorf("%d places after slow answers, want 0", got)
	}
	if got := g.Stats().Pools[1].Places; got != 3 {
		t.Errorf("%d places in pool 1, want its share of 3", got)
	}
	g.Abandon(now, home)
	tickWith(g, &now, 10, 1, 1)
	fill(g, now, 0)
	if got := g.Stats().Pools[1].Places; got != 0 {
		t.Errorf("%d far places after a second with free places at home, want 0", got)
	}
}

// Guards against openings that go to a data centre which answers later than this one, and
// against a data centre that is left unused although it answers sooner.
func TestFarPoolsFollowHome(t *testing.T) {
	for _, c := range []struct{ home, far, change float64 }{
		{1, 1.49, gains}, {1, 1.51, keeps}, {1, 1.79, keeps}, {1, 1.81, loses},
		{2, 1.49, gains}, {2, 1.51, keeps}, {2, 1.99, keeps}, {2, 2.01, loses},
		{4, 2.99, gains}, {4, 3.01, keeps}, {4, 3.99, keeps}, {4, 4.01, loses},
	} {
		p := newPool()
		p.setShare(100)
		p.granted, p.answered = 50, true
		p.speed.value = c.far
		p.adjustGranted(0, true, c.home)
		if want := 50 + int(c.change); p.granted != want {
			t.Errorf("home %v, far %v: 50 places become %d, want %d", c.home, c.far, p.granted, want)
		}
	}
}

// The changes of 50 places of a far pool with a share of 100 at a tick.
const (
	gains = 50
	keeps = 0
	loses = -15
)

// Guards against a loss of places other than 30 %.
func TestFarLoss(t *testing.T) {
	for granted, want := range map[int]int{0: 0, 1: 0, 2: 1, 5: 3, 10: 7, 100: 70} {
		p := newPool()
		p.setShare(1000)
		p.granted = granted
		p.speed.value = 2
		p.adjustGranted(0, true, 1)
		if p.granted != want {
			t.Errorf("%d places: %d after a loss, want %d", granted, p.granted, want)
		}
	}
}

// Guards against requests on open flows that wait for a far pool that only has no places for
// openings.
func TestOpenFlowsOfFarPools(t *testing.T) {
	g := gateWith(2, 2)
	arrive(t, g, 0, onFlow(1, 1, ms, 1), Admit)
	arrive(t, g, 0, onFlow(2, 1, ms, 1), Admit)
	arrive(t, g, 0, onFlow(3, 1, ms, 1), Wait)
	if p := arrive(t, g, 0, opening(4, 1, ms), Admit); p != home {
		t.Errorf("opening in pool %d, want the own", p)
	}
	g.Done(0, 1, ms)
	if got := drain(g, 0); len(got) != 1 || got[0].Pool != 1 || got[0].Verdict != Admit {
		t.Errorf("released %v, want 3 in pool 1", got)
	}
}

// Guards against an own data centre that disappears: its requests in flight must not block or
// be counted twice, and far pools must serve at once. Pools come in any order.
func TestPoolDisappears(t *testing.T) {
	g := NewGate[int]()
	g.SetPool(2, 3)
	g.SetPool(home, 2)
	fill(g, 0, 0)
	arrive(t, g, 0, opening(100, 1, time.Second), Wait)
	g.SetPool(home, 0)
	if got := drain(g, 0); len(got) != 1 || got[0].Pool != 2 {
		t.Fatalf("released %v, want 100 in pool 2", got)
	}
	if got := fill(g, 0, 200); got != [3]int{0, 0, 2} {
		t.Errorf("places %v, want the rest of pool 2's share", got)
	}
	g.Done(ms, home, ms)
	g.SetPool(home, 2) // one is still in flight there
	if got := fill(g, ms, 300); got != [3]int{1, 0, 0} {
		t.Errorf("places %v, want one at home and none in pool 2", got)
	}
	g.Move(2, home)
	if s := g.Stats(); s.Pools[0].InFlight != 3 || s.Pools[2].InFlight != 2 {
		t.Errorf("in flight %+v, want 3 and 2", s.Pools)
	}
}

// Guards against requests sent without asking that are not counted.
func TestTake(t *testing.T) {
	g := gateWith(2)
	g.Take(0, home)
	g.Take(0, home)
	g.Take(0, home)
	arrive(t, g, 0, opening(1, 1, time.Second), Wait)
	g.Abandon(0, home)
	if got := drain(g, 0); got != nil {
		t.Errorf("released %v beyond the limit", got)
	}
	g.Abandon(0, home)
	if got := drain(g, 0); len(got) != 1 {
		t.Errorf("released %v, want one", got)
	}
}
