package test

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/experiment"
	"rosedale.dev/rosedale/internal/standin/target"
	"rosedale.dev/rosedale/internal/testbed"
)

// leaveLimit is how soon a leaving target must get no new work.
const leaveLimit = 3 * time.Second

// An operator drains a target that has streams and gets requests all the time.
// Three seconds later no balancer sends it anything new, and its streams are
// all still open.
func TestDrainedTargetGetsNoNewFlows(t *testing.T) {
	var after, end target.Stats
	sc := experiment.ScenarioByName("steady", 13*time.Second)
	sc.Act = func(bed *testbed.Bed, o *experiment.Outcome) error {
		svc := bed.Service("catalogue")
		svc.Targets[0].State = catalogue.Draining
		if err := experiment.Edit(bed, svc, o); err != nil {
			return err
		}
		time.Sleep(leaveLimit)
		var err error
		if after, err = statsOf(bed, svc.Targets[0].Address.String()); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		end, err = statsOf(bed, svc.Targets[0].Address.String())
		return err
	}
	o, err := experiment.RunScenario(sc, experiment.Options{Deployment: "kavango", Policy: "bounded", Streams: 100})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range o.Violations(true) {
		t.Error(v)
	}
	if after.Opened == 0 || after.Streams == 0 {
		t.Fatalf("the target had no work before: %+v", after)
	}
	if end.Opened != after.Opened {
		t.Errorf("%d new flows later than %v after the drain", end.Opened-after.Opened, leaveLimit)
	}
	if end.Streams != after.Streams {
		t.Errorf("%d of %d streams are left", end.Streams, after.Streams)
	}
}

func statsOf(bed *testbed.Bed, addr string) (target.Stats, error) {
	all, err := bed.Stats()
	for _, s := range all {
		if s.Target == addr {
			return s, err
		}
	}
	return target.Stats{}, err
}

// Each data centre is a group of its own, and callers come in at the first. The
// operator drains all its targets. Streams that it has go on; new requests are
// served by the other data centres' targets, and no caller notices.
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
