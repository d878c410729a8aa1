package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/control"
	"rosedale.dev/rosedale/internal/standin/caller"
	"rosedale.dev/rosedale/internal/standin/fabric"
	"rosedale.dev/rosedale/internal/standin/faultproxy"
	"rosedale.dev/rosedale/internal/standin/platform"
	"rosedale.dev/rosedale/internal/standin/target"
	"rosedale.dev/rosedale/internal/store"
)

func (b *Bed) tellFabric() error {
	var all []fabric.Balancer
	for _, x := range b.Balancers {
		all = append(all, fabric.Balancer{
			Name: x.Name, DataCenter: x.DataCenter, Data: netip.AddrPortFrom(x.IP, dataPort), Admin: x.Admin(),
		})
	}
	if err := postJSON("http://"+FabricControl+"/balancers", all); err != nil {
		return err
	}
	return b.SetFabric(nil, 0, 0)
}

// PutService writes an entry as an operator would.
func (b *Bed) PutService(s *catalogue.Service) error {
	text, err := catalogue.Encode(s)
	if err != nil {
		return err
	}
	key := store.ServiceKey(storePrefix, s.Name)
	return waitFor(startTimeout, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), httpTimeout)
		defer cancel()
		old, err := b.Store.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		return b.Store.Swap(ctx, key, text, old.Index)
	})
}

// Service returns a copy of the first version of an entry.
func (b *Bed) Service(name string) *catalogue.Service {
	for _, s := range b.Services {
		if s.Name == name {
			c := *s
			c.Targets = append([]catalogue.Target(nil), s.Targets...)
			c.Addresses = append([]catalogue.Address(nil), s.Addresses...)
			return &c
		}
	}
	return nil
}

// Replace stops a balancer as planned and starts it anew.
func (b *Bed) Replace(x *Balancer) error {
	x.Process.Signal(syscall.SIGTERM)
	if err := x.Process.Wait(40 * time.Second); err != nil {
		return errors.Wrapf(err, "testbed: planned stop of %s", x.Name)
	}
	if err := b.StartBalancer(x); err != nil {
		return err
	}
	return b.WaitReady(b.running())
}

func (b *Bed) running() int {
	n := 0
	for _, x := range b.Balancers {
		if x.Process != nil && x.Process.Running() {
			n++
		}
	}
	return n
}

// Load is a caller process.
type Load struct {
	proc *Process
	out  string
	End  time.Time
}

// StartLoad starts callers; streams and requests as the caller stand-in
// takes them.
func (b *Bed) StartLoad(streams, requests string, d, gap time.Duration, chatter bool) (*Load, error) {
	b.callers++
	name := fmt.Sprintf("caller-%d", b.callers)
	out := filepath.Join(b.Dir, name+".json")
	p, err := b.start(name, b.bin("standin"), "caller", "-bind", fmt.Sprintf(callerAddr, 9+b.callers),
		"-block", fmt.Sprint(b.callers-1), "-streams", streams, "-requests", requests,
		"-duration", d.String(), "-gap", gap.String(), "-targets", TargetControl, "-out", out, fmt.Sprintf("-chatter=%v", chatter))
	return &Load{p, out, time.Now().Add(d)}, err
}

// Result waits for the callers to end and returns what they saw.
func (l *Load) Result() (caller.Result, error) {
	var r caller.Result
	if err := l.proc.Wait(time.Until(l.End) + 30*time.Second); err != nil {
		return r, err
	}
	data, err := os.ReadFile(l.out)
	if err != nil {
		return r, errors.Wrap(err, "testbed: result")
	}
	return r, json.Unmarshal(data, &r)
}

// Stats returns the targets' counts.
func (b *Bed) Stats() ([]target.Stats, error) {
	var s []target.Stats
	return s, getJSON("http://"+TargetControl+"/stats", &s)
}

// SetTarget changes a target's behaviour.
func (b *Bed) SetTarget(addr string, s target.Behaviour) error {
	return postJSON("http://"+TargetControl+"/set/"+addr, s)
}

// LoseStreams makes n streams of a target go silent. A target that has fewer
// is an error.
func (b *Bed) LoseStreams(addr string, n int) error {
	return postJSON(fmt.Sprintf("http://%s/lose/%s/%d", TargetControl, addr, n), nil)
}

// SetStore changes the store's faults.
func (b *Bed) SetStore(f platform.Faults) error { return postJSON("http://"+Platform+"/faults", f) }

// StoreCalls returns the store's call counts.
func (b *Bed) StoreCalls() (map[string]int, error) {
	var m map[string]int
	return m, getJSON("http://"+Platform+"/calls", &m)
}

