// Package link transports the control messages of rosedaled over QUIC with mutual
// TLS. Small messages are sent as datagrams, large ones on streams.
package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/keys"
	"rosedale.dev/rosedale/internal/wire"
)

const (
	idleTimeout = 45 * time.Second // after which a connection without packets is closed
	dialTimeout = 2 * time.Second
	sendTimeout = 5 * time.Second // without progress of a message on a stream
	// maxDatagram is the maximum size in bytes of a message sent as a datagram. It fits
	// one QUIC packet on any path that carries the packets of the fabric.
	maxDatagram = 1000
	inboxLength = 1024 // received messages that wait for the reader of Messages
	// maxConnectionAge is the age, plus up to a quarter at random, at which connections
	// are closed, so that the next handshake uses the current keys. Without this,
	// connections made with a stolen key would stay open after the key was replaced
	// everywhere, because heartbeats keep them alive. Later heartbeats repair the state of
	// messages that are lost by closing.
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
	Unanswered                                                    atomic.Uint64 // connections closed because the peer answered no message
	Replaced                                                      atomic.Uint64 // changes to another connection of the same peer while the earlier one is open
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

	log       *zap.Logger
	maxAge    time.Duration // of a connection; see maxConnectionAge
	transport *quic.Transport
	tls       *tls.Config
	quic      *quic.Config
	incoming  chan Incoming
	running   sync.WaitGroup // goroutines that open or serve a connection
	ctx       context.Context
	stop      context.CancelFunc // ends ctx and with it all connections
	mu        sync.Mutex         // guards what follows
	closed    bool               // no more connections are opened
	peers     map[string]*peer
}

// New opens the UDP socket at addr and loads the certificates in files.
func New(addr netip.AddrPort, files keys.Files, log *zap.Logger) (*Link, error) {
	l := &Link{log: log, maxAge: maxConnectionAge, peers: map[string]*peer{}}
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
	l.ctx, l.stop = context.WithCancel(context.Background())
	l.transport = &quic.Transport{Conn: &countingConn{PacketConn: c, count: &l.Count}}
	return l, nil
}

// Messages returns the channel of incoming messages.
func (l *Link) Messages() <-chan Incoming { return l.incoming }

// Run accepts connections until ctx ends, and then closes all connections and the socket.
// When it returns, the peers have been sent the close of each connection.
func (l *Link) Run(ctx context.Context) error {
	ln, err := l.transport.Listen(l.tls, l.quic)
	if err != nil {
		return errors.Wrap(err, "link: listen")
	}
	defer l.close()
	for {
		c, err := ln.Accept(ctx)
		if err != nil {
			return nil
		}
		l.running.Go(func() { l.accept(c) })
	}
}

// close ends all connections and closes the socket.
func (l *Link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.stop()
	l.running.Wait()
	_ = l.transport.Close()
	_ = l.transport.Conn.Close() // not closed by the transport
}

// Send sends m to the member name at addr, and opens a connection if there is none. It
// never blocks: messages wait in a short queue while a connection is being opened or is
// slow. Messages that do not fit the queue are counted and dropped. Later heartbeats
// repair the state that these carried, apart from handovers: without one, a new home asks,
// probes, or waits for the caller's next opening packet. A connection that Send opens ends
// with ctx.
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
	if l.closed {
		l.Count.SendErrors.Add(1)
		return
	}
	p := l.peers[name]
	if p == nil {
		p = newPeer()
		p.dialing = true
		l.peers[name] = p
		l.running.Go(func() { l.dial(ctx, name, addr, p) })
	}
	if !p.push(b) {
		l.Count.SendErrors.Add(1)
	}
}
