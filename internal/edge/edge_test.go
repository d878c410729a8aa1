package edge

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

func TestServesTheRightService(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	for i := range 30 {
		b := d.balancers[i%3]
		if name := d.mustAsk(b, previews); !strings.HasSuffix(name, "1") && !strings.HasSuffix(name, "2") {
			t.Errorf("a preview was answered by %s", name)
		}
		if name := d.mustAsk(b, scans); !strings.HasSuffix(name, "3") && !strings.HasSuffix(name, "4") {
			t.Errorf("a scan was answered by %s", name)
		}
	}
	if _, err := d.ask(d.balancers[0], newRoute); !errors.Is(err, direct.ErrReset) {
		t.Errorf("address without a route: %v, want a reset at once", err)
	}
}

// A caller's flow moves to another balancer when its own one dies, also to one
// that has just started and knows no flow at all. The caller must not notice.
func TestFlowsSurviveTheirBalancer(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	fl, err := d.caller.Open(previews, d.balancers[0].boot.Data)
	if err != nil {
		t.Fatal(err)
	}
	first, err := fl.Ask("one", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	fl.Via = d.balancers[1].boot.Data
	second, err := fl.Ask("two", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	late := d.start(d.balancers[1].boot.Data.Addr().Next())
	d.eventually(3*time.Second, "the new balancer is ready", late.isReady)
	fl.Via = late.boot.Data
	third, err := fl.Ask("three", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	name := strings.TrimPrefix(first, "one by ")
	if second != "two by "+name || third != "three by "+name {
		t.Errorf("answers %q, %q, %q are not of one target", first, second, third)
	}
}

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
	d.store.Forget()
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

// A target announces that it will leave. After the bound no balancer opens flows
// there, while its open flows go on.
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
		t.Errorf("%d flows were opened at the target that leaves", n)
	}
	if _, err := fl.Ask("b", time.Second); err != nil {
		t.Errorf("open flow at the target that leaves: %v", err)
	}
}

// A target crashes while callers hold flows there. Its address refuses
// connections; the callers' next requests are reset at once, not after seconds,
// and new flows go elsewhere.
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
	d.mustAsk(b, scans) // another target shows life
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

// Rubbish from outside is counted and changes nothing in force.
func TestRubbishLosesNothing(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b := d.balancers[0]
	d.store.PutRaw(platform.CatalogueKey, []byte(`{"version":9,"routes":[{"name":"x","host":"198.18.0.1","prefix":"/1/","service":"nowhere"}]}`))
	d.store.PutRaw("servers/"+d.targets[0].Name(), []byte("no JSON"))
	d.store.PutRaw("servers/not-an-id!", []byte("{}"))
	c, err := net.Dial("udp4", b.boot.Data.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write(make([]byte, 30)); err != nil {
		t.Fatal(err)
	}
	u, err := net.Dial("udp4", b.boot.Control.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = u.Close() }()
	if _, err := u.Write([]byte("rubbish")); err != nil {
		t.Fatal(err)
	}
	want := []string{"rosedale_items_unusable 3", "rosedale_packets_dropped_malformed 1", "rosedale_heartbeats_undecodable 1"}
	d.eventually(3*time.Second, strings.Join(want, ", "), func() bool {
		page := metricsPage(t, b)
		for _, w := range want {
			if !strings.Contains(page, w) {
				return false
			}
		}
		return true
	})
	for range 10 {
		d.mustAsk(b, previews)
	}
}

func metricsPage(t *testing.T, b *running) string {
	t.Helper()
	resp, err := http.Get("http://" + net.JoinHostPort(b.boot.Data.Addr().String(), AdminPort) + MetricsPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// A planned stop: the routers are told at once, packets are forwarded until they
// have noticed, and the balancer ends within its grace period.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	b := d.balancers[0]
	fl, err := d.caller.Open(previews, b.boot.Data)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	b.stop()
	d.eventually(500*time.Millisecond, "the balancer is not ready", func() bool { return !b.isReady() })
	for i := range 5 {
		if _, err := fl.Ask(fmt.Sprint("request ", i), time.Second); err != nil {
			t.Errorf("request %d during the stop: %v", i, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	b.end(t)
	if took := time.Since(began); took < stopLeast || took > b.boot.Grace {
		t.Errorf("stopped after %v", took)
	}
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
