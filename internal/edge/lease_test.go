package edge

import "testing"

// The store takes a registration away while its lease is being renewed: the
// renewal succeeds, and the key is gone. A new registration must be due at once.
func TestRegistrationTakenAwayDuringRenewal(t *testing.T) {
	c := bareControl(t)
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
