package edge

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// restoreStore makes the store unreachable for a moment, restores it from an older copy,
// and lets the operator and the targets write again what they had written since that copy
// was made.
func (d *deployment) restoreStore(b direct.Backup, catalogue map[string]any) {
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

// Guards against changes that never come into force after the store was restored from an
// older copy with lower revisions. Balancers that compared revisions of two eras dropped
// the store's listings as outdated ("listing of the store is older than the copy and
// changes nothing", 30 below 36) and then asked for changes after a revision that was used
// a second time. Callers found a removed route open and an added one closed, and were sent
// to a target that was leaving.
func TestChangesAfterTheStoreCameBack(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	d.waitForPeers()
	backup := d.store.Backup()
	for range 20 {
		for _, x := range d.targets {
			x.Register()
		}
	}
	d.store.Put(platform.CatalogueKey, desiredState(2, previews, scans))
	for i, b := range d.balancers {
		d.eventually(2*time.Second, fmt.Sprintf("balancer %d has version 2", i), func() bool { return b.adminStatus(t).Version == 2 })
	}
	d.restoreStore(backup, desiredState(2, previews, scans))
	time.Sleep(time.Second)
	leaving := d.targets[0]
	d.store.Put(platform.CatalogueKey, desiredState(5, previews, newRoute))
	leaving.Drain()
	time.Sleep(d.balancers[0].boot.Apply)
	d.checkInForce(leaving)
}

// checkInForce checks that every balancer serves the added route, resets flows of the
// removed one, and opens none at a leaving target.
func (d *deployment) checkInForce(leaving *direct.Target) {
	d.t.Helper()
	opened := leaving.Opened.Load()
	for i, b := range d.balancers {
		if _, err := d.ask(b, newRoute); err != nil {
			d.t.Errorf("balancer %d: added route: %v", i, err)
		}
		if _, err := d.ask(b, scans); !errors.Is(err, direct.ErrReset) {
			d.t.Errorf("balancer %d: removed route: %v, want a reset", i, err)
		}
		for range 10 {
			d.mustAsk(b, previews)
		}
	}
	if n := leaving.Opened.Load() - opened; n > 0 {
		d.t.Errorf("%d flows were opened at the leaving target", n)
	}
}
