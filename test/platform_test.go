package test

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/experiment"
	"rosedale.dev/rosedale/internal/standin/faultproxy"
	"rosedale.dev/rosedale/internal/standin/platform"
	"rosedale.dev/rosedale/internal/testbed"
)

// A data centre is cut off from the platform but not from the other data
// centres. An operator's edit has to be in force there as soon as elsewhere,
// because its balancers receive it from those of the other data centres.
func TestVersionsReachACentreWithoutPlatform(t *testing.T) {
	sc := experiment.ScenarioByName("steady", 8*time.Second)
	sc.Act = func(bed *testbed.Bed, o *experiment.Outcome) error {
		cut := faultproxy.Faults{Platform: bed.DataCenters()[:1]}
		if err := bed.SetProxy(cut); err != nil {
			return err
		}
		before := storeErrors(t, bed)
		eventually(t, "store reads fail in the isolated data centre", func() bool { return storeErrors(t, bed) > before })
		svc := bed.Service(bed.Services[0].Name)
		svc.Limits.Connections += 7
		return experiment.Edit(bed, svc, o)
	}
	runWithEdit(t, sc)
}

// runWithEdit runs a scenario that edits the catalogue once, and checks that no promise is broken
// and that the change is in force everywhere within a second.
func runWithEdit(t *testing.T, sc experiment.Scenario) *experiment.Outcome {
	t.Helper()
	o, err := experiment.RunScenario(sc, experiment.Options{Deployment: "kavango", Policy: "bounded", Streams: 50})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range o.Violations(true) {
		t.Error(v)
	}
	if p := o.Percentile(1); len(o.InForce) != 7 || p > time.Second {
		t.Errorf("the change is in force at %d balancers, at the last after %v", len(o.InForce), p)
	}
	return o
}

// maxStoreCalls bounds the calls a second of all balancers while the store refuses listings. It is
// four times what they make with a healthy store.
const maxStoreCalls = 60

// Guards against a balancer that asks for the same listing again and again while the store refuses
// it, and serves single keys: edits have to be in force, a balancer that starts has to get ready,
// and the store must not be asked without pause.
func TestStoreThatRefusesListings(t *testing.T) {
	sc := experiment.ScenarioByName("steady", 12*time.Second)
	sc.Act = func(bed *testbed.Bed, o *experiment.Outcome) error {
		if err := bed.SetStore(platform.Faults{RefuseListings: true}); err != nil {
			return err
		}
		svc := bed.Service(bed.Services[0].Name)
		svc.Limits.Connections += 7
		if err := experiment.Edit(bed, svc, o); err != nil {
			return err
		}
		return bed.Replace(bed.Balancers[1])
	}
	if o := runWithEdit(t, sc); o.StoreRPS > maxStoreCalls {
		t.Errorf("%.0f store calls a second, want at most %d", o.StoreRPS, maxStoreCalls)
	}
}

// storeErrors returns the sum of all balancers' store errors.
func storeErrors(t *testing.T, bed *testbed.Bed) float64 {
	t.Helper()
	sum := 0.0
	for _, x := range bed.Balancers {
		m, err := bed.Metrics(x)
		if err != nil {
			t.Fatal(err)
		}
		sum += m["store_errors"]
	}
	return sum
}
