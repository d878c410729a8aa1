package edge

import (
	"errors"
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

// A target announces that it leaves. After the time limit no balancer may open flows
// there, while its open flows continue.
func TestDrainingTargetGetsNoNewFlows(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	fl, err := d.caller.Open(previews, d.balancers[0].boot.Data)
	if err != nil {
		t.Fatal(err)
	}
	got, err := fl.Ask("a", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	leaving := d.targets[0]
	if strings.HasSuffix(got, d.targets[1].Name()) {
		leaving = d.targets[1]
	}
	leaving.Drain()
	time.Sleep(1500 * time.Millisecond)
	before := leaving.Opened.Load()
	for i := range 20 {
		d.mustAsk(d.balancers[i%2], previews)
	}
	if n := leaving.Opened.Load() - before; n > 0 {
		t.Errorf("%d flows were opened at the leaving target", n)
	}
	if _, err := fl.Ask("b", time.Second); err != nil {
		t.Errorf("open flow at the leaving target: %v", err)
	}
}

// A target crashes while callers have flows there, and its address refuses connections.
// The callers' next requests must be reset at once instead of after seconds, and new
// flows must go elsewhere.
func TestCrashedTarget(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b := d.balancers[0]
	var flows []*direct.Flow
	crashed := d.targets[0]
	for len(flows) < 3 {
		fl, err := d.caller.Open(previews, b.boot.Data)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := fl.Ask("a", time.Second); err == nil && strings.HasSuffix(got, crashed.Name()) {
			flows = append(flows, fl)
		}
	}
	d.mustAsk(b, scans) // another target answers
	crashed.Stop()
	for i, fl := range flows {
		began := time.Now()
		if _, err := fl.Ask("b", 2*time.Second); !errors.Is(err, direct.ErrReset) {
			t.Errorf("flow %d: %v, want a reset", i, err)
		}
		if took := time.Since(began); took > 600*time.Millisecond {
			t.Errorf("flow %d was reset after %v", i, took)
		}
	}
	for range 10 {
		if name := d.mustAsk(b, previews); name == crashed.Name() {
			t.Error("answered by the crashed target")
		}
	}
	if len(b.lines(t, "target checked")) == 0 {
		t.Error("the log has no check of the crashed target")
	}
}
