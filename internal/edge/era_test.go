package edge

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// comeBack has the store be away for a moment and come back from a copy, and lets the
// operator and the targets write again what they had written since.
func (d *deployment) comeBack(b direct.Backup, catalogue map[string]any) {
	d.t.Helper()
	d.store.FailAll(direct.Busy)
	time.Sleep(500 * time.Millisecond)
	d.store.Restore(b)
	d.store.Put(platform.CatalogueKey, catalogue)
	for _, x := range d.targets {
		x.Register()
	}
	d.store.FailAll(direct.Healthy)
}

// The store comes back from an older copy, and its revisions with it. An operator then
// drops a route and adds another one, and a target says that it leaves. Callers found the
// dropped route open, the new one closed, and were sent to the target that leaves: copies
// compared revisions of two lives of the store, took its listings for late ones ("listing
// of the store is older than the copy and changes nothing", 30 below 36) and then asked for
// changes after a revision that had been given out a second time.
func TestChangesAfterTheStoreCameBack(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	d.acquainted()
	backup := d.store.Backup()
	for range 20 {
		for _, x := range d.targets {
			x.Register()
		}
	}
	d.store.Put(platform.CatalogueKey, desired(2, previews, scans))
	for i, b := range d.balancers {
		d.eventually(2*time.Second, fmt.Sprintf("balancer %d has version 2", i), func() bool { return b.believes(t).Version == 2 })
	}
	d.comeBack(backup, desired(2, previews, scans))
	time.Sleep(time.Second)
	leaving := d.targets[0]
	d.store.Put(platform.CatalogueKey, desired(5, previews, newRoute))
	leaving.Drain()
	time.Sleep(d.balancers[0].boot.Apply)
	d.inForce(leaving)
}

// inForce checks that every balancer serves the route that was added, resets flows of the
// one that was dropped, and opens none at a target that leaves.
func (d *deployment) inForce(leaving *direct.Target) {
	d.t.Helper()
	opened := leaving.Opened.Load()
	for i, b := range d.balancers {
		if _, err := d.ask(b, newRoute); err != nil {
			d.t.Errorf("balancer %d: route that was added: %v", i, err)
		}
		if _, err := d.ask(b, scans); !errors.Is(err, direct.ErrReset) {
			d.t.Errorf("balancer %d: route that was dropped: %v, want a reset", i, err)
		}
		for range 10 {
			d.mustAsk(b, previews)
		}
	}
	if n := leaving.Opened.Load() - opened; n > 0 {
		d.t.Errorf("%d flows were opened at the target that leaves", n)
	}
}
