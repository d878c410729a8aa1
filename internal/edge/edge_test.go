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

// A caller's flow moves to another balancer when its own one dies, including one that has
// just started and knows no flows. The caller must not notice.
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
		t.Errorf("answers %q, %q, %q are not from one target", first, second, third)
	}
}

// Invalid input is counted and changes nothing that is in force.
func TestInvalidInputChangesNothing(t *testing.T) {
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

func metricsPage(t *testing.T, b *balancer) string {
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

// On a planned stop the routers are informed at once, packets are forwarded until the
// routers use other balancers, and the balancer ends within its grace period.
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
	b.shutdown(t)
	if took := time.Since(began); took < minStop || took > b.boot.Grace {
		t.Errorf("stopped after %v", took)
	}
}
