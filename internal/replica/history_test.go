package replica

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"rosedale.dev/rosedale/internal/revision"
)

// history is the store: all writes in order, of which it may have dropped the older. It
// may come back from an older copy, as another era.
type history struct {
	items []Item   // the i-th has revision i+1
	past  [][]Item // those of earlier eras
	kept  int64    // changes up to here are no longer told
}

func (h *history) era() int64 { return int64(len(h.past)) }

// of returns the writes of an era.
func (h *history) of(era int64) []Item {
	if era == h.era() {
		return h.items
	}
	return h.past[era]
}

// comeBack loses the last writes. Their revisions are given out again.
func (h *history) comeBack(rng *rand.Rand) {
	h.past = append(h.past, h.items)
	h.items = slices.Clone(h.items[:rng.Int64N(h.last()+1)])
	h.kept = min(h.kept, h.last())
}

// at returns what existed at a revision.
func (h *history) at(r revision.Revision) map[string]Item {
	out := map[string]Item{}
	for _, i := range h.of(r.Era)[:r.Number] {
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

// write adds a random write: a heartbeat, a change, a removal or a key that comes back.
func (h *history) write(rng *rand.Rand) {
	rev := h.last() + 1
	key := strconv.Itoa(rng.IntN(4))
	old, exists := h.at(h.now())[key]
	switch {
	case exists && rng.IntN(3) == 0:
		h.items = append(h.items, gone(key, rev))
	case exists && rng.IntN(2) == 0:
		h.items = append(h.items, put(key, strings.TrimSuffix(string(old.Value), "+")+"+", rev))
	default:
		h.items = append(h.items, put(key, strconv.Itoa(rng.IntN(2)), rev))
	}
}

// answer is what a copy asked for and has not got yet.
type answer func(*Replica)

// read asks the store for a copy, as a reader does.
func (h *history) read(r *Replica, rng *rand.Rand) answer {
	if p := r.Position(); r.Loaded() && p.Era == h.era() && p.Number >= h.kept {
		items, at := h.items[p.Number:], h.now()
		return func(r *Replica) { r.Apply(items, at, 0) }
	}
	all, at := h.list(rng)
	return func(r *Replica) { r.Replace(all, at, 0) }
}

// list returns pages of the store and its revision before the first one. The later
// pages may be newer, as writes go on between them.
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

// ask has a copy take another one's word, and ask for what it lacks: always if the
// other one's balancer reads the store.
func ask(from, to *Replica, reading bool) answer {
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

// A store forgets its history, registrations lapse and come back, and some balancers
// list while others follow changes. Whatever a copy says it is complete up to, it must
// hold what the store held then. One that lacks a registration resets the flows of a
// target that lives. The store also comes back from older copies of itself, while answers
// of earlier eras are still under way.
func TestCopiesHoldWhatTheyClaim(t *testing.T) {
	for seed := range uint64(5000) {
		rng := rand.New(rand.NewPCG(seed, 5))
		h := &history{}
		copies := make([]*Replica, 4)
		for i := range copies {
			copies[i] = New(significant)
		}
		waiting := make([][]answer, len(copies))
		for range 80 {
			a, b := rng.IntN(len(copies)), rng.IntN(len(copies))
			switch rng.IntN(15) {
			case 0, 1, 2:
				h.write(rng)
			case 3, 4, 5:
				waiting[a] = append(waiting[a], h.read(copies[a], rng))
			case 6, 7, 8:
				if x := ask(copies[a], copies[b], rng.IntN(2) == 0); x != nil {
					waiting[b] = append(waiting[b], x)
				}
			case 9, 10, 11:
				if n := len(waiting[a]); n > 0 {
					i := rng.IntN(n)
					waiting[a][i](copies[a])
					waiting[a] = slices.Delete(waiting[a], i, i+1)
				}
			case 12:
				h.kept = h.last()
			case 13:
				copies[a], waiting[a] = New(significant), nil // its balancer starts again
			case 14:
				if rng.IntN(4) == 0 {
					h.comeBack(rng)
				}
			}
			for i, r := range copies {
				if missing := lacks(r, h); missing != "" {
					t.Fatalf("seed %d: copy %d at position %v: %s", seed, i, r.Position(), missing)
				}
			}
		}
	}
}

// lacks compares a copy with the store at the copy's position.
func lacks(r *Replica, h *history) string {
	if !r.Loaded() {
		return ""
	}
	want := h.at(r.Position())
	for _, i := range r.All() {
		x, ok := want[i.Key]
		if i.Revision > r.Position().Number {
			delete(want, i.Key) // it is ahead, from a later page
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
		if slices.ContainsFunc(h.of(r.Position().Era)[r.Position().Number:], func(i Item) bool { return i.Key == k && i.Deleted }) {
			continue // removed before a later page
		}
		return "key " + k + " is missing"
	}
	return ""
}
