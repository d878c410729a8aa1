package edge

import (
	"slices"
	"strings"
	"testing"
	"time"

	forward "rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// rewriteDelay is how long the operator and the targets take in these tests to write
// again what the store has lost.
const rewriteDelay = 1500 * time.Millisecond

// restoreAndWait restores the store from an older copy and waits while the entries
// written since are missing.
func (d *deployment) restoreAndWait(b direct.Backup) {
	d.t.Helper()
	d.store.Restore(b)
	time.Sleep(rewriteDelay)
}

// openAt opens a flow at a target of the service "catalogue".
func (d *deployment) openAt(x *direct.Target) *direct.Flow {
	d.t.Helper()
	for range 100 {
		fl, err := d.caller.Open(previews, d.balancers[0].boot.Data)
		if err != nil {
			d.t.Fatal(err)
		}
		if got, err := fl.Ask("a", time.Second); err == nil && strings.HasSuffix(got, x.Name()) {
			return fl
		}
		fl.Close()
	}
	d.t.Fatalf("no flow was opened at %s", x.Name())
	return nil
}

// A target registers, gets a flow and announces that it leaves. The store is restored
// from a copy that lacks the target, which registers again seconds later. The flow must
// continue in the meantime. Without settling, a missing target that had announced that it
// leaves would count as gone, and its flows would be reset.
func TestOpenFlowAtTargetThatTheOlderCopyLacks(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.waitForPeers()
	backup := d.store.Backup()
	x := d.addTarget(0xa000000009, "catalogue")
	d.eventually(2*time.Second, "the target is known", func() bool { return d.allKnow(x, "") })
	fl := d.openAt(x)
	x.Drain()
	d.eventually(2*time.Second, "all know that the target leaves", func() bool { return d.allKnow(x, "draining") })
	d.restoreAndWait(backup)
	x.SetWork(400 * time.Millisecond) // longer than the caller's retransmission timeout
	for i, b := range d.balancers {
		fl.Via = b.boot.Data
		if _, err := fl.Ask("b", time.Second); err != nil {
			t.Errorf("balancer %d: open flow: %v", i, err)
		}
	}
	x.Register()
	time.Sleep(time.Second)
	if _, err := fl.Ask("c", time.Second); err != nil {
		t.Errorf("open flow after the target registered again: %v", err)
	}
}

// allKnow reports whether all balancers know a target in the given state, or in any state
// if it is empty.
func (d *deployment) allKnow(x *direct.Target, state string) bool {
	id := forward.TargetID(x.ID).String()
	for _, b := range d.balancers {
		if !slices.ContainsFunc(b.adminStatus(d.t).Targets, func(i forward.TargetInfo) bool { return i.ID == id && (state == "" || i.State == state) }) {
			return false
		}
	}
	return true
}

// The store is restored with an old catalogue and list of targets, and the operator and a
// leaving target write again only later. Until then removed routes must stay removed,
// added ones must stay open, and the target must get no flows.
func TestRestoredStoreUndoesNothing(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.waitForPeers()
	backup := d.store.Backup()
	leaving := d.targets[0]
	leaving.Drain()
	d.store.Put(platform.CatalogueKey, desiredState(4, previews, newRoute))
	time.Sleep(rewriteDelay)
	d.restoreAndWait(backup)
	d.checkInForce(leaving)
}

// Two balancers register, and the store is restored from a copy made before. Only the
// balancers themselves can write their registrations again, and without these they get no
// heartbeats.
func TestRegistrationsThatTheOlderCopyLacks(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.eventually(3*time.Second, "the first one is registered", func() bool { return len(d.store.Keys(platform.MemberPrefix)) == 1 })
	backup := d.store.Backup()
	for range 2 {
		d.start(d.balancers[len(d.balancers)-1].boot.Data.Addr().Next())
	}
	d.eventually(5*time.Second, "all are registered", func() bool { return len(d.store.Keys(platform.MemberPrefix)) == 3 })
	d.waitForPeers()
	d.store.Restore(backup)
	d.eventually(3*time.Second, "all are registered again", func() bool { return len(d.store.Keys(platform.MemberPrefix)) == 3 })
}

// The restored store lacks a target that has crashed in the meantime. Once the store has
// settled, the target must count as gone.
func TestTargetThatStaysMissingIsGone(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	backup := d.store.Backup()
	x := d.addTarget(0xa000000009, "catalogue")
	d.eventually(2*time.Second, "the target is known", func() bool { return d.allKnow(x, "") })
	d.store.Restore(backup)
	b := d.balancers[0]
	d.eventually(2*time.Second, "the restore is logged", func() bool { return len(b.lines(t, "store came back from an older copy")) > 0 })
	if len(b.lines(t, "target gone")) > 0 {
		t.Error("a missing target counted as gone at once")
	}
	d.eventually(5*time.Second, "the target is gone", func() bool { return len(b.lines(t, "target gone")) > 0 })
}
