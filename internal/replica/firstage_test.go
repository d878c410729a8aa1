package replica

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// Guards against a copy that becomes fresh by the start of the process that gets it: versions would
// come late everywhere, as its heartbeats keep others from reading the store.
func TestFirstCopyIsAsOldAsThePeerSays(t *testing.T) {
	const age, startedFor = 5 * time.Second, 200 * time.Millisecond
	items := []Item{put("a", "1", 3)}
	started, follower := New(significant), New(significant)
	started.Replace(items, at(5), startedFor-age)
	if got := started.Age(startedFor); got != age {
		t.Errorf("the copy is %v old, want %v", got, age)
	}
	// The follower has run for a minute longer, so that its clock differs.
	const clock = time.Minute
	follower.Replace(items, at(5), clock+startedFor-age)
	follower.Confirm(started.Position(), started.LastChange(), started.History(), clock+startedFor-started.Age(startedFor))
	if got := follower.Age(clock + startedFor); got != age {
		t.Errorf("after a heartbeat of the started balancer, the replica of another one is %v old, want %v", got, age)
	}
}

// Guards against the same for the first copy of a later era, which starts from an empty replica.
func TestFirstCopyOfAnEraIsAsOldAsThePeerSays(t *testing.T) {
	r := New(significant)
	r.Replace([]Item{put("a", "1", 3)}, at(5), -time.Second)
	r.Replace([]Item{put("a", "2", 2)}, revision.Revision{Era: 1, Number: 4}, -500*time.Millisecond)
	if got := r.Age(time.Second); got != 1500*time.Millisecond {
		t.Errorf("the copy is %v old, want 1.5s", got)
	}
}

// Guards against an age that shrinks over hops: a copy of a copy of a copy is as old as the first.
func TestCopiesOfCopiesKeepTheirAge(t *testing.T) {
	items := []Item{put("a", "1", 3)}
	last := New(significant)
	last.Replace(items, at(5), 0)
	read := time.Duration(0) // when the store was read, by the clock of the present holder
	now := 2 * time.Second
	for hop := range 5 {
		next := New(significant)
		const clock = 100 * time.Millisecond // the next one has just started
		read += clock - now
		next.Replace(last.All(), last.Position(), clock-last.Age(now))
		if got := next.Age(clock); got != clock-read {
			t.Errorf("hop %d: the copy is %v old, want %v", hop+1, got, clock-read)
		}
		now = clock + 300*time.Millisecond
		last = next
	}
}
