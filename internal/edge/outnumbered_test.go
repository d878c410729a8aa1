package edge

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/peer"
)

// Two of the three balancers of a data centre become silent. The third one must make the
// routers use another data centre, and must be ready again as soon as one of them is
// back. A planned stop and the time just after a start count as no loss.
func TestOutnumberedBalancerYields(t *testing.T) {
	c := newTestControl(t)
	c.edge.ready.set(true)
	for vm, dc := range map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"} {
		c.fleet.Put(vm, peer.Member{VM: vm, DataCenter: dc})
	}
	now := time.Duration(0)
	sendHeartbeats := func(leaving bool, vms ...string) {
		for _, vm := range vms {
			c.peers[vm] = &peerState{lastReceived: now, last: peer.Heartbeat{From: vm, Leaving: leaving}}
		}
	}
	want := func(what string, ready bool) {
		t.Helper()
		c.yieldIfOutnumbered(now)
		if got := c.edge.ready.isReady(); got != ready {
			t.Errorf("%s: ready %v, want %v", what, got, ready)
		}
	}
	want("just started", true)
	now = 10 * time.Second
	sendHeartbeats(false, "a2", "a3", "b1", "b2")
	want("all send heartbeats", true)
	now += 2 * lostAfter
	sendHeartbeats(false, "b1", "b2")
	want("two of three are silent", false)
	sendHeartbeats(false, "a2")
	want("one is back", true)
	now += 2 * lostAfter
	sendHeartbeats(false, "b1", "b2")
	sendHeartbeats(true, "a3")
	want("one is silent, one stops as planned", true)
	now += 2 * lostAfter
	want("all others are silent", true)
}
