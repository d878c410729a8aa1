package link

import (
	"context"
	"slices"

	"go.uber.org/zap"
)

// addConnection adds a connection to a peer and sends messages on it from now on: a peer
// with two connections may have opened the second one as a new process, which does not
// receive what is sent on the first one.
func (l *Link) addConnection(name string, c *connection, dialed bool) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p == nil {
		p = newPeer()
		l.peers[name] = p
	}
	p.dialing = p.dialing && !dialed
	l.sendOn(name, p, c)
	return p
}

// sendOn sends the peer's messages on c from now on. The lock must be held.
func (l *Link) sendOn(name string, p *peer, c *connection) {
	if p.sendsOn(c) {
		return
	}
	if len(p.conns) > 0 {
		l.Count.Replaced.Add(1)
		l.log.Info("messages to peer are sent on another connection", zap.String("peer", name))
	}
	p.moveToFront(c)
	l.startWriting(p)
}

// startWriting starts to send the peer's messages on its first connection and ends the
// sending on an earlier one. The lock must be held.
func (l *Link) startWriting(p *peer) {
	if p.stopWriting != nil {
		p.stopWriting()
		p.stopWriting = nil
	}
	if len(p.conns) == 0 {
		return
	}
	c := p.conns[0]
	var ctx context.Context
	ctx, p.stopWriting = context.WithCancel(c.quic.Context())
	go l.writeMessages(ctx, c, p)
}

// removeConnection removes a connection that has ended. Messages that wait are sent on
// another connection to the peer, if there is one, and discarded otherwise.
func (l *Link) removeConnection(name string, p *peer, c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := p.sendsOn(c)
	p.remove(c)
	if first {
		l.startWriting(p)
	}
	l.removeUnused(name, p)
}

// removeUnused removes a peer without a connection. The lock must be held.
func (l *Link) removeUnused(name string, p *peer) {
	if p.unused() && l.peers[name] == p {
		delete(l.peers, name)
	}
}

// heardOn sends messages to a peer on the connection on which the peer was heard last. Two
// processes of one member that follow each other can have connections at the same time,
// and they may be accepted in another order than they were opened.
func (l *Link) heardOn(name string, p *peer, c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Contains(p.conns, c) {
		l.sendOn(name, p, c)
	}
}
