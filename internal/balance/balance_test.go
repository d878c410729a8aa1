package balance

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/flow"
)

func testPool(n, slots int) *Pool {
	p := NewPool()
	var ts []Target
	for i := range n {
		ts = append(ts, Target{ID: uint32(i + 1), Seed: uint64(i+1) * 0x9e3779b97f4a7c15, Eligible: true, Limit: [units]int{2000, slots}})
	}
	p.Update(0, 1, ts)
	return p
}

func waiter(port uint32, urgent bool, deadline time.Duration) Waiter {
	return Waiter{Key: flow.Key{Port: port}, Unit: Slot, Urgent: urgent, Arrived: time.Duration(port), Deadline: deadline}
}

// Checks that urgent waiters go first, by deadline, and that a steady stream
// of them does not starve the others: every fourth admission goes to the
// longest waiting of those.
func TestQueueOrder(t *testing.T) {
	var q Queue
	for i := range uint32(6) {
		q.Push(waiter(i+1, false, time.Second))
		q.Push(waiter(i+101, true, time.Duration(10-i)))
	}
	var got []uint32
	for range 8 {
		w, ok := q.Next(time.Hour, Slot)
		if !ok {
			t.Fatal("the queue is empty")
		}
		got = append(got, w.Key.Port)
		q.Remove(w.Key, true)
	}
	want := []uint32{106, 105, 104, 1, 103, 102, 101, 2}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("order %v, want %v", got, want)
		}
	}
}

// Guards against urgent requests being refused when ordinary ones fill the
// queue: an urgent one replaces the request with the latest deadline.
func TestUrgentDisplaces(t *testing.T) {
	var q Queue
	for i := range uint32(MaxQueue) {
		q.Push(waiter(i+1, false, time.Duration(i)))
	}
	if _, _, ok := q.Push(waiter(9000, false, 0)); ok {
		t.Fatal("a waiter was added to a full queue")
	}
	out, displaced, ok := q.Push(waiter(9001, true, 0))
	if !ok || !displaced || out.Key.Port != MaxQueue {
		t.Fatalf("Push returned the waiter of port %v, displaced %v, ok %v", out.Key.Port, displaced, ok)
	}
}

func TestSlotsAreNeverOverfilled(t *testing.T) {
	p := testPool(3, 2)
	for i := range 6 {
		id, ok := p.Choose(0, Slot, uint64(i)*7919, nil)
		if !ok {
			t.Fatalf("no target has room for flow %d", i)
		}
		p.Acquire(id, Slot)
	}
	if _, ok := p.Choose(0, Slot, 1, nil); ok {
		t.Fatal("a seventh flow got one of six slots")
	}
}

// Guards against a target that just became active receiving all new flows
// because it is the least loaded: slow start gives it a growing share.
func TestSlowStartLimitsNewFlows(t *testing.T) {
	p := testPool(4, 2)
	for i := range 400 {
		id, _ := p.Choose(0, Connection, uint64(i)*7919, nil)
		p.Acquire(id, Connection)
	}
	ts := []Target{}
	for _, s := range p.list {
		ts = append(ts, s.Target)
	}
	ts = append(ts, Target{ID: 9, Seed: 99, Eligible: true, Limit: [units]int{2000, 2}, Ramp: 10 * time.Second})
	p.Update(time.Second, 1, ts)
	for i := range 100 {
		now := time.Second + time.Duration(i)*10*time.Millisecond
		id, _ := p.Choose(now, Connection, uint64(i)*104729, nil)
		p.Acquire(id, Connection)
	}
	if n := p.Used(9, Connection); n == 0 || n > 12 {
		t.Fatalf("the target in slow start got %d of 100 flows in its first second", n)
	}
}

// A target has other work that only its load reports show. New flows must
// avoid it while reports arrive, and return once the last report is too old.
func TestReportedLoadCountsUntilItAges(t *testing.T) {
	p := testPool(4, 2)
	share := func(now time.Duration) int {
		n := 0
		for i := range 400 {
			if id, _ := p.Choose(now, Connection, uint64(i)*7919, nil); id == 1 {
				n++
			}
		}
		return n
	}
	for id := range uint32(4) {
		for range 100 {
			p.Acquire(id+1, Connection)
		}
	}
	now := time.Duration(0)
	for ; now < 4*reportWindow; now += time.Second {
		for id := range uint32(4) {
			load := 0.5
			if id == 0 {
				load = 1
			}
			p.ReportLoad(now, id+1, load)
		}
	}
	if n := share(now); n > 0 {
		t.Fatalf("the busy target got %d of 400 flows", n)
	}
	if n := share(now + reportWindow); n < 50 {
		t.Fatalf("the target got %d of 400 flows after its last report expired", n)
	}
}

// A target's SYN-ACK is lost and the opening goes to another target. The first
// target keeps room for the half-open connection until it retransmits the
// SYN-ACK a second later; openings sent there before that would be refused.
func TestAbandonedTargetKeepsItsSlot(t *testing.T) {
	p := testPool(1, 1)
	p.Acquire(1, Slot)
	p.ReleaseLater(0, 1, Slot)
	p.Advance(time.Second)
	if _, ok := p.Choose(time.Second, Slot, 1, nil); ok {
		t.Fatal("the slot was released before the delay")
	}
	p.Advance(releaseDelay)
	if _, ok := p.Choose(releaseDelay, Slot, 1, nil); !ok {
		t.Fatal("the slot was not released after the delay")
	}
}

// Guards against retries multiplying the load on failing targets: they are
// limited to a fifth of the openings.
func TestRetryBudget(t *testing.T) {
	b := NewBudget()
	spent := 0
	for range 1000 {
		b.Opened()
		for b.Take() {
			spent++
		}
	}
	if spent > 1000/5+retryBurst {
		t.Fatalf("%d retries for 1000 openings", spent)
	}
}
