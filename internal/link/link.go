// Package link transports the control messages of rosedaled over QUIC with mutual
// TLS. Small messages are sent as datagrams, large ones on streams.
package link

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"rosedale.dev/rosedale/internal/keys"
	"rosedale.dev/rosedale/internal/wire"
)

const (
	idleTimeout = 45 * time.Second // after which a connection without packets is closed
	dialTimeout = 2 * time.Second
	sendTimeout = 5 * time.Second // for sending or receiving a message on a stream
	// maxDatagram is the maximum size in bytes of a message sent as a datagram. It fits
	// one QUIC packet on any path that carries the packets of the fabric.
	maxDatagram = 1000
	inboxLength = 1024 // received messages that wait for the reader of Messages
	// maxConnectionAge is the age, plus up to a quarter at random, at which connections
	// are closed, so that the next handshake uses the current keys.
	maxConnectionAge = time.Hour
)

// Counts are totals since the start of the process. Dials and DialErrors count attempts to
// open a connection and failed ones, Refused the peers without a valid certificate of the
// expected name. Messages counts the encoded messages to send, SendErrors those that could
// not be encoded, queued or sent, Undecodable received ones that cannot be decoded or name
// another sender than the certificate, and Overflow those that did not fit the queue.
// BytesIn and BytesOut include 28 bytes of UDP and IP headers for each packet.
type Counts struct {
	Dials, DialErrors, Refused, SendErrors, Undecodable, Overflow atomic.Uint64
	Renewed                                                       atomic.Uint64 // connections closed at maxConnectionAge
	BytesIn, BytesOut, Messages                                   atomic.Uint64
	// Sent is the number of encoded bytes of the messages of each kind.
	Sent [wire.Kinds]atomic.Uint64
}

// Incoming is a received message with the verified name of its sender.
type Incoming struct {
	From string
	Msg  *wire.Message
}

// Link holds a VM's connections to other balancers.
type Link struct {
	Count Counts

	maxAge    time.Duration // of a connection; see maxConnectionAge
	transport *quic.Transport
	tls       *tls.Config
	quic      *quic.Config
	incoming  chan Incoming
	mu        sync.Mutex
	peers     map[string]*peer
}

// New opens the UDP socket at addr and loads the certificates in files.
func New(addr netip.AddrPort, files keys.Files) (*Link, error) {
	l := &Link{maxAge: maxConnectionAge}
	conf, err := files.Load(func() { l.Count.Refused.Add(1) })
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "link: listen on %s", addr)
	}
	l.tls = conf
	l.quic = &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		EnableDatagrams:                true,
		HandshakeIdleTimeout:           dialTimeout,
		InitialStreamReceiveWindow:     64 << 10,
		InitialConnectionReceiveWindow: 64 << 10,
		DisablePathMTUDiscovery:        true,
	}
	l.incoming = make(chan Incoming, inboxLength)
	l.peers = map[string]*peer{}
	l.transport = &quic.Transport{Conn: &countingConn{PacketConn: c, count: &l.Count}}
	return l, nil
}

// Messages returns the channel of incoming messages.
func (l *Link) Messages() <-chan Incoming { return l.incoming }

// Run accepts connections until ctx ends, and then closes the socket.
func (l *Link) Run(ctx context.Context) error {
	ln, err := l.transport.Listen(l.tls, l.quic)
	if err != nil {
		return errors.Wrap(err, "link: listen")
	}
	defer func() {
		_ = l.transport.Close()
		_ = l.transport.Conn.Close() // not closed by the transport
	}()
	for {
		c, err := ln.Accept(ctx)
		if err != nil {
			return nil
		}
		go l.accept(ctx, c)
	}
}

// Send sends m to the member name at addr, and opens a connection if there is none. It
// never blocks: messages wait in a short queue while a connection is being opened or is
// slow. Messages that do not fit the queue are counted and dropped. Later heartbeats
// repair the state that these carried, apart from handovers: without one, a new home asks,
// probes, or waits for the caller's next opening packet.
func (l *Link) Send(ctx context.Context, name string, addr netip.AddrPort, m *wire.Message) {
	b, err := wire.Encode(m)
	if err != nil {
		l.Count.SendErrors.Add(1)
		return
	}
	l.Count.Messages.Add(1)
	l.Count.Sent[m.Kind].Add(uint64(len(b)))
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p == nil {
		p = newPeer()
		l.peers[name] = p
		go l.dial(ctx, name, addr, p)
	}
	if !p.push(b) {
		l.Count.SendErrors.Add(1)
	}
}

