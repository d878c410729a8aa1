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

// The operator adds and drops routes while the store cannot be reached by one
// balancer, the first in rank, which reads for all. All balancers have to follow
// within the bound, that one through its peers.
func TestCatalogueIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	d.balancers[0].link.Refuse(true)
	d.store.Put(platform.CatalogueKey, desired(5, scans, newRoute))
	time.Sleep(d.balancers[0].boot.Apply)
	for i, b := range d.balancers {
		if _, err := d.ask(b, newRoute); err != nil {
			t.Errorf("balancer %d: route that was added: %v", i, err)
		}
		if _, err := d.ask(b, previews); !errors.Is(err, direct.ErrReset) {
			t.Errorf("balancer %d: route that was dropped: %v, want a reset", i, err)
		}
	}
}

// A balancer that is not the first reads for itself for a while, as it heard
// nobody, and its reads fail. Once it hears others again it has to follow them,
// not wait for its own reads.
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
	d.store.Put(platform.CatalogueKey, desired(6, scans, newRoute))
	time.Sleep(last.boot.Apply)
	if _, err := d.ask(last, newRoute); err != nil {
		t.Errorf("route that was added: %v", err)
	}
	if _, err := d.ask(last, previews); !errors.Is(err, direct.ErrReset) {
		t.Errorf("route that was dropped: %v, want a reset", err)
	}
}

// The connections to the store go silent for good, without a reset, while new
// ones work. A change must be in force within its bound all the same.
func TestSilentStoreConnections(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	for _, b := range d.balancers {
		b.link.Silence()
	}
	d.store.Put(platform.CatalogueKey, desired(8, scans, newRoute))
	time.Sleep(d.balancers[0].boot.Apply)
	for i, b := range d.balancers {
		if _, err := d.ask(b, newRoute); err != nil {
			t.Errorf("balancer %d: route that was added: %v", i, err)
		}
	}
}

// The store forgets its history between two reads. Balancers list everything
// again and learn what they missed.
func TestHistoryIsForgotten(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.store.FailAll(direct.Busy)
	time.Sleep(time.Second)
	d.store.Put(platform.CatalogueKey, desired(7, scans, newRoute))
	d.store.DropHistory()
	d.store.FailAll(direct.Healthy)
	for i, b := range d.balancers {
		d.eventually(3*time.Second, fmt.Sprintf("balancer %d has the new route", i), func() bool {
			_, err := d.ask(b, newRoute)
			return err == nil
		})
	}
}

// The store is silent for good when a balancer starts. It learns everything from
// a seed and serves.
func TestStartsWithoutTheStore(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.store.FailAll(direct.Silent)
	b := d.start(d.balancers[0].boot.Data.Addr().Next())
	d.eventually(2*time.Second, "the balancer is ready without the store", b.isReady)
	d.mustAsk(b, previews)
	d.store.FailAll(direct.Healthy)
}

// One balancer reads the store for all; the others must not add to its calls.
func TestOneReads(t *testing.T) {
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

// The store takes a balancer's registration away while it lives, as on an
// operator's mistake. It registers again at once: unregistered it hears no
// heartbeat, and its copy of the store gets old.
func TestRegistrationTakenAwayIsRenewed(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	key := d.balancers[2].registration()
	d.acquainted()
	d.store.Remove(key)
	d.eventually(3*time.Second, "the balancer is registered again", func() bool {
		return slices.Contains(d.store.Keys(platform.MemberPrefix), key)
	})
}

// The store takes a balancer's registration away and turns the balancer itself
// away. Its peers hear it all the same and have to go on telling it what they
// know: its copy stays as fresh as theirs.
func TestUnregisteredBalancerIsStillTold(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	cut := d.balancers[2]
	d.acquainted()
	cut.link.Refuse(true)
	d.store.Remove(cut.registration())
	time.Sleep(time.Second)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if age := cut.believes(t).Age; age > oldCopy {
			t.Fatalf("the copy is %v old", age)
		}
	}
}
