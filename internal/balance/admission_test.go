package balance

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/flow"
)

// busyPool has one target whose two slots ran requests of 100 ms for 10 s.
func busyPool() (*Pool, time.Duration) {
	p := testPool(1, 2)
	return p, keepBusy(p, 10*time.Second)
}

// keepBusy runs requests of 100 ms on both slots of target 1 from time 0 until
// the given time.
func keepBusy(p *Pool, until time.Duration) time.Duration {
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

// One hundred waiters queue for two slots that serve 20 requests per second,
// with a deadline of one second. 17 of them can be admitted within nine tenths
// of the deadline; only the others may be refused early.
func TestWaitersBeyondTheRateMissTheirDeadline(t *testing.T) {
	p, now := busyPool()
	for i := range uint32(100) {
		p.Queue.Push(waiter(i+1, false, now+time.Second))
	}
	out := p.WillMissDeadline(now)
	if n := 100 - len(out); n < 16 || n > 18 {
		t.Fatalf("%d of 100 waiters stay in the queue, want 17", n)
	}
	if out[0].Key.Port < 17 {
		t.Fatalf("waiter %d was refused before later ones", out[0].Key.Port)
	}
}

// Three of four recent admissions went to urgent requests, so that ordinary
// ones can expect a quarter of the rate, whichever requests wait at the moment.
// Those beyond it must be refused at once and not when the deadline is near.
func TestOrdinaryWaitersGetTheirShareOfTheRate(t *testing.T) {
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
			t.Fatalf("urgent waiter %d was refused", w.Key.Port)
		}
		others++
	}
	if kept := 20 - others; kept < 3 || kept > 5 {
		t.Fatalf("%d of 20 requests stay in the queue, want a quarter of 17", kept)
	}
}

// No waiter may be refused early while the rate is unknown because the service
// was idle, or while no target is eligible.
func TestUnknownRateRefusesNobody(t *testing.T) {
	p := testPool(1, 2)
	for i := range uint32(100) {
		p.Queue.Push(waiter(i+1, false, time.Second))
	}
	if n := len(p.WillMissDeadline(0)); n > 0 {
		t.Fatalf("%d waiters were refused", n)
	}
	p, now := busyPool()
	p.Update(now, 1, []Target{{ID: 1, Limit: [units]int{2000, 2}}})
	p.Queue.Push(waiter(1, false, now+time.Millisecond))
	if n := len(p.WillMissDeadline(now)); n > 0 {
		t.Fatal("a waiter was refused although targets may become eligible again")
	}
}

// Two of four slots hang at an unreachable target while the other two serve
// requests of 100 ms. Waiters that the working slots can serve must not be
// refused, even if those two pause for a moment as well.
func TestHangingSlotsDoNotLowerTheRate(t *testing.T) {
	p := testPool(2, 2)
	p.Acquire(2, Slot)
	p.Acquire(2, Slot)
	now := keepBusy(p, 30*time.Second)
	for i := range uint32(100) {
		p.Queue.Push(waiter(i+1, false, now+time.Second))
	}
	for _, pause := range []time.Duration{0, time.Second} {
		p.Advance(now + pause)
		if n := 100 - len(p.WillMissDeadline(now)); n < 16 || n > 20 {
			t.Fatalf("after a pause of %v, %d of 100 waiters stay in the queue, want 17", pause, n)
		}
	}
}
