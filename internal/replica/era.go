package replica

import (
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// replaceEra starts over with the first listing of a later era, as revisions of different
// eras are not comparable. It returns the items that differ significantly, removals first.
//
// Guards against a store that was restored from an older copy, so that its revisions go
// back. Without this, a replica that keeps its old revision drops every listing as
// outdated and asks for changes after a revision that the store has yet to reach again.
// Changes are then acknowledged but never come into force.
func (r *Replica) replaceEra(items []Item, position revision.Revision, proven time.Duration) []Item {
	old := r.items
	limit := r.maxLogBytes
	*r = *New(r.significant)
	r.LimitLog(limit)
	out := missing(old, items, position.Number)
	for _, i := range r.Replace(items, position, proven) {
		before, known := old[i.Key]
		if !known {
			before = Item{Deleted: true}
		}
		if r.isSignificant(before, i) {
			out = append(out, i)
		}
	}
	return out
}
