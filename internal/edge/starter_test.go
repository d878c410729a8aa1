package edge

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/revision"
)

// A balancer starts while the store, back from an older copy, lacks a target that lives. It
// has seen nothing of the return, and would reset the target's flows as its list seems
// complete. Its peers tell it, but only for the era that it has itself, and only a balancer
// that has just started.
func TestStarterIsToldThatTheStoreHasToSettle(t *testing.T) {
	for _, c := range []struct {
		name string
		up   time.Duration
		h    peer.Heartbeat
		want time.Duration // for how long it waits
	}{
		{"told", 100 * time.Millisecond, peer.Heartbeat{Era: 2, Settling: time.Second}, time.Second},
		{"settled", 100 * time.Millisecond, peer.Heartbeat{Era: 2}, 0},
		{"of an earlier era", 100 * time.Millisecond, peer.Heartbeat{Era: 1, Settling: time.Second}, 0},
		{"started long ago", time.Minute, peer.Heartbeat{Era: 2, Settling: time.Second}, 0},
		{"absurd", 100 * time.Millisecond, peer.Heartbeat{Era: 2, Settling: time.Hour}, 2 * time.Second},
	} {
		b := bareControl(t)
		b.replica.Replace(nil, revision.Revision{Era: 2, Number: 30}, 0)
		b.settleLike(c.up, c.h)
		if got := b.settling.Left(c.up); got != c.want {
			t.Errorf("%s: waits for %v, want %v", c.name, got, c.want)
		}
		if got := b.settling.Proven(c.up, c.up); (got == 0) != (c.want > 0) {
			t.Errorf("%s: the list of targets counts as complete at %v", c.name, got)
		}
	}
}
