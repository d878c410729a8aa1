package admission

import (
	"slices"
	"testing"
	"time"
)

// overload lets one request be admitted every 10 ms for a second, by priority 1, with two
// requests waiting. The next key is returned.
func overload(t *testing.T, g *Gate[int]) (now time.Duration, key int) {
	t.Helper()
	arrive(t, g, 0, opening(0, 1, time.Hour), Admit)
	arrive(t, g, 0, opening(1, 1, time.Hour), Wait)
	arrive(t, g, 0, opening(2, 1, time.Hour), Wait)
	for key = 3; now < time.Second; key++ {
		now += 10 * ms
		g.Done(now, home, ms)
		if got := drain(g, now); len(got) != 1 {
			t.Fatalf("released %v, want one", got)
		}
		arrive(t, g, now, opening(key, 1, time.Hour), Wait)
	}
	return now, key
}

// Guards against rejections of requests that can be served, and against letting hopeless ones
// wait.
func TestRejectedByRate(t *testing.T) {
	g := gateWith(1)
	now, key := overload(t, g) // 100 a second
	for i := range 10 {
		arrive(t, g, now, opening(key+i, 1, 95*ms), Wait)
	}
	key += 10
	arrive(t, g, now, opening(key, 2, 100*ms), Wait)
	for _, c := range []struct {
		name string
		r    Request[int]
		want Verdict
	}{
		{"11 in 95 ms do not fit", opening(key+1, 1, 95*ms), Reject},
		{"11 in 105 ms fit", opening(key+2, 1, 105*ms), Wait},
		{"before others", opening(key+3, 1, 25*ms), Wait},
		{"an eighth is left to the less urgent", opening(key+4, 2, 110*ms), Wait},
		{"and no more", opening(key+5, 2, 110*ms), Reject},
		{"only the same priority is ahead", opening(key+6, 3, 10*ms), Wait},
		{"open flow", onFlow(key+7, 1, 95*ms, home), Wait},
		{"more urgent", opening(key+8, 0, ms), Wait},
	} {
		if v, _ := g.Arrive(now, c.r); v != c.want {
			t.Errorf("%s: %v, want %v", c.name, v, c.want)
		}
	}
	want := [Priorities]uint64{1: 1, 2: 1}
	if s := g.Stats(); s.Rejected != want {
		t.Errorf("rejected %v, want %v", s.Rejected, want)
	}
}

// Guards against keeping requests that more urgent ones have made hopeless.
func TestRejectedLater(t *testing.T) {
	g := gateWith(1)
	now, key := overload(t, g)
	for i := range 5 {
		arrive(t, g, now, opening(key+i, 1, 55*ms), Wait)
	}
	if got := drain(g, now); got != nil {
		t.Fatalf("released %v, want none", got)
	}
	for i := range 4 {
		arrive(t, g, now, opening(key+10+i, 0, 55*ms), Wait)
	}
	var rejected []int
	early := 0 // rejected before the longest wait has ended
	for range 6 {
		now += 10 * ms
		g.Done(now, home, ms)
		g.Tick(now)
		for _, r := range drain(g, now) {
			if r.Verdict == Reject {
				rejected = append(rejected, r.Key-key)
				if r.Waited < 55*ms {
					early++
				}
			}
		}
	}
	slices.Sort(rejected)
	if !slices.Equal(rejected, []int{1, 2, 3, 4}) {
		t.Errorf("rejected %v of 5, want all but the first, which is served after 50 ms", rejected)
	}
	if early < 3 {
		t.Errorf("%d rejected before their wait ended, want at least 3", early)
	}
}

// Guards against rejections before a rate is known: admissions before a burst show the demand,
// and a few that follow show chance.
func TestUnknownRateRejectsNothing(t *testing.T) {
	g := gateWith(1)
	var now time.Duration
	for now = 0; now < 400*ms; now += 40 * ms { // 25 a second, of which each waits for a moment
		arrive(t, g, now, opening(1, 1, ms), Admit)
		arrive(t, g, now, opening(2, 1, ms), Wait)
		g.Done(now+ms, home, ms)
		drain(g, now+ms)
		g.Done(now+ms, home, ms)
	}
	arrive(t, g, now, opening(1, 1, ms), Admit)
	for i := range 100 {
		arrive(t, g, now, opening(i+2, 1, 200*ms), Wait)
	}
	for i := range 3 {
		now += 30 * ms
		g.Tick(now)
		if got := drain(g, now); got != nil {
			t.Fatalf("released %v after %d answers, want none", got, i)
		}
		g.Done(now, home, ms)
		if got := drain(g, now); len(got) != 1 || got[0].Verdict != Admit {
			t.Fatalf("released %v at an answer, want one admitted", got)
		}
	}
	now += 60 * ms
	g.Done(now, home, ms) // the fourth in 150 ms, with 50 ms left: 1.3 more
	g.Tick(now)
	if n := len(drain(g, now)) - 1; n != 94 {
		t.Errorf("%d of 96 rejected when the rate is known, want all but 2", n)
	}
}

// Guards against openings that are rejected by the rate of the past while answers show that the
// targets do not queue, so that the next tick adds places.
func TestNothingIsRejectedWhilePlacesGrow(t *testing.T) {
	for _, c := range []struct {
		home, far float64 // ratios of the answers
		factor    factor
		rejects   bool
	}{
		{home: 1.4, far: 2, factor: normalFactor},
		{home: 1.4, far: 2, factor: maxFactor, rejects: true},
		{home: 1.6, far: 1.4, factor: normalFactor},
		{home: 4, far: 2.9, factor: normalFactor},
		{home: 1.6, far: 1.6, factor: normalFactor, rejects: true},
	} {
		g := gateWith(1, 4)
		g.pools[home].factor = c.factor
		g.pools[home].speed.value, g.pools[1].speed.value = c.home, c.far
		for i := range 40 {
			g.Arrive(0, opening(i, 1, 50*ms))
		}
		rejected := 0
		for now := 10 * ms; now <= 200*ms; now += 10 * ms {
			g.Answered(now, home, c.home)
			g.Answered(now, 1, c.far)
			g.Done(now, home, ms)
			g.review = true
			for r, ok := g.Next(now); ok; r, ok = g.Next(now) {
				if r.Verdict == Reject {
					rejected++
				}
			}
		}
		if (rejected > 0) != c.rejects {
			t.Errorf("%+v: %d rejected", c, rejected)
		}
	}
}
