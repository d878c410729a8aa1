package peer

import (
	"net/netip"

	"github.com/pkg/errors"
)

// Member is a balancer as it registers itself in the store.
type Member struct {
	VM         string         `cbor:"1,keyasint"`
	DataCenter string         `cbor:"2,keyasint"`
	Control    netip.AddrPort `cbor:"3,keyasint"`
	// Wide tells that the VM's link carries a whole data centre's reading.
	Wide bool `cbor:"4,keyasint,omitempty"`
	// Lease keeps the registration. A balancer that starts again goes on with
	// it, which costs a tenth of a call instead of two.
	Lease int64 `cbor:"5,keyasint,omitempty"`
}

// DecodeMember decodes a registration. One that another program wrote may lack what
// every balancer has.
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

// before ranks the members of a data centre alike everywhere: those with a wide
// link come first, as the first ones read the store for the others.
func (m Member) before(o Member) bool {
	if m.Wide != o.Wide {
		return m.Wide
	}
	return m.VM < o.VM
}
