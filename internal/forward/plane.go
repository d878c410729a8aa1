package forward

import (
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/router"
)

const (
	batchSize = 64 // datagrams per system call
	// maxDatagram is the size in bytes of a receive buffer, enough for a jumbo
	// frame with its encapsulation.
	maxDatagram = 9216
)

// Config holds the addresses and the number of workers of a Plane.
type Config struct {
	Listen  netip.AddrPort // local address of all sockets
	Fabric  netip.AddrPort // receives packets for callers
	Sources []netip.Prefix // addresses from which the fabric sends
	Workers int            // traffic goroutines; 0 means one per processor, at most 4
	Relay   netip.AddrPort // if set, every datagram is sent there unchanged, as a baseline for measurements
	// Decided is called for each decision on a flow, from several goroutines.
	// It may be nil.
	Decided func(*router.Decision)
	// ReadFailed is called with the first of several read errors in a row, from several
	// goroutines. It may be nil.
	ReadFailed func(error)
}

// Plane owns the sockets of the data path and runs the traffic goroutines.
type Plane struct {
	cfg    Config
	router *router.Router
	begin  time.Time
	peers  atomic.Pointer[map[netip.Addr]bool]
	socks  []*net.UDPConn
	wg     sync.WaitGroup

	// Counters of datagrams, exported as metrics.
	Received, Sent, SendErrors, ReadErrors atomic.Uint64
	lastFabric                             atomic.Int64
	failed                                 chan error // see Failed

	tickMu     sync.Mutex
	tickWorker *worker // for Apply
}

// New opens the sockets. The router's times are counted from begin.
func New(cfg Config, r *router.Router, begin time.Time) (*Plane, error) {
	if cfg.Workers <= 0 {
		cfg.Workers = min(runtime.NumCPU(), 4)
	}
	p := &Plane{cfg: cfg, router: r, begin: begin, failed: make(chan error, 1)}
	p.SetPeers(nil)
	for range cfg.Workers {
		c, err := listen(cfg.Listen)
		if err != nil {
			p.Close()
			return nil, err
		}
		p.socks = append(p.socks, c)
	}
	p.tickWorker = newWorker(p, p.socks[0])
	return p, nil
}

// SetPeers sets the addresses from which hop options are accepted.
func (p *Plane) SetPeers(addrs []netip.Addr) {
	m := make(map[netip.Addr]bool, len(addrs))
	for _, a := range addrs {
		m[a.Unmap()] = true
	}
	p.peers.Store(&m)
}

// Start starts the traffic goroutines, which run until Close.
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

// Tick runs the router's timers and sends the resulting actions.
func (p *Plane) Tick() {
	p.Apply(func(now time.Duration, out *router.Output) { p.router.Tick(now, out) })
}

// Apply calls f and sends the actions that it adds to its output.
func (p *Plane) Apply(f func(now time.Duration, out *router.Output)) {
	p.tickMu.Lock()
	defer p.tickMu.Unlock()
	p.tickWorker.out.Reset()
	f(p.Now(), &p.tickWorker.out)
	p.tickWorker.flush()
	p.tickWorker.report()
}

// Now returns the time since begin.
func (p *Plane) Now() time.Duration { return time.Since(p.begin) }

// LastFabric returns when the last datagram without a hop option arrived, as
// time since begin.
func (p *Plane) LastFabric() time.Duration { return time.Duration(p.lastFabric.Load()) }

// Failed returns a channel with the error when reads of a socket have failed for
// readfail.Limit. The socket is not read any more.
func (p *Plane) Failed() <-chan error { return p.failed }

func (p *Plane) fail(err error) {
	select {
	case p.failed <- errors.Wrap(err, "forward: read"):
	default: // another socket has failed before
	}
}

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

// trusted checks the outer source address. Callers' packets must come from the
// fabric, and hop options from peers. The router checks the sources of
// answers.
func (p *Plane) trusted(src netip.Addr, d *geneve.Datagram) bool {
	switch {
	case d.HasHop:
		return (*p.peers.Load())[src]
	case d.VNI == 0:
		return p.fromFabric(src)
	}
	return true
}
