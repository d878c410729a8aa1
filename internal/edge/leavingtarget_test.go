package edge

import (
	"errors"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

// Guards against resetting callers of a leaving target that refuses connections while it works on
// their requests, after a pause, and against callers that wait once it has left.
func TestLeavingTargetWorksOffItsRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b, leaving := d.balancers[0], d.targets[0]
	var flows []*direct.Flow
	for range 3 {
		flows = append(flows, d.openAt(leaving))
	}
	leaving.Drain()
	time.Sleep(time.Second)
	for _, work := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second} {
		leaving.SetWork(work)
		answered := make(chan error)
		go func() {
			_, err := flows[0].Ask("last", 2*work)
			answered <- err
		}()
		time.Sleep(20 * time.Millisecond)
		leaving.StopListening()
		if err := <-answered; err != nil {
			t.Fatalf("request that takes %v: %v", work, err)
		}
	}
	if flows[1].IsReset(0) {
		t.Error("an idle flow was reset while its target lived")
	}

	type outcome struct {
		err  error
		took time.Duration
	}
	left := make(chan time.Time, 1)
	ended := make(chan outcome)
	go func() {
		_, err := flows[0].Ask("too late", 10*time.Second)
		ended <- outcome{err, time.Since(<-left)}
	}()
	time.Sleep(500 * time.Millisecond)
	left <- time.Now()
	leaving.Leave()
	o := <-ended
	if !errors.Is(o.err, direct.ErrReset) || o.took > b.boot.Apply {
		t.Errorf("request at a target that has left: %v after %v, want a reset within the %v that any change may take", o.err, o.took, b.boot.Apply)
	}
	t.Logf("reset %v after the registration was removed", o.took)
	if !flows[2].IsReset(time.Second) {
		t.Error("the idle flow of the target that has left was not reset")
	}
}
