package replica

import (
	"testing"
	"time"
)

func TestReaderTakesOverInOrder(t *testing.T) {
	for _, c := range []struct {
		name         string
		place        Place
		age          time.Duration
		activeReader bool
		wasReading   bool
		want         bool
	}{
		{"first of all", Place{}, 0, false, false, true},
		{"not first, fresh replica", Place{Rank: 1}, 400 * time.Millisecond, true, false, false},
		{"not first, slow store", Place{DataCenterRank: 1}, 1200 * time.Millisecond, false, false, false},
		{"first of the second data centre, old replica", Place{DataCenterRank: 1}, 1450 * time.Millisecond, false, false, true},
		{"second in rank waits longer", Place{Rank: 1}, 1450 * time.Millisecond, false, false, false},
		{"last in rank, old replica", Place{DataCenterRank: 9, Rank: 9}, 2500 * time.Millisecond, false, false, true},
		{"keeps reading while no other balancer reads", Place{Rank: 2}, 100 * time.Millisecond, false, true, true},
		{"stops when an earlier balancer reads", Place{Rank: 2}, 100 * time.Millisecond, true, true, false},
	} {
		r := Reader{reading: c.wasReading}
		if got := r.Decide(c.place, c.age, c.activeReader, false); got != c.want {
			t.Errorf("%s: reads %v, want %v", c.name, got, c.want)
		}
	}
}

// A balancer hears a reader that it gets no changes from. Its replica must not get older than
// it would without the reader.
func TestOldReplicaIsReadAlthoughAReaderIsHeard(t *testing.T) {
	var r Reader
	if r.Decide(Place{Rank: 2}, time.Second, true, false) {
		t.Error("reads although the reader keeps the replica fresh")
	}
	if r.Decide(Place{Rank: 2}, 2500*time.Millisecond, true, true) {
		t.Error("reads although a peer may still answer")
	}
	if !new(Reader).Decide(Place{Rank: 2}, MaxFollowAge+FetchPatience+1, true, true) {
		t.Error("waits for a peer for longer than FetchPatience")
	}
	if !r.Decide(Place{Rank: 2}, 2500*time.Millisecond, true, false) {
		t.Error("does not read although the replica is old")
	}
}

// A balancer's own reads fail while others keep its replica fresh. It stops reading and
// starts again when the replica gets old.
func TestFailingReaderStops(t *testing.T) {
	r := Reader{reading: true}
	r.Done(false)
	if r.Decide(Place{Rank: 2}, 500*time.Millisecond, false, false) || r.Succeeding(0) {
		t.Error("keeps reading although its reads fail and its replica is fresh")
	}
	if !r.Decide(Place{Rank: 2}, 3*time.Second, false, false) {
		t.Error("does not try again with an old replica")
	}
	r.Done(true)
	if !r.Succeeding(0) {
		t.Error("not succeeding after a successful read")
	}
}

func TestFailedReadsSlowDown(t *testing.T) {
	var r Reader
	last := time.Duration(0)
	for range 6 {
		p := r.Done(false)
		if p < last || p > MaxReadInterval {
			t.Errorf("pause %v after %v", p, last)
		}
		last = p
	}
	if last != MaxReadInterval || r.Done(true) != ReadInterval {
		t.Errorf("last pause %v", last)
	}
}

// A read that hangs must not keep a balancer from asking its peers.
func TestHangingReadDoesNotCountAsReading(t *testing.T) {
	var r Reader
	r.Decide(Place{}, 0, false, false)
	r.Started(time.Second)
	if !r.Succeeding(time.Second + readPatience) {
		t.Error("a read in its time does not count")
	}
	if r.Succeeding(time.Second + readPatience + 1) {
		t.Error("a read that hangs counts")
	}
	r.Done(true)
	if !r.Succeeding(time.Hour) {
		t.Error("a read that has ended does not count")
	}
}
