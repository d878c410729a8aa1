package edge

import "testing"

// The registration is removed from the store while its lease is being renewed: the
// renewal succeeds, but the key is gone. A new registration must be due at once.
func TestRegistrationTakenAwayDuringRenewal(t *testing.T) {
	c := newTestControl(t)
	c.lease = lease{id: 5, busy: true}
	c.lease.revoked(c, c.now())
	c.lease.renewed(c, 5, nil)
	if c.lease.id != 0 || c.lease.due > c.now() {
		t.Errorf("lease %d is due in %v, want a new registration now", c.lease.id, c.lease.due-c.now())
	}
	c.lease.renewed(c, 6, nil)
	if c.lease.id != 6 || c.lease.due <= c.now() {
		t.Errorf("lease %d is due in %v after it was granted", c.lease.id, c.lease.due-c.now())
	}
}

// The store is restored from a copy that was made before this balancer registered, and
// the balancer's replica never contained the registration, so no change reports its
// removal. The lease would still seem valid for 20 s, and without a registration no peer
// sends heartbeats.
func TestLeaseAfterStoreRestore(t *testing.T) {
	for _, c := range []struct {
		name           string
		lease          lease
		registered     int64 // lease of the registration in the replica, 0 for none
		registersAgain bool
	}{
		{"never registered", lease{}, 0, false},
		{"lost", lease{id: 5}, 0, true},
		{"of an earlier lease", lease{id: 5}, 4, true},
		{"kept", lease{id: 5}, 5, false},
		{"in progress", lease{busy: true}, 0, true},
	} {
		b := newTestControl(t)
		b.lease = c.lease
		b.lease.due = b.now() + leaseRenewal
		if c.registered != 0 {
			m := b.edge.member()
			m.Lease = c.registered
			b.fleet.Put(b.edge.registration(), m)
		}
		b.lease.verify(b, b.now())
		if b.lease.busy {
			b.lease.renewed(b, 5, nil)
		}
		if got := b.lease.id == 0 && b.lease.due <= b.now(); got != c.registersAgain {
			t.Errorf("%s: registers again %v, want %v", c.name, got, c.registersAgain)
		}
	}
}
