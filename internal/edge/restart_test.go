package edge

import (
	"errors"
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

// holdAt opens flows until one is held by a target.
func (d *deployment) holdAt(b *running, want *direct.Target) *direct.Flow {
	d.t.Helper()
	for range 50 {
		fl, err := d.caller.Open(previews, b.boot.Data)
		if err != nil {
			d.t.Fatal(err)
		}
		if got, err := fl.Ask("a", time.Second); err == nil && strings.HasSuffix(got, want.Name()) {
			return fl
		}
		fl.Close()
	}
	d.t.Fatal("no flow was opened at the target")
	return nil
}

// A caller keeps a flow open and asks now and then. The flow's target crashes and
// starts again under its identifier before anybody notices. The caller is told while
// it is idle, so that its next request runs on a new flow instead of being lost.
func TestIdleFlowOfARestartedTarget(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	x := d.targets[0]
	x.Reg.Born = time.Now().UnixMilli()
	x.Register()
	fl := d.holdAt(d.balancers[0], x)
	time.Sleep(2500 * time.Millisecond) // the flow is older than any start that is not known yet
	x.Stop()
	if err := x.Restart(time.Now().UnixMilli()); err != nil {
		t.Fatal(err)
	}
	if !fl.IsReset(2 * time.Second) {
		t.Error("the idle flow was not reset")
	}
	if n := x.UnknownFlowPackets.Load(); n != 0 {
		t.Errorf("%d packets of older flows reached the new start", n)
	}
	d.eventually(2*time.Second, "the restarted target is used", func() bool {
		return d.mustAsk(d.balancers[1], previews) == x.Name()
	})
	lines := d.balancers[0].lines(t, "target")
	if last := lines[len(lines)-1]; last["born"] == "not told" || last["lostFlows"] != 1.0 {
		t.Errorf("log line of the restart: %v", last)
	}
}

// A caller opens a flow at a target that has just started again, through a balancer
// that has not heard of it, as the store is away. When the store is back the flow
// must go on.
func TestFlowOfANewStartThatIsNotKnownYet(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b := d.balancers[0]
	x := d.targets[0]
	d.store.FailAll(direct.Busy)
	time.Sleep(600 * time.Millisecond)
	x.Stop()
	if err := x.Restart(5000); err != nil {
		t.Fatal(err)
	}
	fl := d.holdAt(b, x)
	time.Sleep(2 * time.Second)
	d.store.FailAll(direct.Healthy)
	if fl.IsReset(2 * time.Second) {
		t.Fatal("a flow of the new start was reset")
	}
	if _, err := fl.Ask("b", time.Second); err != nil {
		t.Errorf("request on the flow: %v", err)
	}
	d.eventually(time.Second, "the new start is known", func() bool {
		for _, info := range b.believes(t).Targets {
			if info.ID == "a000000001" {
				return info.Born != "not told"
			}
		}
		return false
	})
}

// Another program writes what is no registration under a target's key, again and
// again. New flows go to the other targets, the target's own flow goes on, and the
// log has one line for each change rather than for each write.
func TestEntryOfAnotherWriter(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	x, other := d.targets[0], d.targets[1]
	b := d.balancers[0]
	fl := d.holdAt(b, x)
	for i := range 20 {
		d.store.PutRaw("servers/"+x.Name(), []byte(strings.Repeat(" ", i)+`{"service":"catalogue","slots":"many"}`))
		d.store.PutRaw("servers/i-", []byte("x"))
		time.Sleep(100 * time.Millisecond)
	}
	for range 10 {
		for _, b := range d.balancers {
			if name := d.mustAsk(b, previews); name != other.Name() {
				t.Errorf("answered by %s, whose entry is unusable", name)
			}
		}
	}
	if _, err := fl.Ask("b", time.Second); err != nil {
		t.Errorf("open flow at the target: %v", err)
	}
	if n := len(b.lines(t, "target's registration is not usable: it gets no new flows, open ones stay")); n != 1 {
		t.Errorf("%d log lines for 20 writes, want 1", n)
	}
	if n := len(b.lines(t, "target's key is not usable")); n != 1 {
		t.Errorf("%d log lines for a key that is none, want 1", n)
	}
	fl.Close() // an idle target goes before one that holds a flow
	x.Register()
	d.eventually(2*time.Second, "the mended entry is used", func() bool { return d.mustAsk(b, previews) == x.Name() })
}

// A target registers itself for a service that the catalogue does not have yet. It
// gets callers once a version names the service, without being written again.
func TestServiceThatComesLater(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b := d.balancers[0]
	x := d.addTarget(0xa000000009, "later")
	d.eventually(2*time.Second, "the entry is logged", func() bool {
		return len(b.lines(t, "target's service is not in the catalogue: it gets no flows until it is")) == 1
	})
	if _, err := d.ask(b, newRoute); !errors.Is(err, direct.ErrReset) {
		t.Errorf("route that is not there: %v, want a reset", err)
	}
	state := desired(2, previews, scans, newRoute)
	state["services"] = append(state["services"].([]map[string]any), map[string]any{"name": "later", "healthPath": "/health", "maxConns": 2000})
	for _, r := range state["routes"].([]map[string]any) {
		if r["name"] == newRoute.String() {
			r["service"] = "later"
		}
	}
	d.store.Put("op/config", state)
	d.eventually(2*time.Second, "the new service is served", func() bool {
		name, err := d.ask(b, newRoute)
		return err == nil && name == x.Name()
	})
}

// Entries of other writers lie under the balancers' own keys. They name no balancer,
// and the others go on hearing each other.
func TestEntryOfAnotherWriterAmongMembers(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.acquainted()
	b := d.balancers[0]
	d.store.PutRaw("rosedale/vm/x", []byte("no member"))
	d.store.PutRaw("rosedale/vm/y", []byte{0xa0}) // an empty map
	d.eventually(2*time.Second, "the entries are logged", func() bool {
		return len(b.lines(t, "member's registration is not usable: it counts as removed")) == 2
	})
	d.acquainted()
	d.mustAsk(b, previews)
}
