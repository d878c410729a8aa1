package health

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/wire"
)

func anyChecker(uint32) bool { return true }

// A target becomes unhealthy after Fall failed checks in a row, and healthy after Rise
// successful ones. Fewer results change nothing.
func TestHealthNeedsRepeatedResults(t *testing.T) {
	h := NewTable()
	at := func(i int) time.Duration { return time.Duration(i) * time.Second }
	for i, c := range []struct{ ok, want bool }{
		{true, true}, {false, true}, {true, true}, {false, true}, {false, true}, {false, false}, {true, false}, {true, true},
	} {
		h.Result(at(i), 1, 7, c.ok, 0, uint32(i))
		if s := h.State(at(i), 7, anyChecker); s.Healthy != c.want {
			t.Fatalf("after result %d: healthy %v", i, s.Healthy)
		}
	}
}

// A target is partitioned together with a checker that found it healthy. That finding must
// be ignored, as the balancers on this side cannot reach the target.
func TestFindingsBeyondPartitionAreIgnored(t *testing.T) {
	h := NewTable()
	h.Merge(0, wire.Health{Target: 7, Checker: 2, Seq: 1, Healthy: true})
	for i := range 4 {
		h.Result(time.Second, 1, 7, false, 0, uint32(i))
	}
	if !h.State(time.Second, 7, anyChecker).Healthy {
		t.Fatal("unhealthy although a reachable checker reaches the target")
	}
	if h.State(time.Second, 7, func(c uint32) bool { return c == 1 }).Healthy {
		t.Fatal("the finding of a checker beyond the partition is used")
	}
}

// A delayed message with an older finding must not replace a newer one.
func TestOlderFindingIsIgnored(t *testing.T) {
	h := NewTable()
	h.Merge(0, wire.Health{Target: 7, Checker: 2, Seq: 5, Healthy: false})
	if h.Merge(0, wire.Health{Target: 7, Checker: 2, Seq: 4, Healthy: true}) || h.State(0, 7, anyChecker).Healthy {
		t.Fatal("the older finding replaced the newer one")
	}
}

// Two results of a checker arrive within a second, whose time is their number, and the second
// one changes the finding. Peers must take it over, or they would send flows to an unhealthy
// target until a later result reaches them.
func TestResultsWithinASecondAreDistinct(t *testing.T) {
	const second = 1000
	own, peer := NewTable(), NewTable()
	for i, ok := range []bool{true, false, false, false} {
		own.Result(time.Duration(i), 1, 7, ok, 0, second)
		for _, h := range own.TakeDirty() {
			peer.Merge(time.Duration(i), h)
		}
	}
	if peer.State(1, 7, anyChecker).Healthy {
		t.Error("the peer ignored the later finding")
	}
}
