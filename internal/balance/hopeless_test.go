package balance

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/flow"
)

// busyPool has one target whose two slots ran requests of 100 ms for 10 s.
func busyPool() (*Pool, time.Duration) {
	p := testPool(1, 2)
	return p, work(p, 10*time.Second)
}

// work keeps the two slots of target 1 busy with requests of 100 ms until then.
func work(p *Pool, until time.Duration) time.Duration {
	p.Acquire(1, Slot)
	p.Acquire(1, Slot)
	now := time.Duration(0)
	for ; now < until; now += 50 * time.Millisecond {
		p.Advance(now)
		p.Release(1, Slot)
		p.Acquire(1, Slot)
	}
	p.Advance(now)
	return now
}

// Callers ask for five times what two slots can do in a second. Those who
// cannot be admitted in time must learn it at once, and nobody else: 20 requests
// a second leave 17 places within nine tenths of the deadline.
func TestHopelessAreThoseBeyondThePace(t *testing.T) {
	p, now := busyPool()
	for i := range uint32(100) {
		p.Queue.Push(waiter(i+1, false, now+time.Second))
	}
	out := p.WillMissDeadline(now)
	if n := 100 - len(out); n < 16 || n > 18 {
		t.Fatalf("%d of 100 waiters keep hope, want 17", n)
	}
	if out[0].Key.Port < 17 {
		t.Fatalf("waiter %d was given up before later ones", out[0].Key.Port)
	}
}

// Holds take three slots of four for a while. An ordinary request then has a
// quarter of the pace, whoever waits at the moment: those beyond it learn it at
// once and not when the deadline is near.
func TestOthersHopeForTheirShareOnly(t *testing.T) {
	p, now := busyPool()
	for i := range uint32(60) {
		urgent := i%fairShare != 0
		p.Queue.Push(waiter(i+1, urgent, now+time.Second))
		p.Queue.Remove(flow.Key{Port: i + 1}, true)
	}
	for i := range uint32(20) {
		p.Queue.Push(waiter(i+101, false, now+time.Second))
	}
	for i := range uint32(12) {
		p.Queue.Push(waiter(i+201, true, now+time.Second))
	}
	others := 0
	for _, w := range p.WillMissDeadline(now) {
		if w.Urgent {
			t.Fatalf("hold %d was given up", w.Key.Port)
		}
		others++
	}
	if kept := 20 - others; kept < 3 || kept > 5 {
		t.Fatalf("%d of 20 requests keep hope, want a quarter of 17", kept)
	}
}

// A service that was idle gets a burst, or all its targets are away: nothing is
// known about the pace, and everyone waits.
func TestNobodyIsHopelessWithoutAPace(t *testing.T) {
	p := testPool(1, 2)
	for i := range uint32(100) {
		p.Queue.Push(waiter(i+1, false, time.Second))
	}
	if n := len(p.WillMissDeadline(0)); n > 0 {
		t.Fatalf("%d waiters were given up", n)
	}
	p, now := busyPool()
	p.Update(now, 1, []Target{{ID: 1, Limit: [units]int{2000, 2}}})
	p.Queue.Push(waiter(1, false, now+time.Millisecond))
	if n := len(p.WillMissDeadline(now)); n > 0 {
		t.Fatal("a waiter was given up while targets may come back")
	}
}

// Two of four slots hang at a target that cannot be reached, the other two go on
// with requests of 100 ms. Whoever those two can take must not be given up, nor
// is anyone at once when those two pause for a moment as well.
func TestHangingSlotsTakeNoHope(t *testing.T) {
	p := testPool(2, 2)
	p.Acquire(2, Slot)
	p.Acquire(2, Slot)
	now := work(p, 30*time.Second)
	for i := range uint32(100) {
		p.Queue.Push(waiter(i+1, false, now+time.Second))
	}
	for _, pause := range []time.Duration{0, time.Second} {
		p.Advance(now + pause)
		if n := 100 - len(p.WillMissDeadline(now)); n < 16 || n > 20 {
			t.Fatalf("after %v %d of 100 waiters keep hope, want 17", pause, n)
		}
	}
}
