package replica

import (
	"slices"
	"sort"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

const (
	// removalRetention is the number of revisions for which a removal is remembered, so
	// that an older listing does not restore the item.
	removalRetention = 100000
)

const (
	// neverLoaded is the age reported for a replica that was never loaded. It exceeds all
	// limits.
	neverLoaded = time.Hour
	// Never stands for the time of an event that has not happened. Times count from the start
	// of the process, so that 0 would be taken for an event at the start.
	Never = -neverLoaded
)

// Replica is a replica of the store. It is not safe for concurrent use.
type Replica struct {
	// significant reports whether a change matters to balancers. Most writes are heartbeats
	// of targets that change nothing else.
	significant func(key string, old, new []byte) bool
	items       map[string]Item
	bytes       int // approximate memory use of items
	log         []Item
	logBytes    int   // approximate memory use of log
	maxLogBytes int   // beyond it, the oldest changes are dropped
	logFrom     int64 // log holds all significant changes after this revision,
	gaps        []gap // except for those in these gaps
	lastChange  int64 // revision of the last significant change
	// position is the revision up to which the replica is complete. All revision numbers
	// in this struct belong to its era.
	position    revision.Revision
	newestAhead int64 // highest revision of an item that was newer than the position on arrival
	// exact is set if the replica holds every key that existed at its position, also
	// those that were removed later. After a listing it may not, as the later pages lack
	// keys that were removed in the meantime.
	exact bool
	// proven is when the replica was last known to be current. It is negative if that was before
	// the start of this process, as for the first copy from a peer.
	proven time.Duration
	loaded bool
}

// New returns an empty replica.
func New(significant func(key string, old, new []byte) bool) *Replica {
	return &Replica{significant: significant, items: map[string]Item{}, maxLogBytes: defaultLogBytes}
}

// Loaded reports whether the replica has ever been filled from a full listing.
func (r *Replica) Loaded() bool { return r.loaded }

// Position returns the revision up to which the replica is complete.
func (r *Replica) Position() revision.Revision { return r.position }

// Age returns the time since the replica was last known to be current, or neverLoaded if
// it was never loaded.
func (r *Replica) Age(now time.Duration) time.Duration {
	if !r.loaded {
		return neverLoaded
	}
	return now - r.proven
}

// After returns the revision after which to request changes from a peer. The peer's
// replica is of the given era and knows all changes after the revision history. It
// returns 0 if a full copy is needed.
//
// Guards against the case that the later pages of a listing, which are newer than its
// position, hold a key that is removed before the peer lists the store. Neither the
// peer's changes since the position nor its listing show the removal, so the key would
// stay forever.
func (r *Replica) After(era, history int64) int64 {
	number := r.position.Number
	if !r.loaded || era != r.position.Era || r.newestAhead > number && history > number {
		return 0
	}
	return number
}

// Bytes returns the approximate memory use of the items, in bytes.
func (r *Replica) Bytes() int { return r.bytes }

// LastChange returns the revision of the last significant change.
func (r *Replica) LastChange() int64 { return r.lastChange }

// Freshness compares a replica with a peer's.
type Freshness int

// Results of a comparison with a peer's replica.
const (
	Current  Freshness = iota // it has every change that the peer has
	Behind                    // it lacks changes that the peer has
	Unproven                  // it may lack changes, as the peer's history starts too late
)

// Confirm evaluates a peer's report. According to the report the store was at position at
// the time proven, no significant change followed lastChange, and the peer knows all
// changes after the revision history. A replica that has all of these is as recent as the
// peer's. A replica of an earlier era is always behind, whatever its revision number.
//
// Guards against a peer that was suspended for seconds, which its clock does not show,
// and reports its outdated replica as fresh. This replica would then count as current
// while it lacks changes. As the store's position advances all the time, a peer with a
// lower position proves nothing.
//
// Also guards against a peer that listed the store shortly after a key was removed. As a
// listing does not show removals, the target would stay in use on balancers that had
// followed the changes before. The report therefore proves nothing to replicas older than
// the peer's listing.
func (r *Replica) Confirm(position revision.Revision, lastChange, history int64, proven time.Duration) Freshness {
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

// Apply applies all changes of the store since the replica's position. They complete it
// up to the given position at the time proven. It returns the significant ones.
func (r *Replica) Apply(items []Item, position revision.Revision, proven time.Duration) []Item {
	return r.applyChanges(items, position, proven, r.isSignificant)
}

// Merge applies the changes since this replica's position that a peer considers
// significant. It returns all that are new here, as each may be significant to a third
// balancer.
func (r *Replica) Merge(items []Item, position revision.Revision, proven time.Duration) []Item {
	return r.applyChanges(items, position, proven, always)
}

// applyChanges applies changes unless they are outdated or belong to another era.
func (r *Replica) applyChanges(items []Item, position revision.Revision, proven time.Duration, isChange func(old, new Item) bool) []Item {
	if r.Outdated(position) || position.Era != r.position.Era {
		return nil
	}
	r.exact = true
	return r.store(items, position.Number, proven, isChange)
}

func always(Item, Item) bool { return true }

// Replace applies a full listing that was complete at position. Items that are missing
// from it are removed unless they changed after position.
//
// Guards against a key that was removed and written again in the part of the history that
// the listing skips. Here nothing changes, but a peer that followed the history lacks the
// key, would not learn of it, and would reset the flows of a live target. All items newer
// than the replica therefore count as changes. Peers whose position is in the gap fetch a
// full copy, as they may hold keys that are missing from the listing.
func (r *Replica) Replace(items []Item, position revision.Revision, proven time.Duration) []Item {
	switch {
	case r.Outdated(position):
		return nil
	case r.loaded && position.Era != r.position.Era:
		return r.replaceEra(items, position, proven)
	}
	removals := slices.DeleteFunc(missing(r.items, items, position.Number), func(i Item) bool {
		return r.items[i.Key].Revision > position.Number
	})
	before := r.position.Number
	switch {
	case !r.loaded:
		r.position.Era = position.Era
		r.logFrom = position.Number
		r.proven = proven
	case position.Number > before && r.exact:
		r.addGap(gap{before, position.Number})
	case position.Number > before:
		// Keys of the previous position may be missing, so that it is in the gap too.
		r.addGap(gap{before - 1, position.Number})
	}
	r.loaded = true
	r.exact = false
	return r.store(append(removals, items...), position.Number, proven, func(old, new Item) bool {
		return new.Revision > before || r.isSignificant(old, new)
	})
}

// missing returns removals for the known items that a listing lacks, ordered by key.
func missing(known map[string]Item, listing []Item, position int64) []Item {
	isListed := make(map[string]bool, len(listing))
	for _, i := range listing {
		isListed[i.Key] = true
	}
	var removals []Item
	for k, i := range known {
		if !i.Deleted && !isListed[k] {
			removals = append(removals, Item{Key: k, Revision: position, Deleted: true})
		}
	}
	sort.Slice(removals, func(a, b int) bool { return removals[a].Key < removals[b].Key })
	return removals
}

// Outdated reports whether an answer that is complete up to position arrives too late,
// because another one has already brought the replica further.
//
// Guards against a starting balancer that asks both the store and a peer that is cut off
// from it. The store's listing arrives first and lacks an expired registration, and the
// peer's old copy would then bring it back. The target would reappear and vanish again
// without peers being informed.
func (r *Replica) Outdated(position revision.Revision) bool {
	return r.loaded && position.Before(r.position)
}

// store stores the items that are newer than the known ones. It returns those that
// isChange selects.
func (r *Replica) store(items []Item, position int64, proven time.Duration, isChange func(old, new Item) bool) []Item {
	var out []Item
	for _, i := range items {
		old, known := r.items[i.Key]
		if known && old.Revision >= i.Revision {
			continue
		}
		if !known {
			old = Item{Deleted: true}
		}
		r.bytes += sizeOf(i)
		if known {
			r.bytes -= sizeOf(old)
		}
		r.items[i.Key] = i
		if i.Revision > position {
			r.newestAhead = max(r.newestAhead, i.Revision)
		}
		changed := isChange(old, i)
		if changed {
			out = append(out, i)
		}
		if changed || i.Deleted {
			// A key that was removed while a listing was read is missing from it. Peers
			// that had the key need the removal.
			r.appendLog(i)
		}
	}
	r.advance(position)
	r.proven = max(r.proven, proven)
	return out
}

// isSignificant reports whether the change from old to new matters to balancers.
func (r *Replica) isSignificant(old, new Item) bool {
	if old.Deleted || new.Deleted {
		return old.Deleted != new.Deleted
	}
	return r.significant(new.Key, old.Value, new.Value)
}

// advance raises the position and forgets removals that are older than removalRetention.
func (r *Replica) advance(position int64) {
	if position <= r.position.Number {
		return
	}
	r.position.Number = position
	for k, i := range r.items {
		if i.Deleted && i.Revision < position-removalRetention {
			r.bytes -= sizeOf(i)
			delete(r.items, k)
		}
	}
}

// Get returns an item unless it does not exist or was removed.
func (r *Replica) Get(key string) (Item, bool) {
	i, ok := r.items[key]
	return i, ok && !i.Deleted
}

// All returns all existing items, ordered by key.
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
