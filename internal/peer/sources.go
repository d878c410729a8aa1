package peer

import (
	"net/netip"
	"slices"

	"github.com/pkg/errors"
)

// MaxSources is the number of balancers of a data centre that hand out copies of the
// store to those that start: one that answers is enough, and two may be dead or cut off
// at the same time.
const MaxSources = 3

// sizeSlack is the part of a data centre by which its size may have changed before
// that is worth a write to the store.
const sizeSlack = 4

// BootstrapSources names the balancers of a data centre from which one that starts takes its
// first copy of the store. It lies in the store, as a balancer that starts knows no
// other one.
type BootstrapSources struct {
	Balancers []netip.AddrPort `cbor:"1,keyasint"` // control addresses, best first
	Size      int              `cbor:"2,keyasint"` // balancers of the data centre
}

// DecodeBootstrapSources decodes a record of the store.
func DecodeBootstrapSources(b []byte) (BootstrapSources, error) {
	var s BootstrapSources
	if err := Decode(b, &s); err != nil {
		return BootstrapSources{}, err
	}
	if len(s.Balancers) == 0 || s.Size < 1 || slices.ContainsFunc(s.Balancers, func(a netip.AddrPort) bool { return !a.IsValid() }) {
		return BootstrapSources{}, errors.Errorf("peer: sources %v of %d balancers are not usable", s.Balancers, s.Size)
	}
	return s, nil
}

// UpToDate reports whether the record still does for a data centre whose sources are now.
func (s BootstrapSources) UpToDate(now BootstrapSources) bool {
	off := max(s.Size-now.Size, now.Size-s.Size)
	return slices.Equal(s.Balancers, now.Balancers) && off*sizeSlack <= now.Size
}
