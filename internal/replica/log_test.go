package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Many versions of a large catalogue are written. The changes that are kept for peers must stay
// within their limit, and hold what such a peer needs.
func TestLogIsBoundedInBytes(t *testing.T) {
	const limit = 1 << 20
	r := New(significant)
	r.LimitLog(limit)
	r.Replace([]Item{put("target", "a", 1)}, at(1), 0)
	large := strings.Repeat("x", 200_000)
	for rev := int64(2); rev < 1300; rev += 2 {
		r.Apply([]Item{put("catalogue", fmt.Sprint(rev, large), rev), put(fmt.Sprint("target", rev), "a", rev+1)}, at(rev+1), time.Duration(rev))
		if r.LogBytes() > limit+210_000 {
			t.Fatalf("revision %d: the log has %d bytes, its limit is %d", rev, r.LogBytes(), limit)
		}
	}
	items, ok := r.Since(1)
	if !ok || len(items) != 650 {
		t.Errorf("a peer at the first revision gets %d changes, %v, want the last version and 649 targets", len(items), ok)
	}
}

// Changes of many keys exceed the limit. The oldest ones go, and a peer that needs them has to
// fetch all items.
func TestOldestChangesLeaveAFullLog(t *testing.T) {
	r := New(significant)
	r.LimitLog(100_000)
	r.Replace(nil, at(1), 0)
	for rev := int64(2); rev < 102; rev++ {
		r.Apply([]Item{put(fmt.Sprint("k", rev), strings.Repeat("x", 10_000), rev)}, at(rev), 0)
	}
	if _, ok := r.Since(50); ok {
		t.Error("a peer that needs dropped changes gets no full copy")
	}
	items, ok := r.Since(99)
	if !ok || len(items) != 2 {
		t.Errorf("a peer that lacks two changes gets %d, %v", len(items), ok)
	}
	if r.LogBytes() > 120_000 {
		t.Errorf("the log has %d bytes", r.LogBytes())
	}
}