// SetProxy changes the faults between balancers.
func (b *Bed) SetProxy(f faultproxy.Faults) error { return postJSON("http://"+ProxyControl, f) }

// SetFabric changes the fabric's faults; loss and dup are per million.
func (b *Bed) SetFabric(cut []string, loss, dup int64) error {
	set := map[string]any{"cut": cut, "loss": loss, "dup": dup}
	if b.Grouped {
		set["entry"] = b.DataCenters()[0]
	}
	return postJSON("http://"+FabricControl+"/set", set)
}

// Isolate cuts data centres off from the others: balancers, fabric, targets.
// With none it heals every cut.
func (b *Bed) Isolate(dcs ...string) error {
	if err := b.SetProxy(faultproxy.Faults{Cut: dcs}); err != nil {
		return err
	}
	if err := b.SetFabric(dcs, 0, 0); err != nil {
		return err
	}
	cut := map[string]bool{}
	for _, d := range dcs {
		cut[d] = true
	}
	for _, s := range b.Services {
		for _, t := range s.Targets {
			var from []string
			for _, d := range b.DataCenters() {
				if d != t.DataCenter && (cut[d] || cut[t.DataCenter]) {
					from = append(from, fmt.Sprintf("127.%d.0.0/16", b.base(d)))
				}
			}
			if err := b.SetTarget(t.Address.String(), target.Behaviour{CutFrom: from}); err != nil {
				return err
			}
		}
	}
	return nil
}

// Status returns a balancer's status.
func (b *Bed) Status(x *Balancer) (control.Status, error) {
	var s control.Status
	return s, getJSON("http://"+x.Admin()+"/status", &s)
}

// Metrics returns a balancer's counters and gauges by name.
func (b *Bed) Metrics(x *Balancer) (map[string]float64, error) {
	resp, err := client.Get("http://" + x.Admin() + "/metrics")
	if err != nil {
		return nil, errors.Wrap(err, "testbed: metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	return parseMetrics(resp.Body)
}

// proxied returns the relay's address for packets from x to o.
func (b *Bed) proxied(x, o *Balancer, port uint16) netip.AddrPort {
	from, to := -1, -1
	for i, y := range b.Balancers {
		if y == x {
			from = i
		}
		if y == o {
			to = i
		}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 100, byte(from), byte(to + 1)}), port)
}

// gate returns the relay's address for calls from a data centre to the store.
func (b *Bed) gate(dc string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 101, b.base(dc), 1}), gatePort)
}

func (b *Bed) startProxy() error {
	var plan faultproxy.Plan
	for _, dc := range b.DataCenters() {
		plan.Gates = append(plan.Gates, faultproxy.Gate{From: dc, Listen: b.gate(dc), To: netip.MustParseAddrPort(Platform)})
	}
	for _, x := range b.Balancers {
		for _, o := range b.Balancers {
			if x == o {
				continue
			}
			for _, port := range []uint16{dataPort, controlPort} {
				plan.Links = append(plan.Links, faultproxy.Link{
					From: x.DataCenter, Dest: o.DataCenter, Listen: b.proxied(x, o, port),
					To: netip.AddrPortFrom(o.IP, port), Source: x.IP,
				})
			}
		}
	}
	data, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	file := filepath.Join(b.Dir, "links.json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return errors.Wrap(err, "testbed: links")
	}
	_, err = b.start("faultproxy", b.bin("standin"), "faultproxy", "-links", file, "-control", ProxyControl)
	return err
}

// LogsAbout returns the lines of all processes' logs that name a caller's end of a flow.
func (b *Bed) LogsAbout(caller string) string {
	files, err := filepath.Glob(filepath.Join(b.Dir, "*.log"))
	if err != nil {
		return err.Error()
	}
	whole := regexp.MustCompile(`\b` + regexp.QuoteMeta(caller) + `\b`)
	var out strings.Builder
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			_, _ = fmt.Fprintln(&out, err)
			continue
		}
		for line := range strings.Lines(string(text)) {
			if whole.MatchString(line) {
				_, _ = fmt.Fprintf(&out, "%s: %s", strings.TrimSuffix(filepath.Base(f), ".log"), line)
			}
		}
	}
	return out.String()
}

// Log returns a process's output, for a failed test's report.
func (b *Bed) Log(name string) string {
	data, _ := os.ReadFile(filepath.Join(b.Dir, name+".log"))
	lines := strings.Split(string(data), "\n")
	const most = 30
	return strings.Join(lines[max(0, len(lines)-most):], "\n")
}
