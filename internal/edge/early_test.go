package edge

import "testing"

// More openings arrive before the first catalogue than the queue holds. The others are dropped
// and must be counted: their callers wait for a retransmission, and no other counter has them.
func TestDroppedEarlyOpeningsAreCounted(t *testing.T) {
	const beyond = 3
	var o earlyOpenings
	for range maxEarly + beyond {
		if !o.add([]byte{1}) {
			t.Fatal("an opening is not taken before the catalogue has arrived")
		}
	}
	if n := o.dropped.Load(); n != beyond {
		t.Errorf("%d openings are counted as dropped, want %d", n, beyond)
	}
	if n := len(o.drain()); n != maxEarly {
		t.Errorf("%d openings were queued, want %d", n, maxEarly)
	}
	if o.add([]byte{1}) {
		t.Error("an opening is queued after the catalogue has arrived")
	}
}
