// Package fabric is the stand-in for the network in front of the balancers. It
// sends every packet of callers and targets to a random ready balancer (packet
// spraying) and delivers the balancers' packets to the callers.
package fabric

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// Balancer describes a balancer VM to which the fabric may send packets.
type Balancer struct {
	Name       string         `json:"name"`
	DataCenter string         `json:"dataCenter"`
	Data       netip.AddrPort `json:"data"`
	Admin      string         `json:"admin"` // host:port of the readiness check
}

// Fabric holds the fabric's state. The control endpoint sets the balancers and faults.
type Fabric struct {
	ready         atomic.Pointer[[]Balancer]
	isolated      atomic.Pointer[map[string]bool] // isolated data centres
	entry         atomic.Pointer[string]          // data centre whose balancers receive all callers' packets; empty for any
	loss          atomic.Int64                    // packets dropped per million
	dup           atomic.Int64                    // packets duplicated per million
	mu            sync.RWMutex
	balancers     []Balancer // ready or not
	callers       sync.Map   // inner netip.Addr of a caller -> outer *net.UDPAddr of its process
	sourceSockets sync.Map   // netip.Addr -> *net.UDPConn bound to that target's address
	toCallers     *net.UDPConn
	Sprayed       atomic.Uint64 // packets sent to balancers, duplicates included
	NoReady       atomic.Uint64 // packets dropped because no balancer that may get them was ready
}

// Main runs the fabric until ctx ends.
func Main(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("fabric", flag.ContinueOnError)
	ip := fs.String("ip", "127.0.9.1", "IP address to listen on; ports: 6081 for balancers, 6082 for callers, 6083 for targets")
	control := fs.String("control", "127.0.9.1:8080", "address of the control endpoint")
	interval := fs.Duration("ready-interval", 100*time.Millisecond, "interval between readiness checks")
	if err := fs.Parse(args); err != nil {
		return err
	}
	f := &Fabric{}
	f.ready.Store(&[]Balancer{})
	f.isolated.Store(&map[string]bool{})
	f.entry.Store(new(string))
	for port, run := range map[string]func(*net.UDPConn){"6081": f.fromBalancers, "6082": f.fromCallers, "6083": f.fromTargets} {
		ua, err := net.ResolveUDPAddr("udp", net.JoinHostPort(*ip, port))
		if err != nil {
			return errors.Wrap(err, "fabric: address")
		}
		c, err := net.ListenUDP("udp", ua)
		if err != nil {
			return errors.Wrapf(err, "fabric: listen on %s", ua)
		}
		_ = c.SetReadBuffer(4 << 20)
		if port == "6082" {
			f.toCallers = c
		}
		go func() { <-ctx.Done(); _ = c.Close() }()
		for range 2 {
			go run(c)
		}
	}
	go f.pollReadiness(ctx, *interval)
	srv := &http.Server{Addr: *control, Handler: f.controlHandler()}
	go func() { <-ctx.Done(); _ = srv.Close() }()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "fabric: control endpoint")
	}
	return nil
}

// receive calls f for each datagram that arrives at c, until c is closed.
func receive(c *net.UDPConn, f func(b []byte, from netip.AddrPort)) {
	b := make([]byte, 1<<16)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			f(b[:n], geneve.Unmap(from))
		}
	}
}

// parseInner decodes the segment in a Geneve datagram.
func parseInner(b []byte) (packet.Segment, error) {
	d, err := geneve.Parse(b)
	if err != nil {
		return packet.Segment{}, err
	}
	return packet.Parse(d.Inner)
}

func (f *Fabric) fromCallers(c *net.UDPConn) {
	receive(c, func(b []byte, from netip.AddrPort) {
		seg, err := parseInner(b)
		if err != nil {
			return
		}
		if _, ok := f.callers.Load(seg.Src.Addr()); !ok {
			f.callers.Store(seg.Src.Addr(), net.UDPAddrFromAddrPort(from))
		}
		f.spray(c, b, "")
	})
}

func (f *Fabric) fromTargets(c *net.UDPConn) {
	receive(c, func(b []byte, from netip.AddrPort) {
		if out := f.sourceSocket(from.Addr()); out != nil {
			f.spray(out, b, DataCenterOf(from.Addr(), *f.ready.Load()))
		}
	})
}

// DataCenterOf returns the data centre of an address. In the stand-ins' address
// plan, the second byte of an address identifies the data centre. It returns "" if no
// balancer in all has an address in the same data centre.
func DataCenterOf(a netip.Addr, all []Balancer) string {
	if !a.Is4() {
		return ""
	}
	for _, b := range all {
		if b.Data.Addr().Is4() && b.Data.Addr().As4()[1] == a.As4()[1] {
			return b.DataCenter
		}
	}
	return ""
}

