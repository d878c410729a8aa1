package replica

import (
	"slices"
	"sort"
	"time"

	"rosedale.dev/rosedale/internal/revision"
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
	gaps        []gap // but for those in these
	lastChange  int64 // revision of the last significant change
	// position is the revision up to which the copy is complete. All numbers here are of
	// its era.
	position revision.Revision
	ahead    int64 // the newest item that was beyond the position when it came
	// exact tells that nothing is missing that was removed after the position: later
	// pages of a listing lack such keys.
	exact  bool
	proven time.Duration
	loaded bool
}

// New returns an empty replica.
func New(significant func(key string, old, new []byte) bool) *Replica {
	return &Replica{significant: significant, items: map[string]Item{}}
}

// Loaded reports whether the replica has ever held a full listing.
func (r *Replica) Loaded() bool { return r.loaded }

// Position returns the revision up to which the copy is complete.
func (r *Replica) Position() revision.Revision { return r.position }

// Age returns how old the copy may be at most.
func (r *Replica) Age(now time.Duration) time.Duration {
	if !r.loaded {
		return neverLoaded
	}
	return now - r.proven
}

// After returns the revision after which to ask for changes another balancer whose copy
// is of an era and knows all of them after the revision history, or 0 if a full copy is
// needed.
//
// Failure: a listing's later pages are newer than its position, and hold a key that is
// removed before the other balancer lists the store. It shows as a key that stays for
// ever, as neither the changes since the position nor that listing tell of it.
func (r *Replica) After(era, history int64) int64 {
	number := r.position.Number
	if !r.loaded || era != r.position.Era || r.ahead > number && history > number {
		return 0
	}
	return number
}

// LastChange returns the revision of the last change that mattered.
func (r *Replica) LastChange() int64 { return r.lastChange }

// Standing is how a copy compares with another balancer's.
type Standing int

// The standings.
const (
	Current  Standing = iota // it has all that the other one has
	Behind                   // it lacks changes that the other one has
	Unproven                 // it may lack some, as the other one does not know them all
)

// Confirm takes another balancer's word that at the time proven the store was at
// position, nothing after lastChange mattered, and it knows all changes after the
// revision history. A copy that has all that is as new as the other one's. A later era
// leaves every copy of an earlier one behind, whatever their numbers.
//
// Failure: a balancer was suspended for seconds, which its clock does not show,
// and says that its old copy is fresh. It shows as a copy that is taken for
// current while changes are missing. Its position gives it away, as the store's
// goes on all the time: nobody who is behind can prove anything.
//
// Failure: a balancer has just listed the store, and a key was removed shortly
// before. It shows as a target that stays in use on peers which had followed the
// changes until then, as a listing does not tell of removals. So it proves nothing to
// copies that are older than its listing.
func (r *Replica) Confirm(position revision.Revision, lastChange, history int64, proven time.Duration) Standing {
	number := r.position.Number
	switch {
	case !r.loaded || r.position.Era < position.Era:
		return Behind
	case position.Era < r.position.Era:
		return Current
	case number < lastChange:
		return Behind
	case position.Number < number:
		return Current
	case number < history && number < position.Number:
		return Unproven
	}
	r.exact = r.exact || position.Number > number
	r.advance(position.Number)
	r.proven = max(r.proven, proven)
	return Current
}

// Apply takes all changes of the store since the copy's position, which complete it up
// to another one at the time proven. It returns those that matter.
func (r *Replica) Apply(items []Item, position revision.Revision, proven time.Duration) []Item {
	return r.follow(items, position, proven, r.matters)
}

// Merge takes the changes that matter to another balancer since this copy's position.
// All of them may matter to a third one, whatever they change here.
func (r *Replica) Merge(items []Item, position revision.Revision, proven time.Duration) []Item {
	return r.follow(items, position, proven, always)
}

// follow takes changes unless they come too late, or are of another era than the copy.
func (r *Replica) follow(items []Item, position revision.Revision, proven time.Duration, news func(old, new Item) bool) []Item {
	if r.Outdated(position) || position.Era != r.position.Era {
		return nil
	}
	r.exact = true
	return r.take(items, position.Number, proven, news)
}

