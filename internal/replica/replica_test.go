package replica

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"strconv"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// significant treats writes that only append "+" to the value as heartbeats.
func significant(_ string, old, new []byte) bool {
	return !bytes.Equal(bytes.TrimSuffix(old, []byte("+")), bytes.TrimSuffix(new, []byte("+")))
}

func put(key, value string, rev int64) Item {
	return Item{Key: key, Value: []byte(value), Revision: rev}
}

// at returns a revision of a store that does not report eras.
func at(number int64) revision.Revision { return revision.Revision{Number: number} }

func removal(key string, rev int64) Item { return Item{Key: key, Revision: rev, Deleted: true} }

func TestApplyReturnsSignificantChanges(t *testing.T) {
	r := New(significant)
	r.Replace([]Item{put("a", "1", 1), put("b", "1", 2)}, at(5), 0)
	for _, c := range []struct {
		name string
		item Item
		want bool
	}{
		{"heartbeat", put("a", "1+", 6), false},
		{"change", put("a", "2", 7), true},
		{"older change", put("a", "1", 6), false},
		{"removal", removal("b", 8), true},
		{"second removal", removal("b", 9), false},
		{"older write of a removed key", put("b", "1", 7), false},
		{"key written again", put("b", "1", 10), true},
		{"removal of an unknown key", removal("x", 11), false},
	} {
		if got := len(r.Apply([]Item{c.item}, at(c.item.Revision), 0)) > 0; got != c.want {
			t.Errorf("%s: significant %v, want %v", c.name, got, c.want)
		}
	}
}

// The store has compacted its history, so that everything is listed again. Keys that were
// removed in the meantime must be removed here, and keys that were written while the
// pages were read must stay.
func TestReplaceRemovesWhatIsMissing(t *testing.T) {
	r := New(significant)
	r.Replace([]Item{put("a", "1", 1), put("b", "1", 2), put("c", "1", 3)}, at(5), 0)
	out := r.Replace([]Item{put("a", "1", 1), put("c", "2", 12)}, at(10), 0)
	if want := []Item{removal("b", 10), put("c", "2", 12)}; !reflect.DeepEqual(out, want) {
		t.Errorf("changes %v, want %v", out, want)
	}
	if got := r.All(); len(got) != 2 {
		t.Errorf("items left: %v", got)
	}
	if r.Position() != at(10) {
		t.Errorf("position %d, want that before the first page", r.Position())
	}
}

// A listing arrives after peers have brought the replica further. What it contains is
// known already, and what it lacks was written later.
func TestLateListingChangesNothing(t *testing.T) {
	r := New(significant)
	r.Replace([]Item{put("a", "1", 1)}, at(5), 0)
	r.Merge([]Item{put("b", "1", 11)}, at(12), 0)
	if out := r.Replace([]Item{put("a", "1", 1), put("old", "1", 3)}, at(10), 0); len(out) != 0 {
		t.Errorf("changes %v, want none", out)
	}
	if r.Position() != at(12) || len(r.All()) != 2 {
		t.Errorf("position %d with %v", r.Position(), r.All())
	}
}

// A peer reports the last significant change. A replica that has this change is as recent
// as the peer's, and one that lacks it must fetch it.
func TestConfirm(t *testing.T) {
	r := New(significant)
	if r.Confirm(at(5), 3, 0, time.Second) != Behind {
		t.Error("an empty replica was confirmed")
	}
	r.Replace([]Item{put("a", "1", 3)}, at(5), time.Second)
	if r.Confirm(at(20), 3, 0, 2*time.Second) != Current || r.Position() != at(20) || r.Age(3*time.Second) != time.Second {
		t.Errorf("position %d, age %v", r.Position(), r.Age(3*time.Second))
	}
	if r.Confirm(at(30), 25, 0, 4*time.Second) != Behind || r.Age(4*time.Second) != 2*time.Second {
		t.Error("a replica that lacks a change was confirmed")
	}
}

// A peer that was suspended resumes and reports its old position as fresh. This proves
// nothing to a replica with a later position.
func TestConfirmByOutdatedPeer(t *testing.T) {
	r := New(significant)
	r.Replace([]Item{put("a", "1", 3)}, at(50), time.Second)
	if r.Confirm(at(40), 3, 0, 9*time.Second) != Current {
		t.Error("changes are fetched from a peer that is behind")
	}
	if got := r.Age(9 * time.Second); got != 8*time.Second || r.Position() != at(50) {
		t.Errorf("age %v at position %d", got, r.Position())
	}
}

// A peer has just started and listed the store after a target's registration was removed.
// It knows no later change, but that proves nothing: the replica has to learn of the
// removal from a balancer that followed the changes.
func TestConfirmByPeerThatHasJustListed(t *testing.T) {
	r, fresh := New(significant), New(significant)
	r.Replace([]Item{put("a", "1", 3), put("b", "1", 4)}, at(5), 0)
	fresh.Replace([]Item{put("a", "1", 3)}, at(9), time.Second) // b was removed at 8
	if got := r.Confirm(fresh.Position(), fresh.LastChange(), fresh.History(), time.Second); got != Unproven {
		t.Errorf("freshness %v, want unproven", got)
	}
	if r.Position() != at(5) {
		t.Errorf("position %d: the removal at 8 would be missed", r.Position())
	}
}

