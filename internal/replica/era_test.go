package replica

import (
	"reflect"
	"testing"

	"rosedale.dev/rosedale/internal/revision"
)

// The store is restored from an older copy, with lower revisions. From then on its
// listing is in force, including changes with revisions that the earlier era had used
// already.
func TestReplaceAfterStoreRestore(t *testing.T) {
	r := New(significant)
	first, second := revision.Revision{Era: 1, Number: 36}, revision.Revision{Era: 2, Number: 30}
	r.Replace([]Item{put("a", "1", 3), put("b", "1", 35), put("c", "1", 36)}, first, 0)
	out := r.Replace([]Item{put("a", "1+", 3), put("b", "0", 4), put("d", "1", 30)}, second, 0)
	if want := []Item{removal("c", 30), put("b", "0", 4), put("d", "1", 30)}; !reflect.DeepEqual(out, want) {
		t.Errorf("changes %v, want %v", out, want)
	}
	if out := r.Apply([]Item{put("a", "2", 33)}, second.At(33), 0); len(out) != 1 {
		t.Error("a change with a revision that an earlier era had used was not applied")
	}
	if r.Position() != second.At(33) {
		t.Errorf("position %v", r.Position())
	}
}

// Answers of the previous era from the store and from peers arrive after the restore.
// They must change nothing and prove nothing.
func TestAnswersOfAnEarlierEra(t *testing.T) {
	r := New(significant)
	old, now := revision.Revision{Era: 1, Number: 50}, revision.Revision{Era: 2, Number: 30}
	r.Replace([]Item{put("a", "1", 3)}, now, 0)
	if out := r.Replace(nil, old, 5); len(out) > 0 {
		t.Errorf("listing: %v", out)
	}
	if out := r.Apply([]Item{put("a", "2", 50)}, old, 5); len(out) > 0 {
		t.Errorf("changes: %v", out)
	}
	if got := r.Confirm(old, 50, 0, 5); got != Current || r.Age(5) != 5 || r.Position() != now {
		t.Errorf("%v with age %d at %v", got, r.Age(5), r.Position())
	}
}

// A balancer learns of the new era from a peer's heartbeat. It needs a full copy, as the
// changes after its old revision belong to another era.
func TestPeerKnowsALaterEra(t *testing.T) {
	r, peer := New(significant), New(significant)
	r.Replace([]Item{put("a", "1", 3)}, revision.Revision{Era: 1, Number: 50}, 0)
	peer.Replace([]Item{put("a", "0", 2)}, revision.Revision{Era: 2, Number: 30}, 0)
	if got := r.Confirm(peer.Position(), peer.LastChange(), peer.History(), 5); got != Behind {
		t.Errorf("%v, want behind", got)
	}
	if after := r.After(peer.Position().Era, peer.History()); after != 0 {
		t.Errorf("asks for the changes after %d, want a full copy", after)
	}
}
