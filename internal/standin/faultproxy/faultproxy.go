// Package faultproxy is a proxy between processes that on request drops, delays,
// duplicates and reorders datagrams, and cuts links, including TCP connections to
// the platform. Each link has its own listening address. The proxy's outgoing
// sockets are bound to the sender's address, so that the receiver sees the same
// source address as without the proxy.
package faultproxy

import (
	"context"
	"encoding/json"
	"flag"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/geneve"
)

// Link is one direction between two processes. Datagrams that arrive at Listen are
// sent to To from the IP address Source. Replies to that address go back to the sender.
type Link struct {
	From   string         `json:"from"` // data centre of the sender
	Dest   string         `json:"dest"` // data centre of the receiver
	Listen netip.AddrPort `json:"listen"`
	To     netip.AddrPort `json:"to"`
	Source netip.Addr     `json:"source"`
}

// Plan lists the links and gates of a proxy process.
type Plan struct {
	Links []Link `json:"links"`
	Gates []Gate `json:"gates"`
}

// Faults holds the faults that apply to all links. Probabilities are from 0 to 1.
type Faults struct {
	Loss         float64  `json:"loss"`    // probability that a datagram is dropped
	Dup          float64  `json:"dup"`     // probability that a datagram is sent twice
	Reorder      float64  `json:"reorder"` // probability of a further delay of ReorderDelay
	Delay        int      `json:"delayMs"` // delay of each datagram, in ms
	ReorderDelay int      `json:"holdMs"`  // further delay of reordered datagrams, in ms
	Cut          []string `json:"cut"`     // data centres that are isolated from all others
	// Platform lists the data centres that are cut off from the platform.
	Platform []string `json:"platform"`
}

// proxy is the state of a proxy process.
type proxy struct {
	mu       sync.RWMutex
	faults   Faults
	cut      map[string]bool // isolated data centres, from faults.Cut
	outgoing sync.Map        // sender and link -> *net.UDPConn
}

// Main forwards until ctx ends.
func Main(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("faultproxy", flag.ContinueOnError)
	file := fs.String("links", "", "JSON file with the links and gates")
	control := fs.String("control", "127.0.9.4:8080", "address of the control endpoint")
	if err := fs.Parse(args); err != nil {
		return err
	}
	b, err := os.ReadFile(*file)
	if err != nil {
		return errors.Wrap(err, "faultproxy: links")
	}
	var plan Plan
	if err := json.Unmarshal(b, &plan); err != nil {
		return errors.Wrap(err, "faultproxy: links")
	}
	p := &proxy{cut: map[string]bool{}}
	for _, g := range plan.Gates {
		if err := p.listenGate(ctx, g); err != nil {
			return err
		}
	}
	for _, l := range plan.Links {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.Listen))
		if err != nil {
			return errors.Wrapf(err, "faultproxy: listen on %s", l.Listen)
		}
		go func() { <-ctx.Done(); _ = c.Close() }()
		go p.forward(c, l)
	}
	srv := &http.Server{Addr: *control, Handler: p}
	go func() { <-ctx.Done(); _ = srv.Close() }()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "faultproxy: control endpoint")
	}
	return nil
}

// ServeHTTP replaces the faults by those in the request's body.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	cut := map[string]bool{}
	for _, dc := range f.Cut {
		cut[dc] = true
	}
	p.mu.Lock()
	p.faults, p.cut = f, cut
	p.mu.Unlock()
}

// forward forwards the datagrams of a link until its socket is closed.
func (p *proxy) forward(in *net.UDPConn, l Link) {
	b := make([]byte, 1<<16)
	for {
		n, from, err := in.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		out := p.outgoingSocket(in, geneve.Unmap(from), l)
		if out != nil {
			p.applyFaults(l, b[:n], func(b []byte) { _, _ = out.Write(b) })
		}
	}
}

// applyFaults sends one datagram as the present faults require: never, once or twice,
// possibly after a delay. Delayed datagrams are sent from a copy of b.
func (p *proxy) applyFaults(l Link, b []byte, send func([]byte)) {
	p.mu.RLock()
	f := p.faults
	cut := l.From != l.Dest && (p.cut[l.From] || p.cut[l.Dest])
	p.mu.RUnlock()
	if cut || rand.Float64() < f.Loss {
		return
	}
	n := 1
	if rand.Float64() < f.Dup {
		n = 2
	}
	delay := time.Duration(f.Delay) * time.Millisecond
	if rand.Float64() < f.Reorder {
		delay += time.Duration(f.ReorderDelay) * time.Millisecond
	}
	for range n {
		if delay == 0 {
			send(b)
			continue
		}
		c := append([]byte(nil), b...)
		time.AfterFunc(delay, func() { send(c) })
	}
}

// outgoingSocket returns the socket on which a sender's datagrams leave, or nil if it
// cannot be opened. Replies that arrive on it go back to the sender with the same
// faults applied.
func (p *proxy) outgoingSocket(in *net.UDPConn, from netip.AddrPort, l Link) *net.UDPConn {
	key := struct {
		from netip.AddrPort
		to   netip.AddrPort
	}{from, l.Listen}
	if c, ok := p.outgoing.Load(key); ok {
		return c.(*net.UDPConn)
	}
	c, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(l.Source, 0)), net.UDPAddrFromAddrPort(l.To))
	if err != nil {
		return nil
	}
	p.outgoing.Store(key, c)
	go func() {
		b := make([]byte, 1<<16)
		for {
			n, err := c.Read(b)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue
			}
			p.applyFaults(l, b[:n], func(b []byte) { _, _ = in.WriteToUDPAddrPort(b, from) })
		}
	}()
	return c
}
