package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against requests that are lost, returned twice or rejected while a place is free, open
// flows that are rejected, and wrong counts, in random sequences of all calls.
func TestRandomCalls(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		g := gateWith(1+3*rng.Float64(), 2*rng.Float64(), 0)
		waits := map[int]bool{} // whether on an open flow
		var flying []Pool
		now := time.Duration(0)
		decided := func(r Request[int], v Verdict, p Pool) {
			switch v {
			case Admit, Forced:
				flying = append(flying, p)
			case Reject:
				if r.Established {
					t.Fatalf("seed %d: open flow rejected", seed)
				}
				if _, free := g.placeFor(now, AnyPool, false); free && g.waiting.len() < maxWaiting-1 {
					t.Fatalf("seed %d: rejected while a place is free", seed)
				}
			}
		}
		for key := range 3000 {
			now += time.Duration(rng.IntN(3000)) * time.Microsecond
			switch rng.IntN(10) {
			case 0:
				g.SetPool(Pool(rng.IntN(3)), max(0, 4*rng.Float64()-1))
			case 1:
				if len(waits) > 0 {
					k := slices.Min(slices.Collect(maps.Keys(waits)))
					if !g.Cancel(k) {
						t.Fatalf("seed %d: %d does not wait", seed, k)
					}
					delete(waits, k)
				}
			case 2, 3, 4:
				if len(flying) > 0 {
					g.Answered(now, flying[0], 5*rng.Float64())
					g.Done(now, flying[0], 10*ms)
					flying = flying[1:]
				}
			case 5:
				g.Tick(now)
			default:
				r := opening(key, rng.IntN(4), time.Duration(rng.IntN(200))*ms)
				if rng.IntN(3) == 0 {
					r = onFlow(key, r.Priority, r.MaxWait, Pool(rng.IntN(3)))
				}
				v, p := g.Arrive(now, r)
				decided(r, v, p)
				if v == Wait {
					waits[key] = r.Established
				}
			}
			for _, r := range drain(g, now) {
				established, ok := waits[r.Key]
				if !ok || g.IsWaiting(r.Key) {
					t.Fatalf("seed %d: %d returned without waiting", seed, r.Key)
				}
				delete(waits, r.Key)
				decided(Request[int]{Established: established}, r.Verdict, r.Pool)
			}
			inFlight := 0
			for _, p := range g.Stats().Pools {
				inFlight += p.InFlight
			}
			if inFlight != len(flying) || g.waiting.len() != len(waits) || len(g.waiting.index) != len(waits) {
				t.Fatalf("seed %d: %d in flight of %d, %d waiting of %d", seed, inFlight, len(flying), g.waiting.len(), len(waits))
			}
		}
	}
}
