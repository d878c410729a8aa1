package testbed

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/keys"
	"rosedale.dev/rosedale/internal/standin/target"
	"rosedale.dev/rosedale/internal/store"
)

// Config describes a deployment.
type Config struct {
	Root          string // folder of the repository; programs are in Root/bin
	Examples      string // folder of catalogue entries
	BalancerCount int    // number of balancers, 7 when zero
	Proxy         bool   // put the fault-injecting proxy between balancers and before the store
	Bare          bool   // store and balancers only, without targets and fabric
	Extra         string // appended to every balancer's settings
	Grouped       bool   // each data centre is a group of its own, for the fabric too
	Single        bool   // only one balancer, which reads the entries from Examples
	Verbose       bool   // keep the logs
	// Services replaces the entries in Examples, if not nil.
	Services []*catalogue.Service
}

// Addresses of the stand-ins, ports and defaults of the balancers, and time limits.
const (
	FabricControl    = "127.0.9.1:8080"
	TargetControl    = "127.0.9.2:8080"
	Platform         = "127.0.9.3:8500"
	ProxyControl     = "127.0.9.4:8080"
	callerAddr       = "127.0.9.%d:6081" // format, with the last byte of the address
	storePrefix      = "rosedale"        // of all keys in the store
	startTimeout     = 40 * time.Second  // for the stand-ins or balancers to become ready, or a store write to succeed
	certValidity     = 24 * time.Hour
	dataPort         = 6081
	controlPort      = 7000
	adminPort        = 7001
	storeRelayPort   = 8500
	defaultBalancers = 7
)

// Bed is a running deployment.
type Bed struct {
	Config
	Dir       string // folder of settings, keys, logs and results
	Balancers []*Balancer
	Store     *store.Consul
	mu        sync.Mutex
	procs     []*Process
	ca        keys.Pair
	callers   int    // number of processes of the caller stand-in started so far
	release   func() // releases the machine-wide lock
	// ReadyAfter is the time from the start of the balancers until all were ready.
	ReadyAfter time.Duration
}

// Balancer is one VM of the load balancer.
type Balancer struct {
	Name       string
	DataCenter string
	IP         netip.Addr
	Process    *Process
}

// Admin returns the address of the balancer's admin endpoint.
func (b *Balancer) Admin() string { return fmt.Sprintf("%s:%d", b.IP, adminPort) }

// New starts a deployment and waits until every balancer is ready. Before, it waits until no
// other deployment runs on this machine.
func New(c Config) (*Bed, error) {
	if c.BalancerCount == 0 {
		c.BalancerCount = defaultBalancers
	}
	release, err := lock()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rosedale-bed-")
	if err != nil {
		release()
		return nil, errors.Wrap(err, "testbed: folder")
	}
	b := &Bed{Config: c, Dir: dir, Store: store.NewConsul("http://"+Platform, ""), release: release}
	if b.Services == nil {
		if b.Services, err = target.ReadDir(c.Examples); err != nil {
			release()
			return nil, err
		}
	}
	if err := b.startAll(); err != nil {
		b.Stop()
		return nil, err
	}
	return b, nil
}

func (b *Bed) startAll() error {
	var err error
	if b.Single {
		b.BalancerCount, b.Bare = 1, true
	}
	if b.ca, err = keys.NewAuthority("test authority", certValidity, time.Now()); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(b.Dir, "ca.pem"), b.ca.Cert, 0o644); err != nil {
		return errors.Wrap(err, "testbed: authority")
	}
	b.planBalancers()
	if err := b.startStandins(); err != nil {
		return err
	}
	if err := b.putServices(); err != nil {
		return err
	}
	began := time.Now()
	for _, x := range b.Balancers {
		if err := b.StartBalancer(x); err != nil {
			return err
		}
	}
	err = b.WaitReady(len(b.Balancers))
	b.ReadyAfter = time.Since(began)
	return err
}

func (b *Bed) putServices() error {
	if b.Single {
		return nil
	}
	for _, s := range b.Services {
		if err := b.PutService(s); err != nil {
			return err
		}
	}
	return nil
}

