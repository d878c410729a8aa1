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

// longUnsettled is how long the operator and the targets of these tests take to write
// again what the store has lost.
const longUnsettled = 1500 * time.Millisecond

// loseSince has the store come back without what was written since a copy, and waits.
func (d *deployment) loseSince(b direct.Backup) {
	d.t.Helper()
	d.store.Restore(b)
	time.Sleep(longUnsettled)
}

// openAt opens a flow at a target of the catalogue service.
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

// A target registers, gets a flow and says that it leaves. The store comes back from a copy
// that lacks the target, which writes its entry again seconds later. Its flow must go on
// meanwhile: a target that is missing after it had said that it leaves would else count as
// gone, and its flows be reset.
func TestOpenFlowAtTargetThatTheOlderCopyLacks(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.acquainted()
	backup := d.store.Backup()
	x := d.addTarget(0xa000000009, "catalogue")
	d.eventually(2*time.Second, "the target is known", func() bool { return d.knows(x, "") })
	fl := d.openAt(x)
	x.Drain()
	d.eventually(2*time.Second, "all know that the target leaves", func() bool { return d.knows(x, "draining") })
	d.loseSince(backup)
	x.SetWork(400 * time.Millisecond) // the caller repeats meanwhile
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

// knows reports whether all balancers know a target and that it is in a state, or any.
func (d *deployment) knows(x *direct.Target, state string) bool {
	id := forward.TargetID(x.ID).String()
	for _, b := range d.balancers {
		if !slices.ContainsFunc(b.believes(d.t).Targets, func(i forward.TargetInfo) bool { return i.ID == id && (state == "" || i.State == state) }) {
			return false
		}
	}
	return true
}

// The store comes back with the catalogue and the list of targets of some seconds ago, and
// the operator and a target that leaves write again only later. Until then routes that were
// dropped must stay so, those that were added stay open, and the target gets no flows.
func TestOlderCopyTakesNothingBack(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.acquainted()
	backup := d.store.Backup()
	leaving := d.targets[0]
	leaving.Drain()
	d.store.Put(platform.CatalogueKey, desired(4, previews, newRoute))
	time.Sleep(longUnsettled)
	d.loseSince(backup)
	d.inForce(leaving)
}

// Two balancers register, and the store comes back from a copy that was made before. Nobody
// writes their registrations again but themselves; without them they hear no heartbeats.
func TestRegistrationsThatTheOlderCopyLacks(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.eventually(3*time.Second, "the first one is registered", func() bool { return len(d.store.Keys(platform.MemberPrefix)) == 1 })
	backup := d.store.Backup()
	for range 2 {
		d.start(d.balancers[len(d.balancers)-1].boot.Data.Addr().Next())
	}
	d.eventually(5*time.Second, "all are registered", func() bool { return len(d.store.Keys(platform.MemberPrefix)) == 3 })
	d.acquainted()
	d.store.Restore(backup)
	d.eventually(3*time.Second, "all are registered again", func() bool { return len(d.store.Keys(platform.MemberPrefix)) == 3 })
}

// The store comes back and has lost a target that crashed meanwhile. Once it has settled,
// the target counts as gone.
func TestTargetThatStaysMissingIsGone(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	backup := d.store.Backup()
	x := d.addTarget(0xa000000009, "catalogue")
	d.eventually(2*time.Second, "the target is known", func() bool { return d.knows(x, "") })
	d.store.Restore(backup)
	b := d.balancers[0]
	d.eventually(2*time.Second, "the store's return is logged", func() bool { return len(b.lines(t, "store came back from an older copy")) > 0 })
	if len(b.lines(t, "target gone")) > 0 {
		t.Error("a missing target counted as gone at once")
	}
	d.eventually(5*time.Second, "the target is gone", func() bool { return len(b.lines(t, "target gone")) > 0 })
}
