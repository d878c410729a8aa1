package link

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/keys"
)

// dial opens a connection to a peer and serves it until it ends.
func (l *Link) dial(ctx context.Context, name string, addr netip.AddrPort, p *peer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	l.Count.Dials.Add(1)
	q, err := l.handshake(ctx, name, addr)
	if err != nil {
		l.log.Info("connection to peer failed", zap.String("peer", name), zap.Error(err))
		l.dialFailed(name, p)
		return
	}
	l.serve(ctx, name, q, true)
}

// handshake opens a connection to addr and checks that the peer has the given name.
func (l *Link) handshake(ctx context.Context, name string, addr netip.AddrPort) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conf := l.tls.Clone()
	conf.ServerName = name
	q, err := l.transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), conf, l.quic)
	if err != nil {
		l.Count.DialErrors.Add(1)
		return nil, errors.Wrapf(err, "link: connect to %s", addr)
	}
	if keys.Name(q.ConnectionState().TLS) != name {
		l.Count.Refused.Add(1)
		_ = q.CloseWithError(1, "another name than expected")
		return nil, errors.Errorf("link: the peer at %s has another name", addr)
	}
	return q, nil
}

// dialFailed discards the messages that wait for a peer, unless it has opened a connection
// itself meanwhile.
func (l *Link) dialFailed(name string, p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.dialing = false
	l.removeUnused(name, p)
}