func (l *Link) dial(ctx context.Context, name string, addr netip.AddrPort, p *peer) {
	l.Count.Dials.Add(1)
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conf := l.tls.Clone()
	conf.ServerName = name
	c, err := l.transport.Dial(dctx, net.UDPAddrFromAddrPort(addr), conf, l.quic)
	if err != nil {
		l.Count.DialErrors.Add(1)
		l.removePeer(name, p)
		return
	}
	if keys.Name(c.ConnectionState().TLS) != name {
		l.Count.Refused.Add(1)
		_ = c.CloseWithError(1, "another name than expected")
		l.removePeer(name, p)
		return
	}
	go l.writeMessages(c, p)
	l.readMessages(ctx, c, name)
	l.removePeer(name, p)
}

// accept handles a connection that a peer opened. It is also used for sending if there is
// no other connection to that peer.
func (l *Link) accept(ctx context.Context, c *quic.Conn) {
	name := keys.Name(c.ConnectionState().TLS)
	if name == "" {
		l.Count.Refused.Add(1)
		_ = c.CloseWithError(1, "no name")
		return
	}
	l.mu.Lock()
	p := l.peers[name]
	added := p == nil
	if added {
		p = newPeer()
		l.peers[name] = p
	}
	l.mu.Unlock()
	if added {
		go l.writeMessages(c, p)
	}
	l.readMessages(ctx, c, name)
	if added {
		l.removePeer(name, p)
	}
}

func (l *Link) removePeer(name string, p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[name] == p {
		delete(l.peers, name)
	}
}

// writeMessages sends a peer's messages in their order until the connection ends. Sending
// a datagram can block, which delays only this peer.
//
// It closes the connection at maxAge. Without this, connections made with a stolen key
// would stay open after the key was replaced everywhere, because heartbeats keep them
// alive. Later heartbeats repair the state of messages that are lost by closing.
func (l *Link) writeMessages(c *quic.Conn, p *peer) {
	expired := time.NewTimer(l.maxAge + rand.N(l.maxAge/4))
	defer expired.Stop()
	for {
		select {
		case <-c.Context().Done():
			return
		case <-expired.C:
			l.Count.Renewed.Add(1)
			_ = c.CloseWithError(0, "renewed")
			return
		case b := <-p.out:
			if len(b) <= maxDatagram && c.SendDatagram(b) == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(c.Context(), sendTimeout)
			if err := sendStream(ctx, c, b); err != nil {
				l.Count.SendErrors.Add(1)
			}
			cancel()
		}
	}
}

// sendStream sends one message on its own stream.
func sendStream(ctx context.Context, c *quic.Conn, b []byte) error {
	s, err := c.OpenUniStreamSync(ctx)
	if err != nil {
		return errors.Wrap(err, "link: open stream")
	}
	if d, ok := ctx.Deadline(); ok {
		_ = s.SetWriteDeadline(d)
	}
	if _, err := s.Write(b); err != nil {
		return errors.Wrap(err, "link: write")
	}
	return errors.Wrap(s.Close(), "link: close stream")
}

// readMessages delivers the messages of a connection until it ends.
func (l *Link) readMessages(ctx context.Context, c *quic.Conn, name string) {
	stop := context.AfterFunc(ctx, func() { _ = c.CloseWithError(0, "closing") })
	defer stop()
	defer func() { _ = c.CloseWithError(0, "") }()
	go l.readStreams(ctx, c, name)
	for {
		b, err := c.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		l.deliver(name, b)
	}
}

// readStreams delivers the messages that arrive on streams.
func (l *Link) readStreams(ctx context.Context, c *quic.Conn, name string) {
	for {
		s, err := c.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		go func() {
			_ = s.SetReadDeadline(time.Now().Add(sendTimeout))
			b, err := io.ReadAll(io.LimitReader(s, wire.MaxSize))
			if err == nil {
				l.deliver(name, b)
			}
		}()
	}
}

// deliver queues a message for Messages. Messages under another name than that of the
// peer's certificate are counted and dropped, as are those that do not fit the queue.
func (l *Link) deliver(name string, b []byte) {
	m, err := wire.Decode(b)
	if err != nil || m.From != name {
		l.Count.Undecodable.Add(1)
		return
	}
	select {
	case l.incoming <- Incoming{name, m}:
	default:
		l.Count.Overflow.Add(1)
	}
}
