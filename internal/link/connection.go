package link

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"rosedale.dev/rosedale/internal/stall"
	"rosedale.dev/rosedale/internal/wire"
)

const (
	// answerCheckInterval is the time between two checks whether the peer still answers.
	answerCheckInterval = 250 * time.Millisecond
	// maxUnansweredChecks is the number of checks in a row without a received packet after
	// which a connection with unanswered messages is closed. The time that they take must be
	// below that after which a member is marked dead. They are counted rather than timed, so
	// that a pause of this process does not count as a silence of the peer.
	maxUnansweredChecks = 4
)

// connection is an established QUIC connection to a peer.
type connection struct {
	quic *quic.Conn
	// receivedAtSend is the number of packets received before the last message was sent, to
	// detect a peer that does not answer it.
	receivedAtSend atomic.Uint64
}

// write sends one message. It can block while the connection is congested.
func (c *connection) write(b []byte) error {
	c.receivedAtSend.Store(c.received())
	if len(b) <= maxDatagram && c.quic.SendDatagram(b) == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.quic.Context(), sendTimeout)
	defer cancel()
	return c.writeStream(ctx, b)
}

// writeStream sends one message on its own stream.
func (c *connection) writeStream(ctx context.Context, b []byte) error {
	s, err := c.quic.OpenUniStreamSync(ctx)
	if err != nil {
		return errors.Wrap(err, "link: open stream")
	}
	if _, err := stall.NewWriter(s, s.SetWriteDeadline, sendTimeout).Write(b); err != nil {
		return errors.Wrap(err, "link: write")
	}
	return errors.Wrap(s.Close(), "link: close stream")
}

// read passes the received messages to deliver until the connection or ctx ends, and closes
// the connection. deliver is called by several goroutines.
func (c *connection) read(ctx context.Context, deliver func([]byte)) {
	defer c.close("closing")
	go c.readStreams(ctx, deliver)
	for {
		b, err := c.quic.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		deliver(b)
	}
}

// readStreams delivers the messages that arrive on streams.
func (c *connection) readStreams(ctx context.Context, deliver func([]byte)) {
	for {
		s, err := c.quic.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		go func() {
			b, err := io.ReadAll(io.LimitReader(stall.NewDeadlineReader(s, s.SetReadDeadline, sendTimeout), wire.MaxSize))
			if err == nil {
				deliver(b)
			}
		}()
	}
}

// watchAnswers returns true when the peer does not answer any more, or false when the
// connection has ended. A peer acknowledges each message, so that packets arrive from it
// soon after each. None do if its process was replaced and the close of this connection
// was lost: nobody reads it then, and without this check its messages would be lost until
// idleTimeout.
func (c *connection) watchAnswers() bool {
	t := time.NewTicker(answerCheckInterval)
	defer t.Stop()
	var before uint64
	for missed := 0; missed < maxUnansweredChecks; {
		select {
		case <-c.quic.Context().Done():
			return false
		case <-t.C:
		}
		received := c.received()
		if received == before && received == c.receivedAtSend.Load() {
			missed++
			continue
		}
		before, missed = received, 0
	}
	return true
}

// received returns the number of packets received on the connection.
func (c *connection) received() uint64 { return c.quic.ConnectionStats().PacketsReceived }

// close closes the connection and returns when the peer has been sent the close.
func (c *connection) close(reason string) { _ = c.quic.CloseWithError(0, reason) }
