package edge

import (
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/replica"
	standin "rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

const evacuateA = platform.EvacuationPrefix + "a"

// An operator evacuates the data centre that holds all targets. Every balancer must know
// within the time limit, including one that the store rejects and one that starts only
// then. Callers must be refused at once, and open flows must continue. Once the data
// centre is taken back it must serve again.
func TestEvacuationReachesAllBalancers(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.waitForPeers()
	fl, err := d.caller.Open(previews, d.balancers[0].boot.Data)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fl.Ask("a", time.Second); err != nil {
		t.Fatal(err)
	}
	d.balancers[1].link.Refuse(true)
	d.store.Put(evacuateA, map[string]any{})
	late := d.start(address(d.net, balancerNet, 3))
	d.eventually(5*time.Second, "the balancer that starts later is ready", late.isReady)
	for _, b := range d.balancers {
		d.eventually(2500*time.Millisecond, "evacuation known", func() bool { return len(b.adminStatus(t).Evacuated) == 1 })
		began := time.Now()
		if name, err := d.ask(b, previews); err == nil {
			t.Errorf("%s: %s answered while its data centre is evacuated", b.boot.VM, name)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: refused after %v", b.boot.VM, took)
		}
	}
	if _, err := fl.Ask("b", time.Second); err != nil {
		t.Errorf("open flow: %v", err)
	}
	d.store.Remove(evacuateA)
	for _, b := range d.balancers {
		d.eventually(2500*time.Millisecond, "taken back", func() bool { return len(b.adminStatus(t).Evacuated) == 0 })
		d.mustAsk(b, previews)
	}
	lines := d.balancers[1].lines(t, "data centre evacuated: it gets no new flows, open ones stay")
	if len(lines) == 0 || lines[0]["at"] != "a" || lines[0]["revision"] == nil || lines[0]["source"] == "store" {
		t.Errorf("lines of the evacuation: %v", lines)
	}
}

// The key is removed and written again within one read of the store, in a listing after
// the store has compacted its history, and while nothing changes. The last write must
// count.
func TestLastWriteOfAnEvacuationCounts(t *testing.T) {
	t.Parallel()
	put := func(rev int64) replica.Item { return replica.Item{Key: evacuateA, Value: []byte("{}"), Revision: rev} }
	gone := func(rev int64) replica.Item { return replica.Item{Key: evacuateA, Revision: rev, Deleted: true} }
	for name, c := range map[string]struct {
		items []replica.Item
		want  int
	}{
		"put":             {[]replica.Item{put(2)}, 1},
		"put, gone":       {[]replica.Item{put(2), gone(3)}, 0},
		"put, gone, put":  {[]replica.Item{put(2), gone(3), put(4)}, 1},
		"invalid value":   {[]replica.Item{{Key: evacuateA, Value: []byte("\xff{"), Revision: 2}}, 1},
		"empty name":      {[]replica.Item{{Key: platform.EvacuationPrefix, Revision: 2}}, 0},
		"slash in a name": {[]replica.Item{{Key: evacuateA + "/b", Revision: 2}}, 0},
	} {
		b := newTestControl(t)
		b.replica = replica.New(platform.Significant)
		b.edge.forward = direct.New(direct.Config{DataCenter: "a", FlowMaxAge: time.Minute, MaxFlows: 10})
		b.edge.packets = &packets{edge: b.edge, loaded: make(chan struct{})}
		b.replica.Replace([]replica.Item{{Key: platform.TargetPrefix + "i-1", Value: []byte(validTarget), Revision: 1}}, at(1), 0)
		b.apply(b.replica.Apply(c.items, at(9), 0), "test")
		if got := len(b.edge.forward.Evacuations(0)); got != c.want {
			t.Errorf("%s: %d evacuations, want %d", name, got, c.want)
		}
		listed := b.replica.Replace(nil, at(10), 0) // the store has compacted its history, and the key is gone
		b.apply(listed, "test")
		if got := len(b.edge.forward.Evacuations(0)); got != 0 {
			t.Errorf("%s: %d evacuations after a listing without the key", name, got)
		}
	}
}

// Openings that no target may take must not reach a target.
func TestRefusedByEvacuation(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b := d.balancers[0]
	d.store.Put(evacuateA, map[string]any{})
	d.eventually(2*time.Second, "evacuation known", func() bool { return len(b.adminStatus(t).Evacuated) == 1 })
	before := opened(d.targets)
	for range 5 {
		if _, err := d.ask(b, previews); err == nil {
			t.Error("answered")
		}
	}
	if n := opened(d.targets) - before; n > 0 {
		t.Errorf("%d openings reached targets", n)
	}
	if !strings.Contains(b.out.String(), "reset_evacuated") {
		t.Error("the log has no reason reset_evacuated")
	}
}

func opened(targets []*standin.Target) int64 {
	var n int64
	for _, t := range targets {
		n += int64(t.Opened.Load())
	}
	return n
}
