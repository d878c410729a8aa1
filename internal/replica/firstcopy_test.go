package replica

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// All balancers start within 0.3 s after a power failure, and callers wait until each has
// a copy of the store. If all listed the store, the listings would share its link and the
// first copy would take longer the larger the fleet is.
func TestAllStartAtOnce(t *testing.T) {
	for _, n := range []int{30, 100, 300, 600} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newStartSimulation(n, 1)
			w.run()
			if limit := dataCenters * 3; w.listings > limit {
				t.Errorf("%d listings, want at most %d for any fleet size", w.listings, limit)
			}
			if delay := w.delay(0.9); delay > 150*time.Millisecond {
				t.Errorf("90%% have a copy after %v", delay)
			}
			all := newStartSimulation(n, 1)
			all.withoutSources = true
			all.run()
			t.Logf("%d listings, 90%% after %v, all after %v; without sources %d, %v, %v",
				w.listings, w.delay(0.9), w.delay(1), all.listings, all.delay(0.9), all.delay(1))
			if n >= 600 && all.delay(0.9) < 2*w.delay(0.9) {
				t.Errorf("without sources 90%% have a copy after %v, want at least twice the time with sources", all.delay(0.9))
			}
		})
	}
}

// One source of each data centre gets power half a second later. Until then it neither
// refuses connections nor answers. Balancers that asked it first must not wait for it.
func TestSourceWithoutPower(t *testing.T) {
	w := newStartSimulation(300, 2)
	for c := range dataCenters {
		w.vms[c].start = 800 * time.Millisecond
		w.vms[c].powered = 700 * time.Millisecond
	}
	w.run()
	if delay := w.delay(0.9); delay > 200*time.Millisecond {
		t.Errorf("90%% have a copy after %v", delay)
	}
}

// All sources returned by the store are gone. The other balancers list the store, but not
// all at the same moment.
func TestNoSourceLeft(t *testing.T) {
	w := newStartSimulation(300, 3)
	for i := range dataCenters * 3 {
		w.vms[i].start = time.Hour
		w.vms[i].powered = time.Hour
	}
	w.run()
	others := w.vms[dataCenters*3:]
	if w.listings != len(others) {
		t.Errorf("%d listings by %d balancers", w.listings, len(others))
	}
	if delay := copyDelay(others, 1); delay > listDelay+300*time.Millisecond {
		t.Errorf("all have a copy after %v", delay)
	}
}

func TestFirstCopy(t *testing.T) {
	self, a, b := addr(1), addr(2), addr(3)
	t.Run("lists at once without sources", func(t *testing.T) {
		f := NewFirstCopy(self, 0.5)
		if f.MayList(0) {
			t.Error("may list before the store was asked for sources")
		}
		f.SetSources(0, nil, 0)
		if _, ok := f.NextSource(); ok || !f.MayList(0) {
			t.Error("may not list")
		}
	})
	t.Run("lists at once as a source", func(t *testing.T) {
		f := NewFirstCopy(self, 0.5)
		f.SetSources(0, []netip.AddrPort{a, self}, 60)
		if _, ok := f.NextSource(); ok || !f.MayList(0) {
			t.Error("may not list")
		}
	})
	t.Run("asks each twice while none answers", func(t *testing.T) {
		f := NewFirstCopy(self, 0.6)
		f.SetSources(0, []netip.AddrPort{a, b}, 60)
		for _, want := range []netip.AddrPort{b, a, b, a} {
			if got, ok := f.NextSource(); got != want || !ok {
				t.Errorf("asks %v, want %v", got, want)
			}
		}
		if more, ok := f.NextSource(); ok {
			t.Errorf("asks %v while both requests to each source are unanswered", more)
		}
		f.Failed()
		if _, ok := f.NextSource(); !ok {
			t.Error("asks no source after a refusal")
		}
	})
	t.Run("waits for its rank in a new fleet", func(t *testing.T) {
		f := NewFirstCopy(self, 0.5)
		f.Bootstrap(0, []netip.AddrPort{a, b})
		if p := f.Place(time.Second, Place{}); p != LastPlace {
			t.Errorf("place %v", p)
		}
		if p := f.Place(bootstrapRankDelay, Place{}); p != (Place{}) {
			t.Errorf("place %v once all have registered", p)
		}
		seed := NewFirstCopy(a, 0.5)
		seed.Bootstrap(0, []netip.AddrPort{a, b})
		if p := seed.Place(0, Place{}); p != (Place{}) {
			t.Errorf("a seed's place %v", p)
		}
	})
	t.Run("increases the pause between requests", func(t *testing.T) {
		f := NewFirstCopy(self, 0)
		f.SetSources(0, []netip.AddrPort{a, b}, 60)
		var last time.Duration
		for range 12 {
			f.NextSource()
			f.Failed()
			if f.Pause() < last || f.Pause() > maxHedgeDelay {
				t.Fatalf("pause %v after %v", f.Pause(), last)
			}
			last = f.Pause()
		}
		if last != maxHedgeDelay {
			t.Errorf("pause %v", last)
		}
	})
}
