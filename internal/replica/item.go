// Package replica keeps the replica of the platform's store that each balancer of
// rosedale-edge has. It tracks the items, the revision up to which the replica is complete
// and when it was last known to be current, and decides whether this balancer reads the
// store for the others. The package performs no I/O: items and the time are passed in.
package replica

// Item is the last write of a key of the store, or its removal.
type Item struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"` // store revision of the write
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}
