// Package store accesses the platform's key-value store, which holds
// rosedaled's catalogue. The daemon only reads and watches; the command line
// writes with compare-and-swap. rosedale-edge uses platform.Store instead.
// Store is the interface; Consul implements the KV API over net/http without
// a client library, since only a small part of the API is needed and no
// library covers every platform's store.
package store

import (
	"context"

	"github.com/pkg/errors"
)

// Pair is a key with its value, the index of its last write and that of its creation.
type Pair struct {
	Key     string
	Value   []byte
	Index   uint64
	Created uint64
}

// Listing holds every pair below a prefix as of an index of the store.
type Listing struct {
	Index uint64
	Pairs []Pair
}

// Store is the interface of a key-value store with blocking queries and compare-and-swap.
type Store interface {
	// Get returns a pair, or ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns the pairs below prefix. With after > 0 it waits until the
	// store's index exceeds after, or until the store's time limit ends the wait.
	List(ctx context.Context, prefix string, after uint64) (Listing, error)
	// Swap writes value if the key's index is still old; zero means that the
	// key must not exist. ErrConflict means that nothing was written. After
	// any other error it is unknown whether the value was written.
	Swap(ctx context.Context, key string, value []byte, old uint64) error
	// Delete removes the key if its index is still old. Its errors are those of Swap.
	Delete(ctx context.Context, key string, old uint64) error
}

// Errors of a Store.
var (
	ErrNotFound = errors.New("store: no such key")
	ErrConflict = errors.New("store: the key was changed concurrently")
)
