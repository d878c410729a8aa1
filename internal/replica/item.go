// Package replica keeps a balancer's copy of the platform's store: which items
// there are, up to which revision the copy is complete, when that was last known
// to be current, and who reads the store for a data centre. It is pure: items
// and the time go in.
package replica

// Item is a key of the store as it was last written, or its removal.
type Item struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"` // of the store, when the item was written
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}
