package replica

import (
	"sort"
	"time"
)

const (
	// logLength is the number of changes kept for peers that lag. A peer that
	// lags further takes all items.
	logLength = 1024
	// removedMemory is the number of revisions for which a removal is
	// remembered, so that an older listing does not bring the item back.
	removedMemory = 100000
)

// neverLoaded is the age of a copy that was never loaded: longer than any limit.
const neverLoaded = time.Hour

// Replica is the copy. It is not safe for concurrent use.
type Replica struct {
	// significant reports whether a change matters to balancers: most writes
	// are heartbeats that change nothing else.
	significant func(key string, old, new []byte) bool
	items       map[string]Item
	log         []Item
	logFrom     int64 // the log holds all significant changes after this revision
	lastChange  int64 // revision of the last significant change
	position    int64
	proven      time.Duration
	loaded      bool
}

// New returns an empty replica.
func New(significant func(key string, old, new []byte) bool) *Replica {
	return &Replica{significant: significant, items: map[string]Item{}}
}

// Loaded reports whether the replica has ever held a full listing.
func (r *Replica) Loaded() bool { return r.loaded }

// Position returns the revision up to which the copy is complete.
func (r *Replica) Position() int64 { return r.position }

// Age returns how old the copy may be at most.
func (r *Replica) Age(now time.Duration) time.Duration {
	if !r.loaded {
		return neverLoaded
	}
	return now - r.proven
}

// LastChange returns the revision of the last change that mattered.
func (r *Replica) LastChange() int64 { return r.lastChange }

// Confirm takes another balancer's word that at the time proven the store was
// at position and nothing after lastChange mattered. It reports whether this
// copy has all that, so that it need not be fetched.
//
// Failure: a balancer was suspended for seconds, which its clock does not show,
// and says that its old copy is fresh. It shows as a copy that is taken for
// current while changes are missing. Its position gives it away, as the store's
// goes on all the time: nobody who is behind can prove anything.
func (r *Replica) Confirm(position, lastChange int64, proven time.Duration) bool {
	if !r.loaded || r.position < lastChange {
		return false
	}
	if position >= r.position {
		r.advance(position)
		r.proven = max(r.proven, proven)
	}
	return true
}

// Apply takes changes that complete the copy up to position at the time
// proven. It returns those that matter.
func (r *Replica) Apply(items []Item, position int64, proven time.Duration) []Item {
	var out []Item
	for _, i := range items {
		if r.put(i) {
			out = append(out, i)
		}
	}
	r.advance(position)
	r.proven = max(r.proven, proven)
	return out
}

// Replace takes a full listing that was complete at position: what it lacks is
// removed. Items that changed after position stay.
func (r *Replica) Replace(items []Item, position int64, proven time.Duration) []Item {
	listed := make(map[string]bool, len(items))
	for _, i := range items {
		listed[i.Key] = true
	}
	var gone []Item
	for k, i := range r.items {
		if !i.Deleted && !listed[k] && i.Revision <= position {
			gone = append(gone, Item{Key: k, Revision: position, Deleted: true})
		}
	}
	sort.Slice(gone, func(a, b int) bool { return gone[a].Key < gone[b].Key })
	if !r.loaded {
		r.logFrom = position
	}
	r.loaded = true
	return r.Apply(append(gone, items...), position, proven)
}

// put stores an item unless a newer one is known, and reports whether the
// change matters.
func (r *Replica) put(i Item) bool {
	old, known := r.items[i.Key]
	if known && old.Revision >= i.Revision {
		return false
	}
	r.items[i.Key] = i
	switch {
	case i.Deleted && (!known || old.Deleted):
		return false
	case known && !old.Deleted && !i.Deleted && !r.significant(i.Key, old.Value, i.Value):
		return false
	}
	r.lastChange = max(r.lastChange, i.Revision)
	r.log = append(r.log, i)
	if len(r.log) > 2*logLength {
		r.logFrom = r.log[logLength-1].Revision
		r.log = append(r.log[:0], r.log[logLength:]...)
	}
	return true
}

func (r *Replica) advance(position int64) {
	if position <= r.position {
		return
	}
	r.position = position
	for k, i := range r.items {
		if i.Deleted && i.Revision < position-removedMemory {
			delete(r.items, k)
		}
	}
}

// Since returns the changes that matter after a revision, and false if they are
// no longer kept, so that all items have to be taken.
func (r *Replica) Since(after int64) ([]Item, bool) {
	if after < r.logFrom {
		return nil, false
	}
	var out []Item
	for _, i := range r.log {
		if i.Revision > after {
			out = append(out, i)
		}
	}
	return out, true
}

// All returns all items that exist.
func (r *Replica) All() []Item {
	out := make([]Item, 0, len(r.items))
	for _, i := range r.items {
		if !i.Deleted {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out
}
