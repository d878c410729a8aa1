package edge

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	core "rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/standin/direct"
)

// get queries a balancer's admin endpoint and decodes the answer.
func (b *balancer) get(t *testing.T, path string, q url.Values, into any) {
	t.Helper()
	u := "http://" + net.JoinHostPort(b.boot.Data.Addr().String(), AdminPort) + path + "?" + q.Encode()
	resp, err := http.Get(u)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %d %s %v", path, resp.StatusCode, body, err)
	}
	if err := json.Unmarshal(body, into); err != nil {
		t.Fatal(err)
	}
}

func (b *balancer) explain(t *testing.T, caller, address netip.AddrPort) core.Explanation {
	t.Helper()
	var x core.Explanation
	b.get(t, ExplainPath, url.Values{"caller": {caller.String()}, "address": {address.String()}}, &x)
	return x
}

// flowLines returns the log lines of a caller's flow.
func (b *balancer) flowLines(t *testing.T, caller netip.AddrPort) []map[string]any {
	t.Helper()
	var out []map[string]any
	for _, l := range b.lines(t, "flow") {
		if l["caller"] == caller.String() {
			out = append(out, l)
		}
	}
	return out
}

// A caller reports that its opening got no answer, because its target had become silent.
// The flow's log lines must name the target and the retransmissions, and the target's own
// lines the reason why it is avoided.
func TestComplaintNoAnswer(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b := d.balancers[0]
	d.targets[2].Silence() // both targets of the scan store
	d.targets[3].Silence()
	fl, err := d.caller.Open(scans, b.boot.Data)
	if !errors.Is(err, direct.ErrTimeout) {
		t.Fatalf("opening: %v %v, want no answer", fl, err)
	}
	caller := netip.AddrPortFrom(address(d.net, callerNet, 1), 1025)
	lines := b.flowLines(t, caller)
	if len(lines) != 3 {
		t.Fatalf("%d lines of the flow, want one for each transmission of the opening: %v", len(lines), lines)
	}
	first := lines[0]["target"].(string)
	for _, key := range []string{"outcome", "target", "load", "version", "age", "copy"} {
		if _, ok := lines[0][key]; !ok {
			t.Errorf("line has no %s: %v", key, lines[0])
		}
	}
	if lines[1]["outcome"] != "opened_elsewhere" || lines[1]["target"] == first {
		t.Errorf("second transmission: %v", lines[1])
	}
	found := false
	for _, l := range b.lines(t, "target checked") {
		found = found || l["target"] == first && l["finding"] == "hung"
	}
	if !found {
		t.Errorf("no check found that target %s hangs", first)
	}
}

// A caller reports that its flow was reset, because its target had crashed. The flow's
// log line must name the target, and the target's line the refused check.
func TestComplaintReset(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b := d.balancers[0]
	fl, err := d.caller.Open(previews, b.boot.Data)
	if err != nil {
		t.Fatal(err)
	}
	name, err := fl.Ask("a", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	caller := netip.AddrPortFrom(address(d.net, callerNet, 1), 1025)
	if x := b.explain(t, caller, previews); !x.Known || x.Outcome != "forwarded" || !strings.HasSuffix(name, x.Target) {
		t.Errorf("before the crash: %+v, answered %s", x, name)
	}
	for _, x := range d.targets {
		if strings.HasSuffix(name, x.Name()) {
			x.Stop()
		}
	}
	if _, err := fl.Ask("b", 2*time.Second); !errors.Is(err, direct.ErrReset) {
		t.Fatalf("request to the crashed target: %v", err)
	}
	d.eventually(time.Second, "the flow's end is logged", func() bool {
		lines := b.flowLines(t, caller)
		return len(lines) > 0 && lines[len(lines)-1]["outcome"] == "reset_silent"
	})
}

// A caller reports a late answer, because its target was slow. The status must show the
// target's in-flight requests and the time since its last answer.
func TestComplaintLate(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b := d.balancers[0]
	for _, x := range d.targets[:2] {
		x.SetWork(600 * time.Millisecond)
	}
	done := make(chan error, 1)
	go func() {
		_, err := d.ask(b, previews)
		done <- err
	}()
	var s Status
	d.eventually(2*time.Second, "a request is in flight", func() bool {
		b.get(t, StatusPath, nil, &s)
		for _, x := range s.Targets {
			if x.Busy == 1 && x.Silence > 200*time.Millisecond {
				return true
			}
		}
		return false
	})
	if err := <-done; err != nil {
		t.Error(err)
	}
	if s.Version != 1 || !s.Ready || s.Age > time.Second || len(s.Targets) != 4 {
		t.Errorf("status %+v", s)
	}
	if page := metricsPage(t, b); !strings.Contains(page, "rosedale_answer_seconds_bucket") {
		t.Error("the metrics have no histogram of answers")
	}
}

// A caller reports that its payment was refused. Far more openings come at once than the gate's
// queue holds. A refused caller's log line must name the overload and no target; the status, the
// counters and the line on the saturated service must show the limit that was reached.
func TestComplaintRefused(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	b := d.balancers[0]
	const callers = 600 // more than wait at most
	results := make(chan error, callers)
	for range callers {
		go func() {
			_, err := d.caller.Open(previews, b.boot.Data)
			results <- err
		}()
	}
	var saturated core.GateInfo
	d.eventually(2*time.Second, "the status shows a saturated gate that rejects", func() bool {
		var s Status
		b.get(t, StatusPath, nil, &s)
		for _, g := range s.Gates {
			if g.Service == "catalogue" && g.Saturated && g.Waiting > 0 && len(g.Counts) > 0 && g.Counts[0].Rejected > 0 {
				saturated = g
				return true
			}
		}
		return false
	})
	if p := saturated.Pools[0]; saturated.Counts[0].Priority != 1 || p.DataCenter != "a" || p.Places == 0 || p.InFlight == 0 {
		t.Errorf("gate %+v", saturated)
	}
	d.eventually(2*time.Second, "the saturated service is logged", func() bool {
		lines := b.lines(t, "service saturated")
		return len(lines) > 0 && lines[0]["service"] == "catalogue"
	})
	refused := 0
	for range callers {
		if err := <-results; errors.Is(err, direct.ErrReset) {
			refused++
		}
	}
	if refused == 0 {
		t.Fatal("no caller was refused")
	}
	var line map[string]any
	for _, l := range b.lines(t, "flow") {
		if l["outcome"] == "reset_overload" {
			line = l
			break
		}
	}
	if _, ok := line["waited"]; !ok || line["target"] != "0" { // 0: none
		t.Errorf("line of a refused opening: %v", line)
	}
	for _, name := range []string{"rosedale_packets_reset_overload", "rosedale_admission_rejected_catalogue_p1"} {
		d.eventually(3*time.Second, name+" counts refusals", func() bool {
			page := metricsPage(t, b)
			return strings.Contains(page, name+" ") && !strings.Contains(page, name+" 0\n")
		})
	}
}
