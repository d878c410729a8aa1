package direct

import (
	"math/rand/v2"
	"time"
)

// Limits of a target after LimitSlots.
const (
	// queueLength is the number of requests that wait while all slots are taken.
	queueLength = 8
	// Bounds of the delay of the answer to a request that is not run.
	minNotRunDelay = 60 * time.Millisecond
	maxNotRunDelay = 200 * time.Millisecond
)

// notRun is the answer to a request that was not run. Answers of requests that ran begin
// with the request's body, which contains no NUL.
const notRun = "\x00not run"

// slots holds the requests of one start of a target that limits them.
type slots struct {
	taken     chan struct{} // has the capacity of the target's slots
	pending   int           // requests that run or wait; guarded by Target.mu
	idleSince time.Time     // the last time at which pending became 0; guarded by Target.mu
}

func newSlots(n int) *slots { return &slots{taken: make(chan struct{}, n), idleSince: time.Now()} }

// LimitSlots makes the target run Reg.Slots requests at a time. It queues queueLength
// more, and answers further ones that they were not run.
func (t *Target) LimitSlots() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slots = newSlots(t.Reg.Slots)
}

// IdleTime returns how long the target has had no request that runs or waits. It is 0 if
// there is one, and without LimitSlots.
func (t *Target) IdleTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.slots == nil || t.slots.pending > 0 {
		return 0
	}
	return time.Since(t.slots.idleSince)
}

// handleLimited queues a request, or answers that it was not run. t.mu is held.
func (t *Target) handleLimited(h header, fl *targetFlow, body string) {
	s := t.slots
	if s.pending == cap(s.taken)+queueLength {
		delay := minNotRunDelay + rand.N(maxNotRunDelay-minNotRunDelay)
		time.AfterFunc(delay, func() { t.answer(h, fl, notRun) })
		return
	}
	s.pending++
	go t.runInSlot(s, h, fl, body)
}

// runInSlot runs a request when a slot is free, unless the target has stopped before.
func (t *Target) runInSlot(s *slots, h header, fl *targetFlow, body string) {
	s.taken <- struct{}{}
	t.mu.Lock()
	running := t.flows != nil && t.slots == s
	if running {
		t.recordRun(body)
	}
	t.mu.Unlock()
	if running {
		t.execute(h, fl, body)
	}
	<-s.taken
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.pending--; s.pending == 0 {
		s.idleSince = time.Now()
	}
}
