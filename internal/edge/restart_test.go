package edge

import (
	"errors"
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

// openFlowAt opens flows until one is assigned to the given target.
func (d *deployment) openFlowAt(b *balancer, want *direct.Target) *direct.Flow {
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

// A caller keeps a flow open and sends few requests. The flow's target crashes and
// restarts under its identifier before this is detected. The idle flow must be reset, so
// that the next request uses a new flow instead of being lost.
func TestIdleFlowOfARestartedTarget(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	x := d.targets[0]
	x.Reg.Born = time.Now().UnixMilli()
	x.Register()
	fl := d.openFlowAt(d.balancers[0], x)
	time.Sleep(2500 * time.Millisecond) // a younger flow may belong to the new start and would not be reset
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

// A caller opens a flow at a target that has just restarted, through a balancer that has
// not learned of the restart, as the store is unreachable. The flow must continue when the
// store is reachable again.
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
	fl := d.openFlowAt(b, x)
	time.Sleep(2 * time.Second)
	d.store.FailAll(direct.Healthy)
	if fl.IsReset(2 * time.Second) {
		t.Fatal("a flow of the new start was reset")
	}
	if _, err := fl.Ask("b", time.Second); err != nil {
		t.Errorf("request on the flow: %v", err)
	}
	d.eventually(time.Second, "the new start is known", func() bool {
		for _, info := range b.adminStatus(t).Targets {
			if info.ID == "a000000001" {
				return info.Born != "not told"
			}
		}
		return false
	})
}

// Another program repeatedly writes an invalid registration under a target's key. New
// flows must go to the other targets, the open flow must continue, and the log must have
// one line for each change instead of each write.
func TestEntryOfAnotherWriter(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	x, other := d.targets[0], d.targets[1]
	b := d.balancers[0]
	fl := d.openFlowAt(b, x)
	for i := range 20 {
		d.store.PutRaw("servers/"+x.Name(), []byte(strings.Repeat(" ", i)+`{"service":"catalogue","slots":"many"}`))
		d.store.PutRaw("servers/i-", []byte("x"))
		time.Sleep(100 * time.Millisecond)
	}
	for range 10 {
		for _, b := range d.balancers {
			if name := d.mustAsk(b, previews); name != other.Name() {
				t.Errorf("answered by %s, whose entry is invalid", name)
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
		t.Errorf("%d log lines for an invalid key, want 1", n)
	}
	fl.Close() // an idle target is preferred to one with a flow
	x.Register()
	d.eventually(2*time.Second, "the repaired entry is used", func() bool { return d.mustAsk(b, previews) == x.Name() })
}

// A target registers for a service that is not in the catalogue yet. It must get callers
// once the catalogue contains the service, without registering again.
func TestServiceAddedLater(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b := d.balancers[0]
	x := d.addTarget(0xa000000009, "later")
	d.eventually(2*time.Second, "the entry is logged", func() bool {
		return len(b.lines(t, "target's service is not in the catalogue: it gets no flows until it is")) == 1
	})
	if _, err := d.ask(b, newRoute); !errors.Is(err, direct.ErrReset) {
		t.Errorf("missing route: %v, want a reset", err)
	}
	state := desiredState(2, previews, scans, newRoute)
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

// Another program writes invalid entries under the balancers' key prefix. They must not
// count as balancers, and the balancers must still get each other's heartbeats.
func TestEntryOfAnotherWriterAmongMembers(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.waitForPeers()
	b := d.balancers[0]
	d.store.PutRaw("rosedale/vm/x", []byte("no member"))
	d.store.PutRaw("rosedale/vm/y", []byte{0xa0}) // an empty CBOR map
	d.eventually(2*time.Second, "the entries are logged", func() bool {
		return len(b.lines(t, "member's registration is not usable: it counts as removed")) == 2
	})
	d.waitForPeers()
	d.mustAsk(b, previews)
}
