package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/internal/revision"
)

// ErrTooLarge means that a balancer's answer exceeds a limit. A full copy may be smaller than the
// changes.
var ErrTooLarge = errors.New("answer is too large")

// maxUnpacked limits unpacked items, in bytes. A catalogue of 1 MB with the
// registrations of 6,400 targets and 600 balancers fits well within it.
const maxUnpacked = 32 << 20

// Pack encodes and compresses items. Uncompressed, a catalogue of 1,840 routes has
// 280 KB; copying it to the 24 balancers of a data centre takes 5 s on a reader's
// link of 10 Mbit/s, and packets of flows queue behind it. Compressed, it has 15 KB
// (TestLargeCatalogueIsCompressed).
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

// Unpack decompresses and decodes items packed by Pack.
func Unpack(b []byte) ([]replica.Item, error) {
	r := flate.NewReader(bytes.NewReader(b))
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(err, "peer: unpack")
	}
	if len(plain) > maxUnpacked {
		return nil, errors.Wrapf(ErrTooLarge, "peer: unpack: more than %d bytes", maxUnpacked)
	}
	var items []replica.Item
	return items, Decode(plain, &items)
}

// Packer caches the last packed items, so that items that many balancers request are
// packed once.
type Packer struct {
	key    packKey
	packed []byte
}

// packKey identifies packed items. The last revision alone does not, as lists of
// changes of different length end with the same one.
type packKey struct {
	full  bool
	items int
	first int64
	last  revision.Revision
}

// Pack returns the packed items, from the cache if they are those of the last call.
// last is the revision of the last change.
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
