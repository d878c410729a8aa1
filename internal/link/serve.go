package link

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/keys"
	"rosedale.dev/rosedale/internal/wire"
)

// accept serves a connection that a peer opened.
func (l *Link) accept(q *quic.Conn) {
	name := keys.Name(q.ConnectionState().TLS)
	if name == "" {
		l.Count.Refused.Add(1)
		_ = q.CloseWithError(1, "no name")
		return
	}
	l.serve(l.ctx, name, q, false)
}

// serve sends and receives messages on a connection until it or ctx ends, or its age is
// maxAge. dialed says that this process opened it.
func (l *Link) serve(ctx context.Context, name string, q *quic.Conn, dialed bool) {
	c := &connection{quic: q}
	p := l.addConnection(name, c, dialed)
	l.log.Info("connection to peer opened", zap.String("peer", name), zap.Bool("dialed", dialed))
	age := time.AfterFunc(l.maxAge+rand.N(l.maxAge/4), func() {
		l.Count.Renewed.Add(1)
		c.close("renewed")
	})
	defer age.Stop()
	go l.closeUnanswered(name, c)
	c.read(ctx, func(b []byte) { l.deliver(name, p, c, b) })
	l.removeConnection(name, p, c)
	l.log.Info("connection to peer ended", zap.String("peer", name), zap.Error(context.Cause(q.Context())))
}

// closeUnanswered closes a connection when the peer does not answer any more.
func (l *Link) closeUnanswered(name string, c *connection) {
	if !c.watchAnswers() {
		return
	}
	l.Count.Unanswered.Add(1)
	l.log.Warn("peer does not answer on its connection", zap.String("peer", name))
	c.close("unanswered")
}

// writeMessages sends a peer's messages on a connection in their order until ctx ends.
// Sending a datagram can block, which delays only this connection.
func (l *Link) writeMessages(ctx context.Context, c *connection, p *peer) {
	for {
		b, ok := p.next(ctx)
		if !ok {
			return
		}
		if err := c.write(b); err != nil {
			l.Count.SendErrors.Add(1)
		}
	}
}

// deliver queues a message for Messages, and answers the peer on the connection on which
// it arrived. Messages under another name than that of the peer's certificate are counted
// and dropped, as are those that do not fit the queue.
func (l *Link) deliver(name string, p *peer, c *connection, b []byte) {
	m, err := wire.Decode(b)
	if err != nil || m.From != name {
		l.Count.Undecodable.Add(1)
		return
	}
	l.heardOn(name, p, c)
	select {
	case l.incoming <- Incoming{name, m}:
	default:
		l.Count.Overflow.Add(1)
	}
}
