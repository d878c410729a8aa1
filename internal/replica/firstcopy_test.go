package replica

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// A power failure ends and all balancers start within 0.3 s. Callers wait until each
// has a copy of the store. When all list the store, the listings share its link: the
// first copy takes as long as all of them, and longer the larger the fleet is.
func TestAllStartAtOnce(t *testing.T) {
	for _, n := range []int{30, 100, 300, 600} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newWorld(n, 1)
			w.play()
			if limit := centres * 3; w.listings > limit {
				t.Errorf("%d listings, want at most %d whatever the size", w.listings, limit)
			}
			if late := w.late(0.9); late > 150*time.Millisecond {
				t.Errorf("nine tenths have a copy after %v", late)
			}
			all := newWorld(n, 1)
			all.unguided = true
			all.play()
			t.Logf("listings %d, nine tenths after %v, all after %v; without sources %d, %v, %v",
				w.listings, w.late(0.9), w.late(1), all.listings, all.late(0.9), all.late(1))
			if n >= 600 && all.late(0.9) < 2*w.late(0.9) {
				t.Errorf("the replay shows no gain: %v without sources", all.late(0.9))
			}
		})
	}
}

// One source of each data centre has no power for half a second more: it refuses
// nothing and answers nothing, and those that asked it first must not wait for it.
func TestSourceWithoutPower(t *testing.T) {
	w := newWorld(300, 2)
	for c := range centres {
		w.vms[c].start = 800 * time.Millisecond
		w.vms[c].powered = 700 * time.Millisecond
	}
	w.play()
	if late := w.late(0.9); late > 200*time.Millisecond {
		t.Errorf("nine tenths have a copy after %v", late)
	}
}

// The sources that the store tells are all gone. The others list the store, but not all
// in the same moment.
func TestNoSourceLeft(t *testing.T) {
	w := newWorld(300, 3)
	for i := range centres * 3 {
		w.vms[i].start = time.Hour
		w.vms[i].powered = time.Hour
	}
	w.play()
	others := w.vms[centres*3:]
	if w.listings != len(others) {
		t.Errorf("%d listings of %d balancers", w.listings, len(others))
	}
	if late := lateness(others, 1); late > sourcePatience+300*time.Millisecond {
		t.Errorf("all have a copy after %v", late)
	}
}

func TestFirstCopy(t *testing.T) {
	self, a, b := addr(1), addr(2), addr(3)
	t.Run("lists at once without sources", func(t *testing.T) {
		f := NewFirstCopy(self, 0.5)
		if f.MayList(0) {
			t.Error("lists before the store was asked for sources")
		}
		f.SetSources(0, nil, 0)
		if _, ok := f.NextSource(); ok || !f.MayList(0) {
			t.Error("does not list")
		}
	})
	t.Run("lists at once as a source", func(t *testing.T) {
		f := NewFirstCopy(self, 0.5)
		f.SetSources(0, []netip.AddrPort{a, self}, 60)
		if _, ok := f.NextSource(); ok || !f.MayList(0) {
			t.Error("does not list")
		}
	})
	t.Run("asks each twice while all are silent", func(t *testing.T) {
		f := NewFirstCopy(self, 0.6)
		f.SetSources(0, []netip.AddrPort{a, b}, 60)
		for _, want := range []netip.AddrPort{b, a, b, a} {
			if got, ok := f.NextSource(); got != want || !ok {
				t.Errorf("asks %v, want %v", got, want)
			}
		}
		if more, ok := f.NextSource(); ok {
			t.Errorf("asks %v while both are silent", more)
		}
		f.Failed()
		if _, ok := f.NextSource(); !ok {
			t.Error("asks nobody after a refusal")
		}
	})
	t.Run("knows its place late in a new fleet", func(t *testing.T) {
		f := NewFirstCopy(self, 0.5)
		f.Bootstrap(0, []netip.AddrPort{a, b})
		if p := f.Place(time.Second, Place{}); p != LastPlace {
			t.Errorf("place %v", p)
		}
		if p := f.Place(bootstrapSettle, Place{}); p != (Place{}) {
			t.Errorf("place %v once all have registered", p)
		}
		seed := NewFirstCopy(a, 0.5)
		seed.Bootstrap(0, []netip.AddrPort{a, b})
		if p := seed.Place(0, Place{}); p != (Place{}) {
			t.Errorf("a seed's place %v", p)
		}
	})
	t.Run("asks less and less often", func(t *testing.T) {
		f := NewFirstCopy(self, 0)
		f.SetSources(0, []netip.AddrPort{a, b}, 60)
		var last time.Duration
		for range 12 {
			f.NextSource()
			f.Failed()
			if f.Pause() < last || f.Pause() > maxSourcePause {
				t.Fatalf("pause %v after %v", f.Pause(), last)
			}
			last = f.Pause()
		}
		if last != maxSourcePause {
			t.Errorf("pause %v", last)
		}
	})
}
