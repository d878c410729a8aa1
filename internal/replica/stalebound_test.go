package replica

import (
	"testing"
	"time"
)

// silence makes a share of all connections go silent.
func (w *staleSimulation) silence(share float64) {
	for _, f := range w.fleet {
		f.store.silent = f.store.silent || w.rng.Float64() < share
		for j := range w.fleet {
			p := f.peers[j]
			p.silent = p.silent || w.rng.Float64() < share
		}
	}
}

// disturb makes a balancer deaf or cuts it off from the store for a while, if no other one is.
func (w *staleSimulation) disturb() {
	for _, f := range w.fleet {
		if f.deaf || f.cut {
			return
		}
	}
	f := w.fleet[w.rng.IntN(min(len(w.fleet), 4))]
	f.deaf = w.rng.IntN(2) == 0
	f.cut = !f.deaf
	w.after(time.Duration(w.rng.Int64N(int64(6*time.Second))), func() {
		if f.cut {
			f.cutEnded = w.now
		}
		f.deaf, f.cut = false, false
	})
}

// lacked returns for how long a balancer has lacked a change.
func (w *staleSimulation) lacked(f *follower) time.Duration {
	n := f.replica.Position().Number
	if n == int64(len(w.written)) {
		return 0
	}
	return w.now - w.written[n]
}

// isCut reports whether a balancer cannot reach the store, or could not a short time ago.
func (f *follower) isCut(now time.Duration) bool {
	return f.cut || f.cutEnded > 0 && now-f.cutEnded < simStable
}

// Connections go silent at any moment, a balancer answers no peer or cannot reach the store,
// heartbeats are lost, and changes of the store do not arrive, while changes come in series. No
// order of peers, connections and roles may keep a balancer from a change for longer than the
// stated bound.
func TestNoOrderOfFailuresExceedsTheBound(t *testing.T) {
	if simBound+simTick > 3*time.Second {
		t.Fatalf("the bound is %v, and a change has to be decoded within 3 s", simBound)
	}
	bounds := map[bool]time.Duration{false: simBound, true: simCutBound} // by whether a balancer is cut off
	longest := map[bool]time.Duration{}
	for seed := range uint64(300) {
		w := newStaleSimulation([]int{2, 3, 7, 16}[seed%4], seed)
		w.run(3 * time.Second)
		for end := w.now + 40*time.Second; w.now < end; {
			w.run(w.now + time.Duration(w.rng.Int64N(int64(300*time.Millisecond))))
			w.now += time.Millisecond
			switch w.rng.IntN(6) {
			case 0, 1:
				w.written = append(w.written, w.now)
			case 2:
				w.silence([]float64{0.5, 1}[w.rng.IntN(2)])
			case 3:
				w.disturb()
			case 4:
				w.changes = delivery(w.rng.IntN(4))
			}
			for _, f := range w.fleet {
				lacked, cut := w.lacked(f), f.isCut(w.now)
				longest[cut] = max(longest[cut], lacked)
				if bound := bounds[cut]; lacked > bound {
					t.Fatalf("seed %d: at %v balancer %d of %d (deaf %v, cut off %v) has lacked a change for %v, want at most %v",
						seed, w.now, f.id, len(w.fleet), f.deaf, cut, lacked, bound)
				}
			}
		}
	}
	t.Logf("the longest time without a change was %v, and %v without the store; the bounds are %v and %v", longest[false], longest[true], simBound, simCutBound)
}
