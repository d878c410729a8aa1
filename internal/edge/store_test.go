package edge

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

// The operator adds and removes routes while the first balancer in rank, which reads for
// all, cannot reach the store. All balancers must follow within the time limit, the first
// one through its peers.
func TestCatalogueIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	d.balancers[0].link.Refuse(true)
	d.store.Put(platform.CatalogueKey, desiredState(5, scans, newRoute))
	time.Sleep(d.balancers[0].boot.Apply)
	for i, b := range d.balancers {
		if _, err := d.ask(b, newRoute); err != nil {
			t.Errorf("balancer %d: added route: %v", i, err)
		}
		if _, err := d.ask(b, previews); !errors.Is(err, direct.ErrReset) {
			t.Errorf("balancer %d: removed route: %v, want a reset", i, err)
		}
	}
}

// A balancer that is not the first one reads the store itself for a while, as its replica
// got old, and its reads fail. Once others read the store again it must follow their
// heartbeats instead of waiting for its own reads.
func TestFailingReaderFollowsPeers(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	last := d.balancers[2]
	for _, b := range d.balancers { // a store outage makes all of them read
		b.link.Refuse(true)
	}
	time.Sleep(3 * time.Second)
	for _, b := range d.balancers[:2] {
		b.link.Refuse(false)
	}
	d.store.Put(platform.CatalogueKey, desiredState(6, scans, newRoute))
	time.Sleep(last.boot.Apply)
	if _, err := d.ask(last, newRoute); err != nil {
		t.Errorf("added route: %v", err)
	}
	if _, err := d.ask(last, previews); !errors.Is(err, direct.ErrReset) {
		t.Errorf("removed route: %v, want a reset", err)
	}
}

// The connections to the store become silent without a reset, while new connections work.
// A change must still come into force within the time limit.
func TestSilentStoreConnections(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	for _, b := range d.balancers {
		b.link.Silence()
	}
	d.store.Put(platform.CatalogueKey, desiredState(8, scans, newRoute))
	time.Sleep(d.balancers[0].boot.Apply)
	for i, b := range d.balancers {
		if _, err := d.ask(b, newRoute); err != nil {
			t.Errorf("balancer %d: added route: %v", i, err)
		}
	}
}

// The store compacts its history between two reads. Balancers must list it again and
// learn of the missed changes.
func TestHistoryIsCompacted(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.store.FailAll(direct.Busy)
	time.Sleep(time.Second)
	d.store.Put(platform.CatalogueKey, desiredState(7, scans, newRoute))
	d.store.DropHistory()
	d.store.FailAll(direct.Healthy)
	for i, b := range d.balancers {
		d.eventually(3*time.Second, fmt.Sprintf("balancer %d has the new route", i), func() bool {
			_, err := d.ask(b, newRoute)
			return err == nil
		})
	}
}

// The store is silent while a balancer starts. The balancer must get its copy from a seed
// and serve.
func TestStartsWithoutTheStore(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.store.FailAll(direct.Silent)
	b := d.start(d.balancers[0].boot.Data.Addr().Next())
	d.eventually(2*time.Second, "the balancer is ready without the store", b.isReady)
	d.mustAsk(b, previews)
	d.store.FailAll(direct.Healthy)
}

// One balancer reads the store for all. The others must not add to its calls.
func TestOnlyOneBalancerReads(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4)
	time.Sleep(time.Second)
	before := d.store.Calls()
	time.Sleep(2 * time.Second)
	if n := d.store.Calls() - before; n > 7 {
		t.Errorf("%d calls in 2 s, want about 5 by one reader", n)
	}
	if n := len(d.store.Keys(platform.MemberPrefix)); n != 4 {
		t.Errorf("%d balancers are registered", n)
	}
}

// A live balancer's registration is removed from the store, for example by an operator's
// mistake. The balancer must register again at once: without a registration it gets no
// heartbeats, and its replica gets old.
func TestRegistrationTakenAwayIsRenewed(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	key := d.balancers[2].registration()
	d.waitForPeers()
	d.store.Remove(key)
	d.eventually(3*time.Second, "the balancer is registered again", func() bool {
		return slices.Contains(d.store.Keys(platform.MemberPrefix), key)
	})
}

// The store removes a balancer's registration and rejects the balancer's calls. Its peers
// still get its heartbeats and must keep sending updates to it, so that its replica stays
// as fresh as theirs.
func TestUnregisteredBalancerGetsUpdates(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	cut := d.balancers[2]
	d.waitForPeers()
	cut.link.Refuse(true)
	d.store.Remove(cut.registration())
	time.Sleep(time.Second)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if age := cut.adminStatus(t).Age; age > fetchAge {
			t.Fatalf("the replica is %v old", age)
		}
	}
}
