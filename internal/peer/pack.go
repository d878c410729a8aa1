package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/internal/revision"
)

// maxUnpacked bounds unpacked items in bytes: a catalogue of 1 MB and the
// registrations of 6,400 targets and 600 balancers, with room.
const maxUnpacked = 32 << 20

// Pack encodes and compresses items.
//
// Failure: a catalogue of 1,840 routes, 280 KB, is copied to the 24 balancers
// of a data centre over one reader's link of 10 Mbit/s, which takes 5 s. It shows
// as packets of flows that wait behind it. Packed it is 15 KB
// (TestLargeCatalogueShrinks).
func Pack(items []replica.Item) ([]byte, error) {
	b, err := Encode(items)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "peer: pack")
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "peer: pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "peer: pack")
	}
	return out.Bytes(), nil
}

// Unpack reverses Pack.
func Unpack(b []byte) ([]replica.Item, error) {
	r := flate.NewReader(bytes.NewReader(b))
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil {
		return nil, errors.Wrap(err, "peer: unpack")
	}
	var items []replica.Item
	return items, Decode(plain, &items)
}

// Packer packs the same items once, however many balancers ask for them.
type Packer struct {
	key    packKey
	packed []byte
}

// packKey tells two lists of changes apart: both end at the last change.
type packKey struct {
	full  bool
	items int
	first int64
	last  revision.Revision
}

// Pack is like the function of that name.
func (p *Packer) Pack(full bool, items []replica.Item, last revision.Revision) ([]byte, error) {
	k := packKey{full: full, items: len(items), last: last}
	if len(items) > 0 {
		k.first = items[0].Revision
	}
	if p.packed != nil && p.key == k {
		return p.packed, nil
	}
	b, err := Pack(items)
	if err != nil {
		return nil, err
	}
	p.key, p.packed = k, b
	return b, nil
}
