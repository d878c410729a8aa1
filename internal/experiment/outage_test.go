package experiment

import (
	"math"
	"testing"
	"time"
)

// Without start times, the losses of an outage follow from the times of retransmissions:
// each request arrives with one of them, or not before its deadline.
func TestOutage(t *testing.T) {
	o := outage{down: 100 * time.Millisecond, goal: 150 * time.Millisecond, deadline: 2 * time.Second, lateWorth: 0.5}
	if l := o.run(1); math.Abs(l.late-0.1) > 0.01 || l.failed != 0 {
		t.Errorf("0.1 s without power: %v, want 0.1 s of late requests", l)
	}
	// The retransmission after 1.4 s is the last one before the deadline, so that requests
	// sent in the first 0.6 s of 2 s fail.
	o.down = 2 * time.Second
	if l := o.run(1); math.Abs(l.failed-0.6) > 0.02 || math.Abs(l.late-1.4) > 0.02 {
		t.Errorf("2 s without power: %v, want 0.6 s failed and 1.4 s late", l)
	}
	if l := o.run(1); l.worstWindows < 0.6 || l.worstWindows > 0.7 {
		t.Errorf("worst windows %.3f", l.worstWindows)
	}
}
