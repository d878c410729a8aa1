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

// configureFabric passes the balancers' addresses to the fabric and ends its faults.
func (b *Bed) configureFabric() error {
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

// PutService writes a catalogue entry to the store. It retries when the write fails or
// another writer came first.
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

// Service returns a copy of a catalogue entry as it was at the start of the
// deployment, or nil if there is none.
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

// Replace stops a balancer by SIGTERM, starts it again and waits until all
// running balancers are ready.
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

// running returns the number of running balancers.
func (b *Bed) running() int {
	n := 0
	for _, x := range b.Balancers {
		if x.Process != nil && x.Process.Running() {
			n++
		}
	}
	return n
}

// Load is a running process of the caller stand-in.
type Load struct {
	proc *Process
	out  string    // file for the result
	End  time.Time // when the callers stop
}

// StartLoad starts a process of the caller stand-in with the given -streams and
// -requests flags for the duration d. The gap is the time between two frames of a
// stream; with chatter, callers send a line on each stream every second.
func (b *Bed) StartLoad(streams, requests string, d, gap time.Duration, chatter bool) (*Load, error) {
	b.callers++
	name := fmt.Sprintf("caller-%d", b.callers)
	out := filepath.Join(b.Dir, name+".json")
	p, err := b.start(name, b.bin("standin"), "caller", "-bind", fmt.Sprintf(callerAddr, 9+b.callers),
		"-block", fmt.Sprint(b.callers-1), "-streams", streams, "-requests", requests,
		"-duration", d.String(), "-gap", gap.String(), "-targets", TargetControl, "-out", out, fmt.Sprintf("-chatter=%v", chatter))
	return &Load{p, out, time.Now().Add(d)}, err
}

// Result waits for the end of the process and returns its result.
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

// Stats returns the statistics of all targets.
func (b *Bed) Stats() ([]target.Stats, error) {
	var s []target.Stats
	return s, getJSON("http://"+TargetControl+"/stats", &s)
}

// SetTarget sets a target's behaviour.
func (b *Bed) SetTarget(addr string, s target.Behaviour) error {
	return postJSON("http://"+TargetControl+"/set/"+addr, s)
}

// LoseStreams makes n streams of a target silent: their packets are dropped. It
// returns an error if the target has fewer.
func (b *Bed) LoseStreams(addr string, n int) error {
	return postJSON(fmt.Sprintf("http://%s/lose/%s/%d", TargetControl, addr, n), nil)
}

// SetStore sets the store's faults.
func (b *Bed) SetStore(f platform.Faults) error { return postJSON("http://"+Platform+"/faults", f) }

// StoreCalls returns the number of calls to the store by kind.
func (b *Bed) StoreCalls() (map[string]int, error) {
	var m map[string]int
	return m, getJSON("http://"+Platform+"/calls", &m)
}

// SetProxy sets the faults between balancers, and between balancers and the store.
func (b *Bed) SetProxy(f faultproxy.Faults) error { return postJSON("http://"+ProxyControl, f) }

// SetFabric sets the fabric's faults: the data centres cut off, and the packets lost and
// duplicated per million.
func (b *Bed) SetFabric(cut []string, loss, dup int64) error {
	set := map[string]any{"cut": cut, "loss": loss, "dup": dup}
	if b.Grouped {
		set["entry"] = b.DataCenters()[0]
	}
	return postJSON("http://"+FabricControl+"/set", set)
}

// Isolate cuts data centres off from the others, at balancers, fabric and targets.
// Without arguments it ends all such cuts.
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
					from = append(from, fmt.Sprintf("127.%d.0.0/16", b.secondByte(d)))
				}
			}
			if err := b.SetTarget(t.Address.String(), target.Behaviour{CutFrom: from}); err != nil {
				return err
			}
		}
	}
	return nil
}

// Status returns the status from a balancer's admin endpoint.
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

// relayAddr returns the address at which the proxy accepts packets from x to o.
func (b *Bed) relayAddr(x, o *Balancer, port uint16) netip.AddrPort {
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

// storeRelayAddr returns the address at which the proxy accepts calls from a data
// centre to the store.
func (b *Bed) storeRelayAddr(dc string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 101, b.secondByte(dc), 1}), storeRelayPort)
}

// startProxy starts the proxy with a link for each pair of balancers and port, and a
// gate to the store for each data centre.
func (b *Bed) startProxy() error {
	var plan faultproxy.Plan
	for _, dc := range b.DataCenters() {
		plan.Gates = append(plan.Gates, faultproxy.Gate{From: dc, Listen: b.storeRelayAddr(dc), To: netip.MustParseAddrPort(Platform)})
	}
	for _, x := range b.Balancers {
		for _, o := range b.Balancers {
			if x == o {
				continue
			}
			for _, port := range []uint16{dataPort, controlPort} {
				plan.Links = append(plan.Links, faultproxy.Link{
					From: x.DataCenter, Dest: o.DataCenter, Listen: b.relayAddr(x, o, port),
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

// LogsAbout returns the log lines of all processes that contain a caller's address.
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

// Log returns the last lines of a process's output.
func (b *Bed) Log(name string) string {
	data, _ := os.ReadFile(filepath.Join(b.Dir, name+".log"))
	lines := strings.Split(string(data), "\n")
	const maxLines = 30
	return strings.Join(lines[max(0, len(lines)-maxLines):], "\n")
}
