package test

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/experiment"
	"rosedale.dev/rosedale/internal/standin/target"
	"rosedale.dev/rosedale/internal/testbed"
)

// drainLimit is the time after which a draining target must get no new flows.
const drainLimit = 3 * time.Second

// An operator drains a target that has streams and receives requests all the
// time. After drainLimit no balancer may send it a new flow, and all its streams
// are still open.
func TestDrainedTargetGetsNoNewFlows(t *testing.T) {
	var atLimit, later target.Stats
	sc := experiment.ScenarioByName("steady", 13*time.Second)
	sc.Act = func(bed *testbed.Bed, o *experiment.Outcome) error {
		svc := bed.Service("catalogue")
		svc.Targets[0].State = catalogue.Draining
		if err := experiment.Edit(bed, svc, o); err != nil {
			return err
		}
		time.Sleep(drainLimit)
		var err error
		if atLimit, err = statsOf(bed, svc.Targets[0].Address.String()); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		later, err = statsOf(bed, svc.Targets[0].Address.String())
		return err
	}
	o, err := experiment.RunScenario(sc, experiment.Options{Deployment: "kavango", Policy: "bounded", Streams: 100})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range o.Violations(true) {
		t.Error(v)
	}
	if atLimit.Opened == 0 || atLimit.Streams == 0 {
		t.Fatalf("the target had no flows before: %+v", atLimit)
	}
	if later.Opened != atLimit.Opened {
		t.Errorf("%d new flows more than %v after the drain", later.Opened-atLimit.Opened, drainLimit)
	}
	if later.Streams != atLimit.Streams {
		t.Errorf("%d of %d streams are still open", later.Streams, atLimit.Streams)
	}
}

// statsOf returns the statistics of the target with an address.
func statsOf(bed *testbed.Bed, addr string) (target.Stats, error) {
	all, err := bed.Stats()
	for _, s := range all {
		if s.Target == addr {
			return s, err
		}
	}
	return target.Stats{}, err
}

// Each data centre is a group of its own, and all callers enter at the first one.
// The operator drains all targets there. Its open streams continue; new requests
// are served by targets of the other data centres, and none is refused.
func TestFlowsSpillToAnotherGroup(t *testing.T) {
	sc := experiment.ScenarioByName("steady", 12*time.Second)
	sc.SlotUse = 0.2
	sc.Act = func(bed *testbed.Bed, o *experiment.Outcome) error {
		first := bed.DataCenters()[0]
		for _, s := range bed.Services {
			svc := bed.Service(s.Name)
			for i := range svc.Targets {
				if svc.Targets[i].DataCenter == first {
					svc.Targets[i].State = catalogue.Draining
				}
			}
			if err := experiment.Edit(bed, svc, o); err != nil {
				return err
			}
		}
		return nil
	}
	opt := experiment.Options{Deployment: "kavango", Policy: "bounded", Streams: 50, Grouped: true}
	o, err := experiment.RunScenario(sc, opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + experiment.Table([]*experiment.Outcome{o}))
	for _, v := range o.Violations(true) {
		t.Error(v)
	}
	if o.Counters["packets_flow_spilled"] < 50 || o.Callers.Refused > 0 {
		t.Errorf("%.0f flows spilled, %d refused", o.Counters["packets_flow_spilled"], o.Callers.Refused)
	}
}
