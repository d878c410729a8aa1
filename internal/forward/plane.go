package forward

import (
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/router"
)

const (
	batchSize = 64
	// maxDatagram covers jumbo frames with their encapsulation.
	maxDatagram = 9216
)

// Config says where a Plane receives and where the fabric is.
type Config struct {
	Listen  netip.AddrPort
	Fabric  netip.AddrPort // takes packets for callers
	Sources []netip.Prefix // the fabric's addresses
	Workers int            // traffic goroutines; zero takes one per processor, 4 at most
	Relay   netip.AddrPort // set for the bare relay that measurements compare with
	// Decided takes the decisions on flows, from several goroutines; nil for none.
	Decided func(*router.Decision)
}

// Plane runs the traffic goroutines.
type Plane struct {
	cfg    Config
	router *router.Router
	begin  time.Time
	peers  atomic.Pointer[map[netip.Addr]bool]
	socks  []*net.UDPConn
	wg     sync.WaitGroup

	// Counters of datagrams, for metrics.
	Received, Sent, SendErrors atomic.Uint64
	lastFabric                 atomic.Int64

	tickMu sync.Mutex
	tick   *worker
}

// New opens the sockets. Time is counted from begin.
func New(cfg Config, r *router.Router, begin time.Time) (*Plane, error) {
	if cfg.Workers <= 0 {
		cfg.Workers = min(runtime.NumCPU(), 4)
	}
	p := &Plane{cfg: cfg, router: r, begin: begin}
	p.SetPeers(nil)
	for range cfg.Workers {
		c, err := listen(cfg.Listen)
		if err != nil {
			p.Close()
			return nil, err
		}
		p.socks = append(p.socks, c)
	}
	p.tick = newWorker(p, p.socks[0])
	return p, nil
}

// SetPeers sets the addresses from which hop options are believed.
func (p *Plane) SetPeers(addrs []netip.Addr) {
	m := make(map[netip.Addr]bool, len(addrs))
	for _, a := range addrs {
		m[a.Unmap()] = true
	}
	p.peers.Store(&m)
}

// Start runs the traffic goroutines until Close.
func (p *Plane) Start() {
	for _, c := range p.socks {
		w := newWorker(p, c)
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			w.run()
		}()
	}
}

// Tick runs the router's timers and sends what they decide.
func (p *Plane) Tick() {
	p.Apply(func(now time.Duration, out *router.Output) { p.router.Tick(now, out) })
}

// Apply runs f and sends the actions that it leaves in its output.
func (p *Plane) Apply(f func(now time.Duration, out *router.Output)) {
	p.tickMu.Lock()
	defer p.tickMu.Unlock()
	p.tick.out.Reset()
	f(p.Now(), &p.tick.out)
	p.tick.flush()
	p.tick.report()
}

// Now returns the time since begin.
func (p *Plane) Now() time.Duration { return time.Since(p.begin) }

// LastFabric returns when the fabric last sent anything here.
func (p *Plane) LastFabric() time.Duration { return time.Duration(p.lastFabric.Load()) }

// Close closes the sockets and waits for the traffic goroutines.
func (p *Plane) Close() {
	for _, c := range p.socks {
		_ = c.Close()
	}
	p.wg.Wait()
}

func (p *Plane) fromFabric(a netip.Addr) bool {
	for _, f := range p.cfg.Sources {
		if f.Contains(a) {
			return true
		}
	}
	return false
}

// trusted checks the outer source. Callers' packets come from the fabric, hop
// options from peers; answers are checked against the targets by the router.
func (p *Plane) trusted(src netip.Addr, d *geneve.Datagram) bool {
	switch {
	case d.HasHop:
		return (*p.peers.Load())[src]
	case d.VNI == 0:
		return p.fromFabric(src)
	}
	return true
}
