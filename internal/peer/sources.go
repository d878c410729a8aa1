package peer

import (
	"net/netip"
	"slices"

	"github.com/pkg/errors"
)

// MaxBootstrapSources is the number of bootstrap sources of a data centre. One that
// answers is enough, so two can be dead or cut off at the same time.
const MaxBootstrapSources = 3

// sizeTolerance is the divisor of a data centre's size that gives the change, a quarter,
// up to which the record in the store is not rewritten.
const sizeTolerance = 4

// BootstrapSources lists the balancers of a data centre from which a starting balancer
// fetches its first copy of the store. The list is kept in the store, because a
// starting balancer does not know any other balancer.
type BootstrapSources struct {
	Balancers []netip.AddrPort `cbor:"1,keyasint"` // control addresses in order of rank
	Size      int              `cbor:"2,keyasint"` // number of balancers of the data centre
}

// DecodeBootstrapSources decodes a record of the store. It returns an error if the
// record has no or an invalid address, or a size below 1.
func DecodeBootstrapSources(b []byte) (BootstrapSources, error) {
	var s BootstrapSources
	if err := Decode(b, &s); err != nil {
		return BootstrapSources{}, err
	}
	if len(s.Balancers) == 0 || s.Size < 1 || slices.ContainsFunc(s.Balancers, func(a netip.AddrPort) bool { return !a.IsValid() }) {
		return BootstrapSources{}, errors.Errorf("peer: invalid bootstrap sources %v for %d balancers", s.Balancers, s.Size)
	}
	return s, nil
}

// UpToDate reports whether the record s in the store can stay, given the current
// bootstrap sources of the data centre: the balancers are the same, in the same order,
// and the size differs from the current one by at most a quarter of that.
func (s BootstrapSources) UpToDate(current BootstrapSources) bool {
	diff := max(s.Size-current.Size, current.Size-s.Size)
	return slices.Equal(s.Balancers, current.Balancers) && diff*sizeTolerance <= current.Size
}
