package peer

import (
	"net/netip"

	"github.com/pkg/errors"
)

// Member is the record with which a balancer registers itself in the store.
type Member struct {
	VM         string         `cbor:"1,keyasint"`
	DataCenter string         `cbor:"2,keyasint"`
	Control    netip.AddrPort `cbor:"3,keyasint"`
	// Wide is set if the VM's link has the bandwidth to read the store for a whole
	// data centre.
	Wide bool `cbor:"4,keyasint,omitempty"`
	// Lease is the store's ID of the lease of the registration. A restarted
	// balancer renews it, which the store counts as a tenth of a call; a new
	// lease and registration take two calls.
	Lease int64 `cbor:"5,keyasint,omitempty"`
}

// DecodeMember decodes a registration. It returns an error if the name, the data
// centre or the control address is missing, as other programs can write the record
// too.
func DecodeMember(b []byte) (Member, error) {
	var m Member
	if err := Decode(b, &m); err != nil {
		return Member{}, err
	}
	if m.VM == "" || m.DataCenter == "" || !m.Control.IsValid() {
		return Member{}, errors.Errorf("peer: member %q of data centre %q at %v is not complete", m.VM, m.DataCenter, m.Control)
	}
	return m, nil
}

// before is the order of rank in a data centre, the same at every balancer. Members
// with a wide link come first, because the first ones read the store for the others.
func (m Member) before(o Member) bool {
	if m.Wide != o.Wide {
		return m.Wide
	}
	return m.VM < o.VM
}
