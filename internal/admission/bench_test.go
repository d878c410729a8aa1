package admission

import (
	"testing"
	"time"
)

// Guards against allocations and slow decisions for admitted requests.
func BenchmarkArriveDone(b *testing.B) {
	g := NewGate[[2]uint64]()
	g.SetPool(0, 6)
	g.SetPool(1, 6)
	b.ReportAllocs()
	r := Request[[2]uint64]{Priority: 1, MaxWait: 300 * ms, Pool: AnyPool}
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * ms
		r.Key[0] = uint64(i)
		_, p := g.Arrive(now, r)
		g.Answered(now, p, 1)
		g.Done(now, p, ms)
	}
}

// Guards against allocations of Arrive and Done, as the benchmark, in each test run.
func TestArriveAllocatesNothing(t *testing.T) {
	g := gateWith(6, 6)
	if n := testing.AllocsPerRun(1000, func() {
		_, p := g.Arrive(0, opening(1, 1, ms))
		g.Done(0, p, ms)
	}); n != 0 {
		t.Errorf("%v allocations, want 0", n)
	}
}

// busyGate returns a gate with a full queue of two priorities and a known rate.
func busyGate(tb testing.TB) (g *Gate[int], now time.Duration) {
	g = gateWith(1, 1)
	for i := range maxWaiting + 2 { // one is admitted at home, an urgent one elsewhere
		g.Arrive(0, opening(i, 1+i%2, time.Hour))
	}
	for now = 0; now < 600*ms; now += 10 * ms {
		g.Done(now, home, ms)
		for r, ok := g.Next(now); ok; r, ok = g.Next(now) {
			g.Arrive(now, opening(r.Key, r.Priority, time.Hour))
		}
	}
	if n := g.waiting.len(); n != maxWaiting {
		tb.Fatalf("%d waiting, want %d", n, maxWaiting)
	}
	return g, now
}

// Guards against decisions that are too slow for each packet under overload: each step is an
// arrival, a Done, and all releases.
func BenchmarkBusyGate(b *testing.B) {
	g, now := busyGate(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 3 * ms
		g.Arrive(now, opening(100000+i, i%3, time.Hour))
		g.Done(now, home, ms)
		for _, ok := g.Next(now); ok; _, ok = g.Next(now) {
		}
	}
}

// Guards against the quadratic cost of rejecting a whole queue at once growing beyond what a
// balancer can spend: the benchmark rejects 512 requests.
func BenchmarkRejectAll(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		g, now := busyGate(b)
		now += 2 * time.Hour
		for i := range 5 {
			g.rate.add(now, i)
		}
		g.Tick(now)
		b.StartTimer()
		n := 0
		for _, ok := g.Next(now); ok; _, ok = g.Next(now) {
			n++
		}
		if n != maxWaiting {
			b.Fatalf("%d rejected, want all", n)
		}
	}
}
