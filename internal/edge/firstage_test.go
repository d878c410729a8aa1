package edge

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

// Guards against a balancer that takes the old copy of a peer for current at its own start, and
// whose heartbeats make the replicas of the others as fresh.
func TestStartingBalancerDoesNotRenewACopy(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	first := d.balancers[0]
	d.store.FailAll(direct.Busy)
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
