package replica

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"rosedale.dev/rosedale/internal/revision"
)

// history models the store: all writes in order, of which the older ones may be
// compacted. The store may be restored from an older copy, which begins another era.
type history struct {
	items     []Item   // the item at index i has revision i+1
	past      [][]Item // items of earlier eras
	compacted int64    // changes up to this revision are not available
}

func (h *history) era() int64 { return int64(len(h.past)) }

// writesOf returns the writes of an era.
func (h *history) writesOf(era int64) []Item {
	if era == h.era() {
		return h.items
	}
	return h.past[era]
}

// restore drops the last writes, so that their revisions are used again.
func (h *history) restore(rng *rand.Rand) {
	h.past = append(h.past, h.items)
	h.items = slices.Clone(h.items[:rng.Int64N(h.last()+1)])
	h.compacted = min(h.compacted, h.last())
}

// at returns the items that existed at a revision.
func (h *history) at(r revision.Revision) map[string]Item {
	out := map[string]Item{}
	for _, i := range h.writesOf(r.Era)[:r.Number] {
		out[i.Key] = i
		if i.Deleted {
			delete(out, i.Key)
		}
	}
	return out
}

func (h *history) last() int64 { return int64(len(h.items)) }

// now returns the store's revision.
func (h *history) now() revision.Revision { return revision.Revision{Era: h.era(), Number: h.last()} }

// write appends a random write: a heartbeat, a change, a removal or a key that is
// written again after its removal.
func (h *history) write(rng *rand.Rand) {
	rev := h.last() + 1
	key := strconv.Itoa(rng.IntN(4))
	old, exists := h.at(h.now())[key]
	switch {
	case exists && rng.IntN(3) == 0:
		h.items = append(h.items, removal(key, rev))
	case exists && rng.IntN(2) == 0:
		h.items = append(h.items, put(key, strings.TrimSuffix(string(old.Value), "+")+"+", rev))
	default:
		h.items = append(h.items, put(key, strconv.Itoa(rng.IntN(2)), rev))
	}
}

// answer is the answer to a request, still in transit. Calling it delivers it to the
// replica.
type answer func(*Replica)

// read requests changes or a listing from the store, as a reader does.
func (h *history) read(r *Replica, rng *rand.Rand) answer {
	if p := r.Position(); r.Loaded() && p.Era == h.era() && p.Number >= h.compacted {
		items, at := h.items[p.Number:], h.now()
		return func(r *Replica) { r.Apply(items, at, 0) }
	}
	all, at := h.list(rng)
	return func(r *Replica) { r.Replace(all, at, 0) }
}

// list returns the pages of a listing and the store's revision before the first page.
// Later pages may be newer, as writes go on between them.
func (h *history) list(rng *rand.Rand) ([]Item, revision.Revision) {
	at := h.now()
	var all []Item
	for k := range 4 {
		if rng.IntN(3) == 0 {
			h.write(rng)
		}
		if i, ok := h.at(h.now())[strconv.Itoa(k)]; ok {
			all = append(all, i)
		}
	}
	return all, at
}

// requestChanges evaluates the heartbeat of one balancer at another one, and requests the
// changes that the other one lacks. If it is unproven whether it lacks any, it requests
// them only if the first one is reading the store.
func requestChanges(from, to *Replica, reading bool) answer {
	if !from.Loaded() {
		return nil
	}
	switch to.Confirm(from.Position(), from.LastChange(), from.History(), 0) {
	case Current:
		return nil
	case Unproven:
		if !reading {
			return nil
		}
	}
	at := from.Position()
	after := to.After(at.Era, from.History())
	items, ok := from.Since(after)
	if !ok || after == 0 {
		items = from.All()
		return func(r *Replica) { r.Replace(items, at, 0) }
	}
	return func(r *Replica) { r.Merge(items, at, 0) }
}

// The store compacts its history, registrations expire and return, some balancers list
// the store while others follow changes, and the store is restored from older copies
// while answers of earlier eras are in transit. A replica must contain exactly what the
// store contained at the replica's position. A balancer that
// lacks a registration resets the flows of a live target.
func TestReplicasAreCompleteUpToTheirPosition(t *testing.T) {
	for seed := range uint64(5000) {
		rng := rand.New(rand.NewPCG(seed, 5))
		h := &history{}
		replicas := make([]*Replica, 4)
		for i := range replicas {
			replicas[i] = New(significant)
		}
		inTransit := make([][]answer, len(replicas))
		for range 80 {
			a, b := rng.IntN(len(replicas)), rng.IntN(len(replicas))
			switch rng.IntN(15) {
			case 0, 1, 2:
				h.write(rng)
			case 3, 4, 5:
				inTransit[a] = append(inTransit[a], h.read(replicas[a], rng))
			case 6, 7, 8:
				if x := requestChanges(replicas[a], replicas[b], rng.IntN(2) == 0); x != nil {
					inTransit[b] = append(inTransit[b], x)
				}
			case 9, 10, 11:
				if n := len(inTransit[a]); n > 0 {
					i := rng.IntN(n)
					inTransit[a][i](replicas[a])
					inTransit[a] = slices.Delete(inTransit[a], i, i+1)
				}
			case 12:
				h.compacted = h.last()
			case 13:
				replicas[a], inTransit[a] = New(significant), nil // the balancer restarts
			case 14:
				if rng.IntN(4) == 0 {
					h.restore(rng)
				}
			}
			for i, r := range replicas {
				if difference := mismatch(r, h); difference != "" {
					t.Fatalf("seed %d: replica %d at position %v: %s", seed, i, r.Position(), difference)
				}
			}
		}
	}
}

// mismatch compares a replica with the store at the replica's position. It returns an
// empty string if they match.
func mismatch(r *Replica, h *history) string {
	if !r.Loaded() {
		return ""
	}
	want := h.at(r.Position())
	for _, i := range r.All() {
		x, ok := want[i.Key]
		if i.Revision > r.Position().Number {
			delete(want, i.Key) // newer than the position, from a later page
			continue
		}
		if !ok {
			return "key " + i.Key + " was removed"
		}
		if significant("", x.Value, i.Value) {
			return "key " + i.Key + " has an older value"
		}
		delete(want, i.Key)
	}
	for k := range want {
		if slices.ContainsFunc(h.writesOf(r.Position().Era)[r.Position().Number:], func(i Item) bool { return i.Key == k && i.Deleted }) {
			continue // removed before a later page was read
		}
		return "key " + k + " is missing"
	}
	return ""
}