func (f *Fabric) fromBalancers(c *net.UDPConn) {
	receive(c, func(b []byte, _ netip.AddrPort) {
		seg, err := parseInner(b)
		if err != nil {
			return
		}
		if a, ok := f.callers.Load(seg.Dst.Addr()); ok {
			_, _ = f.toCallers.WriteToUDP(b, a.(*net.UDPAddr))
		}
	})
}

// spray sends b to a random ready balancer. dc is the data centre of the sender,
// empty for callers, whose packets may go to any ready balancer. Packets of targets in
// an isolated data centre go only to that data centre's balancers, and packets of
// other targets never go there. If an entry data centre is set, callers' packets go to
// its balancers, and targets' packets to the balancers of the target's data centre.
func (f *Fabric) spray(c *net.UDPConn, b []byte, dc string) {
	if e := *f.entry.Load(); e != "" {
		f.sprayDataCenter(c, b, cmp.Or(dc, e))
		return
	}
	isolated := *f.isolated.Load()
	ready := *f.ready.Load()
	candidates := make([]Balancer, 0, 16)
	for _, r := range ready {
		if dc == "" || r.DataCenter == dc || !isolated[r.DataCenter] && !isolated[dc] {
			candidates = append(candidates, r)
		}
	}
	f.sprayOver(c, b, candidates)
}

// sprayDataCenter sends b to a random ready balancer of one data centre.
func (f *Fabric) sprayDataCenter(c *net.UDPConn, b []byte, dc string) {
	var candidates []Balancer
	for _, r := range *f.ready.Load() {
		if r.DataCenter == dc {
			candidates = append(candidates, r)
		}
	}
	f.sprayOver(c, b, candidates)
}

// sprayOver sends b to a random balancer of candidates. With the set probabilities it
// drops b, or sends it twice, each time to a random balancer.
func (f *Fabric) sprayOver(c *net.UDPConn, b []byte, candidates []Balancer) {
	if len(candidates) == 0 {
		f.NoReady.Add(1)
		return
	}
	n := 1
	switch x := rand.Int64N(1e6); {
	case x < f.loss.Load():
		n = 0
	case x < f.loss.Load()+f.dup.Load():
		n = 2
	}
	for range n {
		f.Sprayed.Add(1)
		to := candidates[rand.IntN(len(candidates))]
		_, _ = c.WriteToUDPAddrPort(b, to.Data)
	}
}

func (f *Fabric) pollReadiness(ctx context.Context, interval time.Duration) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f.updateReady(client)
		}
	}
}

func (f *Fabric) updateReady(client *http.Client) {
	f.mu.RLock()
	balancers := append([]Balancer(nil), f.balancers...)
	f.mu.RUnlock()
	ok := make([]bool, len(balancers))
	var wg sync.WaitGroup
	for i, b := range balancers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			resp, err := client.Get("http://" + b.Admin + "/readyz")
			if err != nil {
				return
			}
			_ = resp.Body.Close()
			ok[i] = resp.StatusCode == http.StatusOK
		}()
	}
	wg.Wait()
	ready := make([]Balancer, 0, len(balancers))
	for i, b := range balancers {
		if ok[i] {
			ready = append(ready, b)
		}
	}
	f.ready.Store(&ready)
}

// controlHandler serves the control endpoint: /balancers (replaces the list of balancers),
// /set (replaces the faults) and /stats.
func (f *Fabric) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /balancers", func(w http.ResponseWriter, r *http.Request) {
		var balancers []Balancer
		if err := json.NewDecoder(r.Body).Decode(&balancers); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.mu.Lock()
		f.balancers = balancers
		f.mu.Unlock()
	})
	mux.HandleFunc("POST /set", func(w http.ResponseWriter, r *http.Request) {
		var s struct {
			Cut   []string `json:"cut"`   // data centres to isolate
			Loss  int64    `json:"loss"`  // packets per million
			Dup   int64    `json:"dup"`   // packets per million
			Entry string   `json:"entry"` // see Fabric.entry
		}
		if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		isolated := map[string]bool{}
		for _, dc := range s.Cut {
			isolated[strings.TrimSpace(dc)] = true
		}
		f.isolated.Store(&isolated)
		f.entry.Store(&s.Entry)
		f.loss.Store(s.Loss)
		f.dup.Store(s.Dup)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{
			"ready": len(*f.ready.Load()), "sprayed": f.Sprayed.Load(), "noReady": f.NoReady.Load(),
		})
	})
	return mux
}