func always(Item, Item) bool { return true }

// Replace takes a full listing that was complete at position: what it lacks is
// removed. Items that changed after position stay.
//
// Failure: a key was removed and written again in the history that the listing jumps
// over. It changes nothing here, but a peer that followed the history lacks the key, is
// told of no change, and resets the flows of a target that lives. So all items that are
// newer than the copy count as changes, and peers in the gap take a full copy, as they
// may hold keys of which the listing tells nothing.
func (r *Replica) Replace(items []Item, position revision.Revision, proven time.Duration) []Item {
	switch {
	case r.Outdated(position):
		return nil
	case r.loaded && position.Era != r.position.Era:
		return r.begin(items, position, proven)
	}
	gone := slices.DeleteFunc(missing(r.items, items, position.Number), func(i Item) bool {
		return r.items[i.Key].Revision > position.Number
	})
	before := r.position.Number
	switch {
	case !r.loaded:
		r.position.Era = position.Era
		r.logFrom = position.Number
	case position.Number > before && r.exact:
		r.jump(gap{before, position.Number})
	case position.Number > before:
		r.jump(gap{before - 1, position.Number})
	}
	r.loaded = true
	r.exact = false
	return r.take(append(gone, items...), position.Number, proven, func(old, new Item) bool {
		return new.Revision > before || r.matters(old, new)
	})
}

// missing returns the removals of what a listing lacks, by their keys.
func missing(known map[string]Item, listed []Item, position int64) []Item {
	has := make(map[string]bool, len(listed))
	for _, i := range listed {
		has[i.Key] = true
	}
	var gone []Item
	for k, i := range known {
		if !i.Deleted && !has[k] {
			gone = append(gone, Item{Key: k, Revision: position, Deleted: true})
		}
	}
	sort.Slice(gone, func(a, b int) bool { return gone[a].Key < gone[b].Key })
	return gone
}

// Outdated reports whether an answer that is complete up to a revision comes too late,
// as another one has completed the copy further meanwhile.
//
// Failure: a balancer that starts asks the store and a peer that is cut off from it. The
// store's listing comes first and lacks a registration that has lapsed, then the peer's
// old copy brings it back. It shows as a target that comes and goes unnoticed, and whose
// return is not told to peers.
func (r *Replica) Outdated(position revision.Revision) bool {
	return r.loaded && position.Before(r.position)
}

// take stores the items that are newer than those known. news tells which of them
// matter.
func (r *Replica) take(items []Item, position int64, proven time.Duration, news func(old, new Item) bool) []Item {
	var out []Item
	for _, i := range items {
		old, known := r.items[i.Key]
		if known && old.Revision >= i.Revision {
			continue
		}
		if !known {
			old = Item{Deleted: true}
		}
		r.items[i.Key] = i
		if i.Revision > position {
			r.ahead = max(r.ahead, i.Revision)
		}
		changed := news(old, i)
		if changed {
			out = append(out, i)
		}
		if changed || i.Deleted {
			// A key that was removed while a listing was read is not in it: peers
			// that had it before need to hear of its end.
			r.note(i)
		}
	}
	r.advance(position)
	r.proven = max(r.proven, proven)
	return out
}

// matters reports whether a change that follows directly on another one matters.
func (r *Replica) matters(old, new Item) bool {
	if old.Deleted || new.Deleted {
		return old.Deleted != new.Deleted
	}
	return r.significant(new.Key, old.Value, new.Value)
}

func (r *Replica) advance(position int64) {
	if position <= r.position.Number {
		return
	}
	r.position.Number = position
	for k, i := range r.items {
		if i.Deleted && i.Revision < position-removedMemory {
			delete(r.items, k)
		}
	}
}

// Get returns an item that exists.
func (r *Replica) Get(key string) (Item, bool) {
	i, ok := r.items[key]
	return i, ok && !i.Deleted
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
