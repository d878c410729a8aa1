package edge

import (
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// largeState returns a desired state of about the given size, in bytes.
func largeState(version, size int) map[string]any {
	s := desiredState(version, scans, newRoute)
	s["note"] = strings.Repeat("x", size)
	return s
}

// While the store is away for the balancers, so many versions of a large catalogue are written
// that the changes exceed the largest response. The balancers must list the store instead of
// asking for the same changes again and again.
func TestChangesThatExceedAResponseAreListed(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.store.FailAll(direct.Busy)
	time.Sleep(600 * time.Millisecond)
	for version := 10; version < 16; version++ {
		d.store.Put(platform.CatalogueKey, largeState(version, 900_000))
	}
	d.store.FailAll(direct.Healthy)
	for _, b := range d.balancers {
		d.eventually(b.boot.Apply, "the last version is in force", func() bool { return b.adminStatus(t).Version == 15 })
	}
	if n := d.balancers[0].edge.counts.readsTooLarge.Load(); n == 0 {
		t.Error("no response was counted as too large")
	}
}
