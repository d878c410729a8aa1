package direct

import (
	"testing"
	"time"
)

// The queue returns entries in order, and only those that are due.
func TestWaitQueueOrder(t *testing.T) {
	var q waitQueue
	for i := range 100 {
		q.push(&flow{}, time.Duration(i))
	}
	for i := range 50 {
		w, ok := q.pop(49)
		if !ok || w.since != time.Duration(i) {
			t.Fatalf("entry %d: %v %v", i, w.since, ok)
		}
	}
	if _, ok := q.pop(49); ok {
		t.Error("an entry was returned too early")
	}
	q.push(&flow{}, 100)
	if w, ok := q.pop(50); !ok || w.since != 50 {
		t.Errorf("after compaction: %v %v", w.since, ok)
	}
}
