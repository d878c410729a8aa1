package replica

import (
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// begin takes the first listing of a later era: nothing of the copy and its history
// compares with it. It returns what differs by value, removals first.
//
// Failure: the store comes back from an older copy, and its revisions go back. A copy that
// goes on by its old revision takes every listing for a late one, and asks for changes
// after a revision that the store has yet to reach again. It shows as changes that are
// acknowledged and never come in force.
func (r *Replica) begin(items []Item, position revision.Revision, proven time.Duration) []Item {
	old := r.items
	*r = *New(r.significant)
	out := missing(old, items, position.Number)
	for _, i := range r.Replace(items, position, proven) {
		before, known := old[i.Key]
		if !known {
			before = Item{Deleted: true}
		}
		if r.matters(before, i) {
			out = append(out, i)
		}
	}
	return out
}
