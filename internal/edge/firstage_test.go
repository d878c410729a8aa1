package edge

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/replica"
	standin "rosedale.dev/rosedale/internal/standin/direct"
)

// Guards against a balancer that takes the old copy of a peer for current at its own start, and
// whose heartbeats make the replicas of the others as fresh.
func TestStartingBalancerDoesNotRenewACopy(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	first := d.balancers[0]
	d.store.FailAll(standin.Busy)
	away := time.Now()
	time.Sleep(2 * time.Second)
	next := d.start(first.boot.Data.Addr().Next())
	d.eventually(2*time.Second, "the started balancer has a copy", next.isReady)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, b := range d.balancers {
			least := time.Since(away)
			if age := b.adminStatus(t).Age; age < least {
				t.Fatalf("the replica of %s is %v old, but the store has been away for %v", b.boot.VM, age, least)
			}
		}
	}
}

// Guards against a balancer that counts as a reader of the store in its first second although no read
// has succeeded and nothing has arrived, so that others do not read.
func TestStartingBalancerIsNoReaderBeforeItsFirstRead(t *testing.T) {
	c := newTestControl(t)
	c.edge.forward = direct.New(direct.Config{DataCenter: "a", FlowMaxAge: time.Minute, MaxFlows: 10})
	c.replica.Replace(nil, at(30), replica.Never)
	now := 50 * time.Millisecond
	if !c.reader.Decide(replica.Place{}, c.replica.Age(now), false, false) {
		t.Fatal("the first balancer in rank does not read")
	}
	c.reader.Started(now)
	if h := c.newHeartbeat(now); h.Reading || h.Arriving {
		t.Errorf("reading %v and arriving %v before the first read has ended", h.Reading, h.Arriving)
	}
	c.reader.Done(true)
	c.readDone = now
	if h := c.newHeartbeat(now); !h.Reading {
		t.Error("not reading after a read that succeeded")
	}
}
