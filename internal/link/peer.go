package link

import (
	"context"
	"slices"
)

// queueLength is the maximum number of messages that wait for one peer.
const queueLength = 32

// peer is the queue of messages to one member, with the connections to it. It exists while
// there is a connection to that member or one is being opened.
type peer struct {
	out     chan []byte
	dialing bool
	// conns are the open connections. Messages are sent on the first one, on which the peer
	// was heard last.
	conns       []*connection
	stopWriting context.CancelFunc // ends the sending on the first connection; nil without one
}

func newPeer() *peer { return &peer{out: make(chan []byte, queueLength)} }

// push queues b, or returns false if the queue is full.
func (p *peer) push(b []byte) bool {
	select {
	case p.out <- b:
		return true
	default:
		return false
	}
}

// next waits for a message to send, and returns false if ctx ends first. A message that
// arrives when ctx has already ended stays in the queue: it is for another connection.
func (p *peer) next(ctx context.Context) ([]byte, bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case b := <-p.out:
		if ctx.Err() != nil {
			p.push(b)
			return nil, false
		}
		return b, true
	}
}

// unused reports whether there is no connection and none is being opened.
func (p *peer) unused() bool { return len(p.conns) == 0 && !p.dialing }

// sendsOn reports whether messages are sent on c.
func (p *peer) sendsOn(c *connection) bool { return len(p.conns) > 0 && p.conns[0] == c }

// moveToFront makes c the first connection.
func (p *peer) moveToFront(c *connection) {
	p.remove(c)
	p.conns = slices.Insert(p.conns, 0, c)
}

func (p *peer) remove(c *connection) {
	p.conns = slices.DeleteFunc(p.conns, func(x *connection) bool { return x == c })
}
