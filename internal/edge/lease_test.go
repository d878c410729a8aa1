package edge

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/platform"
)

// The store takes a registration away while its lease is being renewed: the
// renewal succeeds, and the key is gone. A new registration must be due at once.
func TestRegistrationTakenAwayDuringRenewal(t *testing.T) {
	c := &control{edge: &Edge{boot: platform.Boot{VM: "a1", DataCenter: "a"}, start: time.Now()}}
	log, err := NewLogger(&output{}, "info", c.edge.boot)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	c.log = log
	c.fleet = peer.NewFleet(c.edge.member())
	c.lease = lease{id: 5, busy: true}
	c.lease.revoked(c, c.now())
	c.lease.renewed(c, 5, nil)
	if c.lease.id != 0 || c.lease.due > c.now() {
		t.Errorf("lease %d is renewed in %v, want a new registration now", c.lease.id, c.lease.due-c.now())
	}
	c.lease.renewed(c, 6, nil)
	if c.lease.id != 6 || c.lease.due <= c.now() {
		t.Errorf("lease %d is due in %v after it was made", c.lease.id, c.lease.due-c.now())
	}
}
