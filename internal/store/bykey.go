package store

import (
	"context"
	"net/url"

	"github.com/pkg/errors"
)

// listByKey reads the names of the keys below a prefix, and then each value by itself. The
// listing's index is that of the names; values may be newer.
//
// Guards against a listing that does not arrive whole, as it exceeds maxBody, is refused or its
// connection ends: the same listing would be asked for again and again.
func (c *Consul) listByKey(ctx context.Context, prefix string) (Listing, error) {
	var names []string
	index, err := c.read(ctx, prefix, url.Values{"keys": {""}}, &names)
	if err != nil {
		return Listing{}, err
	}
	l := Listing{Index: index}
	for _, name := range names {
		p, err := c.Get(ctx, name)
		if errors.Is(err, ErrNotFound) {
			continue // removed in the meantime
		}
		if err != nil {
			return Listing{}, err
		}
		l.Pairs = append(l.Pairs, p)
	}
	return l, nil
}
