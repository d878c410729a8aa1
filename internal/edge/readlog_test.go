package edge

import (
	"testing"

	"rosedale.dev/rosedale/platform"
)

// Reads that fail from one position look like a lost store. Each must be counted by its kind, and
// in a row until the position moves.
func TestFailedReadsAreCountedAtTheirPosition(t *testing.T) {
	c := newTestControl(t)
	c.replica.Replace(nil, at(30), 0)
	for range 3 {
		c.handleRead(readResult{err: &platform.CallError{Failure: platform.Interrupted, Bytes: 1000}})
	}
	if n := c.edge.readsFailedHere.Load(); n != 3 {
		t.Errorf("%d reads in a row, want 3", n)
	}
	c.replica.Replace(nil, at(31), 0)
	c.handleRead(readResult{err: &platform.CallError{Failure: platform.Refused, Status: 503}})
	if n := c.edge.readsFailedHere.Load(); n != 1 {
		t.Errorf("%d reads in a row at a new position, want 1", n)
	}
	by := &c.edge.counts.readFailuresBy
	if by[platform.Interrupted].Load() != 3 || by[platform.Refused].Load() != 1 {
		t.Errorf("%d interrupted and %d refused reads counted", by[platform.Interrupted].Load(), by[platform.Refused].Load())
	}
}