// A key expires and is written again unchanged, while the store answers one balancer only
// at times and compacts its history. That balancer sees no change, but a peer that
// started in between lacks the key and has to get it.
func TestKeyThatExpiredInAGap(t *testing.T) {
	r, peer := New(significant), New(significant)
	r.Replace([]Item{put("a", "1", 3)}, at(5), 0)
	r.Apply(nil, at(5), 0)
	peer.Replace(nil, at(7), 0) // a was removed at 6
	r.Replace([]Item{put("a", "1", 8)}, at(9), 0)
	if got := peer.Confirm(r.Position(), r.LastChange(), r.History(), 0); got != Behind {
		t.Errorf("freshness %v, want behind", got)
	}
	if _, ok := r.Since(7); ok {
		t.Error("Since returned changes for a revision in the gap, where some are unknown")
	}
	if items, ok := r.Since(5); !ok || len(items) != 1 {
		t.Errorf("changes since before the gap: %v, %v", items, ok)
	}
}

// Two balancers list the store, and a key is removed between the pages of the second one's listing,
// which lacks it. The second balancer lists the store again later and never learns of the removal.
// The first one, which has the key, must not accept the second one's changes as complete.
func TestKeyRemovedBetweenPages(t *testing.T) {
	r, peer := New(significant), New(significant)
	r.Replace([]Item{put("a", "1", 3)}, at(5), 0)
	peer.Replace(nil, at(5), 0) // a was removed at 6, before its page was read
	peer.Replace(nil, at(9), 0)
	if _, ok := peer.Since(r.After(0, peer.History())); ok {
		t.Error("Since returned changes for the position of the first listing, where some are unknown")
	}
}

func TestSinceAndLog(t *testing.T) {
	r := New(significant)
	r.Replace([]Item{put("a", "0", 1)}, at(10), 0)
	if _, ok := r.Since(9); ok {
		t.Error("Since returned changes for a revision before the first listing, where some are unknown")
	}
	for rev := int64(11); rev < 11+3*logLength; rev++ {
		r.Apply([]Item{put(strconv.FormatInt(rev, 10), "a", rev)}, at(rev), 0)
		if len(r.log) > 2*logLength {
			t.Fatalf("the log has %d changes", len(r.log))
		}
	}
	if _, ok := r.Since(12); ok {
		t.Error("the log is not bounded")
	}
	last := r.Position().Number
	if items, ok := r.Since(last - 2); !ok || len(items) != 2 {
		t.Errorf("%d changes, %v", len(items), ok)
	}
}

// Balancers exchange items with the store and each other in any order, with duplicates and old
// listings. In the end all replicas are equal, and none ever returns to an older write of a key.
func TestReplicasConverge(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		store := New(significant)
		store.Replace(nil, at(1), 0)
		a, b := New(significant), New(significant)
		a.Replace(nil, at(1), 0)
		newest := map[string]int64{}
		for rev := int64(2); rev < 60; rev++ {
			key := strconv.Itoa(rng.IntN(5))
			i := put(key, strconv.Itoa(rng.IntN(3)), rev)
			if rng.IntN(4) == 0 {
				i = removal(key, rev)
			}
			store.Apply([]Item{i}, at(rev), 0)
			randomExchange(rng, store, a)
			randomExchange(rng, a, b)
			for k, x := range b.items {
				if x.Revision < newest[k] {
					t.Fatalf("seed %d: key %s went back from %d to %d", seed, k, newest[k], x.Revision)
				}
				newest[k] = x.Revision
			}
		}
		copyChanges(store, a)
		copyChanges(a, b)
		if !sameValues(store, b) {
			t.Fatalf("seed %d: replicas differ:\n%v\n%v", seed, store.All(), b.All())
		}
	}
}

func randomExchange(rng *rand.Rand, from, to *Replica) {
	switch rng.IntN(4) {
	case 0:
		copyChanges(from, to)
	case 1:
		to.Replace(from.All(), from.Position(), 0)
	case 2:
		to.Confirm(from.Position(), from.LastChange(), from.History(), 0)
	}
}

func copyChanges(from, to *Replica) {
	items, ok := from.Since(to.Position().Number)
	if !ok || !to.Loaded() {
		to.Replace(from.All(), from.Position(), 0)
		return
	}
	to.Merge(items, from.Position(), 0)
}

func sameValues(a, b *Replica) bool {
	x, y := a.All(), b.All()
	if len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i].Key != y[i].Key || significant("", x[i].Value, y[i].Value) {
			return false
		}
	}
	return true
}
