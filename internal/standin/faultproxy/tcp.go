package faultproxy

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Gate is a TCP proxy from a data centre to the platform. While the data centre is
// cut off from the platform, open connections are closed, and new ones are closed as
// soon as they are accepted.
type Gate struct {
	From   string         `json:"from"` // data centre whose processes connect to Listen
	Listen netip.AddrPort `json:"listen"`
	To     netip.AddrPort `json:"to"` // address of the platform's store
}

// gatePollInterval is how often a connection checks whether its gate is cut.
const gatePollInterval = 20 * time.Millisecond

// listenGate accepts a gate's connections until ctx ends.
func (p *proxy) listenGate(ctx context.Context, g Gate) error {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(g.Listen))
	if err != nil {
		return errors.Wrapf(err, "faultproxy: listen on %s", g.Listen)
	}
	go func() { <-ctx.Done(); _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.AcceptTCP()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go p.forwardConn(c, g)
			}
		}
	}()
	return nil
}

// isCut reports whether a gate's data centre is cut off from the platform.
func (p *proxy) isCut(g Gate) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, dc := range p.faults.Platform {
		if dc == g.From {
			return true
		}
	}
	return false
}

// forwardConn forwards one connection until either end closes it or the gate is cut.
func (p *proxy) forwardConn(in *net.TCPConn, g Gate) {
	defer func() { _ = in.Close() }()
	if p.isCut(g) {
		return
	}
	out, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(g.To))
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{})
	var once sync.Once
	for _, pair := range [][2]*net.TCPConn{{in, out}, {out, in}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			once.Do(func() { close(done) })
		}()
	}
	t := time.NewTicker(gatePollInterval)
	defer t.Stop()
	for !p.isCut(g) {
		select {
		case <-done:
			return
		case <-t.C:
		}
	}
}
