package edge

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/stepback"
)

const (
	steppedBackLine = "stepped back; callers go to other data centres"
	backLine        = "serving callers here again after stepping back"
)

// deployTwo starts two balancers and the targets of data centre a, and a balancer and targets
// of data centre b, whose cookies differ.
func deployTwo(t *testing.T) (d *deployment, near []*balancer, far *balancer) {
	d = deploy(t, 2)
	for i, service := range []string{"catalogue", "scan-store"} {
		d.addTargetIn(uint64(0xb000000101+i), service, "b")
	}
	far = d.startIn(address(d.net, balancerNet, 3), "b")
	d.eventually(5*time.Second, "balancer is ready", far.isReady)
	d.waitForPeers()
	near = d.balancers[:2]
	for _, b := range near {
		d.eventually(2*time.Second, "all targets known", func() bool { return len(b.adminStatus(t).Targets) == 6 })
	}
	return d, near, far
}

// Guards against an evacuation that is honoured for targets only: the balancers of the
// evacuated data centre must not be ready until it is taken back, and open flows must
// continue.
func TestEvacuatedDataCenterIsNotReady(t *testing.T) {
	t.Parallel()
	d, near, far := deployTwo(t)
	fl := d.openFlowAt(near[0], d.targets[0])
	d.store.Put(evacuateA, map[string]any{})
	for _, b := range near {
		d.eventually(5*time.Second, "balancer of the evacuated data centre is not ready", func() bool { return !b.isReady() })
		if got := b.adminStatus(t).SteppedBack; got != "evacuated" {
			t.Errorf("%s: stepped back %q", b.boot.VM, got)
		}
		if lines := b.lines(t, steppedBackLine); len(lines) != 1 || lines[0]["reason"] != "evacuated" {
			t.Errorf("%s: log lines %v", b.boot.VM, lines)
		}
	}
	if _, err := fl.Ask("b", time.Second); err != nil {
		t.Errorf("open flow: %v", err)
	}
	if name := d.mustAsk(near[0], previews); !strings.HasPrefix(name, "i-b") {
		t.Errorf("a flow that still came was opened at %s", name)
	}
	if !far.isReady() {
		t.Error("the balancer of the other data centre is not ready")
	}
	d.store.Remove(evacuateA)
	for _, b := range near {
		d.eventually(3*time.Second, "ready after the evacuation", b.isReady)
		d.eventually(time.Second, "a log line of the return", func() bool { return len(b.lines(t, backLine)) > 0 })
		if n := len(b.lines(t, backLine)); n != 1 {
			t.Errorf("%s: %d log lines of the return", b.boot.VM, n)
		}
	}
}

// Guards against a balancer that stays ready although no target answers it, and against one
// that stays away, or resets a living target's flows, after targets answer again.
func TestNoTargetAnswers(t *testing.T) {
	t.Parallel()
	d, near, _ := deployTwo(t)
	b := near[0]
	for _, x := range d.targets {
		x.Stop()
	}
	d.eventually(5*time.Second, "balancer is not ready", func() bool {
		for _, to := range []netip.AddrPort{previews, scans} {
			if fl, err := d.caller.Open(to, b.boot.Data); err == nil {
				fl.Close()
			}
		}
		return !b.isReady()
	})
	if got := b.adminStatus(t).SteppedBack; got != "no_target" {
		t.Errorf("stepped back %q", got)
	}
	time.Sleep(2500 * time.Millisecond)
	if b.isReady() {
		t.Error("ready although no target answers")
	}
	for _, x := range d.targets {
		if err := x.Restart(0); err != nil {
			t.Fatal(err)
		}
	}
	d.eventually(2*time.Second, "ready after two answered checks", b.isReady)
	answered := 0
	for _, l := range b.lines(t, "target checked while stepped back") {
		if l["finding"] == "alive" {
			answered++
		}
	}
	if answered < 2 {
		t.Errorf("%d answered checks in the log, want at least 2", answered)
	}
	d.mustAsk(b, previews)
}

// Guards against a balancer that is ready although one of the two rules says that it is not.
func TestEitherRuleEndsReadiness(t *testing.T) {
	r := &ready{}
	r.set(true)
	for _, why := range []stepback.Reason{stepback.None, stepback.Evacuated, stepback.NoTarget} {
		for _, yielding := range []bool{false, true} {
			r.setSteppedBack(why)
			r.setYielding(yielding)
			if got, want := r.isReady(), why == stepback.None && !yielding; got != want {
				t.Errorf("%v, yielding %v: ready %v", why, yielding, got)
			}
		}
	}
}

// Guards against a large data centre in which one balancer never steps back, so that routers
// use all: the first in rank, to which no other one sends regular heartbeats.
func TestFirstInRankWaitsForNoHeartbeat(t *testing.T) {
	for _, c := range []struct{ balancers, self, want int }{{1, 1, 0}, {3, 1, 2}, {3, 3, 2}, {24, 1, 0}, {24, 2, 1}, {24, 24, 1}} {
		ct := newTestControl(t)
		name := func(i int) string { return fmt.Sprintf("a%02d", i) }
		ct.edge.boot.VM = name(c.self)
		ct.fleet = peer.NewFleet(ct.edge.member())
		for i := range c.balancers {
			ct.fleet.Put(name(i+1), peer.Member{VM: name(i + 1), DataCenter: "a"})
		}
		if got := ct.nearSenders(); got != c.want {
			t.Errorf("balancer %d of %d: %d senders, want %d", c.self, c.balancers, got, c.want)
		}
	}
}
