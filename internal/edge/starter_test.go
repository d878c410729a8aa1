package edge

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/internal/revision"
)

// A balancer starts while the restored store lacks a live target. As it has not seen the
// restore, its list of targets would seem complete and it would reset the target's flows.
// Peers report the settling, but the report only counts for the same era, and only on a
// balancer that has just started.
func TestStartingBalancerLearnsOfSettling(t *testing.T) {
	for _, c := range []struct {
		name string
		up   time.Duration
		h    peer.Heartbeat
		want time.Duration // remaining settling time
	}{
		{"reported", 100 * time.Millisecond, peer.Heartbeat{Era: 2, Settling: time.Second}, time.Second},
		{"settled", 100 * time.Millisecond, peer.Heartbeat{Era: 2}, 0},
		{"of an earlier era", 100 * time.Millisecond, peer.Heartbeat{Era: 1, Settling: time.Second}, 0},
		{"started long ago", time.Minute, peer.Heartbeat{Era: 2, Settling: time.Second}, 0},
		{"too long", 100 * time.Millisecond, peer.Heartbeat{Era: 2, Settling: time.Hour}, 2 * time.Second},
	} {
		b := newTestControl(t)
		b.replica.Replace(nil, revision.Revision{Era: 2, Number: 30}, 0)
		b.settleFromPeer(c.up, c.h)
		if got := b.settling.Left(c.up); got != c.want {
			t.Errorf("%s: settles for %v, want %v", c.name, got, c.want)
		}
		if got := b.settling.Proven(c.up, c.up); (got == replica.Never) != (c.want > 0) {
			t.Errorf("%s: the list of targets was complete at %v", c.name, got)
		}
	}
}
