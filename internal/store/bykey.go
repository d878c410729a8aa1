package store

import (
	"context"
	"net/url"
	"sync"

	"github.com/pkg/errors"
)

// partialListing is what reads key by key below a prefix have read so far.
type partialListing struct {
	index uint64          // of the names at the first attempt
	pairs map[string]Pair // by key
}

// partialListings holds partial listings by prefix until they are complete.
type partialListings struct {
	mu       sync.Mutex
	byPrefix map[string]*partialListing
}

// take removes and returns the partial listing of a prefix, or a new one. index is that of the
// present names. If it is lower than at the first attempt, the store was restored and nothing of
// before counts.
func (p *partialListings) take(prefix string, index uint64) *partialListing {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.byPrefix[prefix]
	delete(p.byPrefix, prefix)
	if l == nil || index < l.index {
		return &partialListing{index: index, pairs: map[string]Pair{}}
	}
	return l
}

func (p *partialListings) keep(prefix string, l *partialListing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byPrefix[prefix] = l
}

// listByKey reads the names of the keys below a prefix, and then each value by itself, unless none
// has changed since the index after; then the listing is empty. q holds the parameters of a blocking
// query, which the one for the names is as well. If a read fails, the next call goes on with the keys
// that are missing. The listing's index is that of the names at the first attempt, so that a query
// for changes since shows those of values read before.
//
// Guards against a listing that does not arrive whole, as it exceeds maxBody, is refused or its
// connection ends: the same listing would be asked for again and again.
func (c *Consul) listByKey(ctx context.Context, prefix string, after uint64, q url.Values) (Listing, error) {
	var names []string
	q.Set("keys", "")
	index, err := c.read(ctx, prefix, q, &names)
	if err != nil || after > 0 && index == after {
		return Listing{Index: index}, err
	}
	part := c.partial.take(prefix, index)
	for _, name := range names {
		if _, read := part.pairs[name]; read {
			continue
		}
		p, err := c.Get(ctx, name)
		if errors.Is(err, ErrNotFound) {
			continue // removed in the meantime
		}
		if err != nil {
			c.partial.keep(prefix, part)
			return Listing{}, err
		}
		part.pairs[name] = p
	}
	return part.listing(names), nil
}

// listing returns the pairs that have a name and were not removed in the meantime.
func (p *partialListing) listing(names []string) Listing {
	l := Listing{Index: p.index}
	for _, name := range names {
		if pair, ok := p.pairs[name]; ok {
			l.Pairs = append(l.Pairs, pair)
		}
	}
	return l
}