// DataCenters returns the names of the targets' data centres, in the catalogue's order.
func (b *Bed) DataCenters() []string {
	var out []string
	seen := map[string]bool{}
	for _, s := range b.Services {
		for _, t := range s.Targets {
			if !seen[t.DataCenter] {
				seen[t.DataCenter] = true
				out = append(out, t.DataCenter)
			}
		}
	}
	return out
}

// secondByte returns the second byte of the addresses in a data centre, or 0 if it has no
// target.
func (b *Bed) secondByte(dc string) byte {
	for _, s := range b.Services {
		for _, t := range s.Targets {
			if t.DataCenter == dc {
				return t.Address.As4()[1]
			}
		}
	}
	return 0
}

// planBalancers distributes the balancers over the data centres in turn.
func (b *Bed) planBalancers() {
	dcs := b.DataCenters()
	for i := range b.BalancerCount {
		dc := dcs[i%len(dcs)]
		n := i/len(dcs) + 1
		b.Balancers = append(b.Balancers, &Balancer{
			Name:       fmt.Sprintf("%s-%d", dc, n),
			DataCenter: dc,
			IP:         netip.AddrFrom4([4]byte{127, b.secondByte(dc), 0, byte(n)}),
		})
	}
}

func (b *Bed) bin(name string) string { return filepath.Join(b.Root, "bin", name) }

func (b *Bed) startStandins() error {
	if b.Single {
		return nil
	}
	if _, err := b.start("platform", b.bin("standin"), "platform", "-listen", Platform); err != nil {
		return err
	}
	if b.Proxy {
		if err := b.startProxy(); err != nil {
			return err
		}
	}
	if b.Bare {
		return waitFor(startTimeout, func() error { return getJSON("http://"+Platform+"/calls", nil) })
	}
	if _, err := b.start("fabric", b.bin("standin"), "fabric", "-control", FabricControl); err != nil {
		return err
	}
	if _, err := b.start("target", b.bin("standin"), "target", "-catalogue", b.Examples, "-control", TargetControl); err != nil {
		return err
	}
	return waitFor(startTimeout, func() error {
		for _, u := range []string{FabricControl + "/stats", TargetControl + "/stats", Platform + "/calls"} {
			if err := getJSON("http://"+u, nil); err != nil {
				return err
			}
		}
		return b.configureFabric()
	})
}

// StartBalancer writes a balancer's settings and keys and starts it.
func (b *Bed) StartBalancer(x *Balancer) error {
	pair, err := keys.NewMember(b.ca, x.Name, certValidity, time.Now())
	if err != nil {
		return err
	}
	for name, data := range map[string][]byte{".crt": pair.Cert, ".key": pair.Key, ".toml": []byte(b.settings(x))} {
		if err := os.WriteFile(filepath.Join(b.Dir, x.Name+name), data, 0o600); err != nil {
			return errors.Wrap(err, "testbed: settings")
		}
	}
	x.Process, err = b.start(x.Name, b.bin("rosedaled"), "-config", filepath.Join(b.Dir, x.Name+".toml"))
	return err
}

// WaitReady waits until the fabric counts exactly n ready balancers. Without a
// fabric it waits until all running balancers are ready.
func (b *Bed) WaitReady(n int) error {
	if b.Bare {
		return b.waitReadyz()
	}
	return waitFor(startTimeout, func() error {
		var st struct {
			Ready int `json:"ready"`
		}
		if err := getJSON("http://"+FabricControl+"/stats", &st); err != nil {
			return err
		}
		if st.Ready != n {
			return errors.Errorf("testbed: %d of %d balancers are ready", st.Ready, n)
		}
		return nil
	})
}

// Stop kills every process and removes the folder, which Verbose keeps.
func (b *Bed) Stop() {
	b.mu.Lock()
	procs := b.procs
	b.mu.Unlock()
	for _, p := range procs {
		if p.Running() {
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGKILL)
		}
	}
	for _, p := range procs {
		_ = p.Wait(5 * time.Second)
	}
	if !b.Verbose {
		_ = os.RemoveAll(b.Dir)
	}
	b.release()
}

// Root returns the folder of the repository, found from the path of this source file.
func Root() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}
