package link

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/keys"
	"rosedale.dev/rosedale/internal/wire"
)

// reachTimeout is below the 2.25 s after which a member that does not answer is marked dead.
const reachTimeout = 2 * time.Second

// kill closes the socket of l, so that its connections end without a close that arrives.
func kill(t *testing.T, l *Link) {
	t.Helper()
	if err := l.transport.Conn.Close(); err != nil {
		t.Fatal(err)
	}
}

// ping sends a ping from one link to another.
func ping(from *Link, name, to string, addr netip.AddrPort) {
	from.Send(context.Background(), to, addr, &wire.Message{Kind: wire.Ping, From: name})
}

// received reports whether a message waits at l, and discards all that do.
func received(l *Link) bool {
	n := len(l.Messages())
	for range n {
		<-l.Messages()
	}
	return n > 0
}

// expectWithin calls f repeatedly until it returns true, at most for the limit.
func expectWithin(t *testing.T, limit time.Duration, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// pair is two links that know each other.
type pair struct {
	a, b         *Link
	fileB        keys.Files
	addrA, addrB netip.AddrPort
}

// newPair starts two links, between which a opens a connection.
func newPair(t *testing.T, addrA, addrB string) *pair {
	t.Helper()
	ca := newAuthority(t)
	p := &pair{fileB: memberFiles(t, ca, "vm-b"), addrA: netip.MustParseAddrPort(addrA), addrB: netip.MustParseAddrPort(addrB)}
	p.a = start(t, memberFiles(t, ca, "vm-a"), addrA)
	p.b = start(t, p.fileB, addrB)
	sendUntil(t, "a message of vm-a", func() { p.pingB() }, func() bool { return received(p.b) })
	sendUntil(t, "a message of vm-b", func() { p.pingA() }, func() bool { return received(p.a) })
	return p
}

func (p *pair) pingA() { ping(p.b, "vm-b", "vm-a", p.addrA) }
func (p *pair) pingB() { ping(p.a, "vm-a", "vm-b", p.addrB) }

// replaceB kills the process of vm-b and starts another one at its address.
func (p *pair) replaceB(t *testing.T) {
	t.Helper()
	kill(t, p.b)
	p.b = start(t, p.fileB, p.addrB.String())
}

// A balancer is replaced, and the close of its connections is lost. Its peers must answer
// the new process on the connection that it opens. In the earlier process's connection,
// which nobody reads, their answers would be lost until its idle timeout.
func TestNewProcessIsAnswered(t *testing.T) {
	p := newPair(t, "127.0.8.11:7100", "127.0.8.12:7100")
	p.replaceB(t)
	sendUntil(t, "a message of the new process", func() { p.pingA() }, func() bool { return received(p.a) })
	p.pingB()
	expectWithin(t, reachTimeout, "an answer to the new process", func() bool { return received(p.b) })
}

// A balancer is replaced, the close of its connections is lost, and the new process does
// not know its peers. Their heartbeats must reach it before they would mark it dead.
func TestUnansweredConnectionIsReplaced(t *testing.T) {
	p := newPair(t, "127.0.8.13:7100", "127.0.8.14:7100")
	p.replaceB(t)
	expectWithin(t, reachTimeout, "a message to the new process", func() bool {
		p.pingB()
		return received(p.b)
	})
}

// A balancer is killed, and a single message is sent to it soon after its last packet. The message
// has no answer, so that the connection must be closed, or the next message would be lost too.
func TestMessageSoonAfterTheLastPacketIsUnanswered(t *testing.T) {
	p := newPair(t, "127.0.8.19:7100", "127.0.8.20:7100")
	kill(t, p.b)
	time.Sleep(50 * time.Millisecond) // for packets on their way
	p.pingB()
	expectWithin(t, reachTimeout, "the end of the connection", func() bool { return p.a.Count.Unanswered.Load() > 0 })
}

// A planned stop must close the connections in a way that arrives, so that the peers'
// next messages open new ones. Several pairs, as the close races with the socket's.
func TestStopClosesConnections(t *testing.T) {
	for range 10 {
		ca := newAuthority(t)
		a := start(t, memberFiles(t, ca, "vm-a"), "127.0.8.15:0")
		files := memberFiles(t, ca, "vm-b")
		b, err := New(netip.MustParseAddrPort("127.0.8.16:7100"), files, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = b.Run(ctx); close(done) }()
		sendUntil(t, "a message of vm-a", func() {
			ping(a, "vm-a", "vm-b", netip.MustParseAddrPort("127.0.8.16:7100"))
		}, func() bool { return received(b) })
		stop()
		<-done
		expectWithin(t, 200*time.Millisecond, "the end of the connection at the peer", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return len(a.peers) == 0
		})
	}
}

// Two balancers that start together open a connection to each other at the same time. Both
// must get all messages, and neither connection may end the other.
func TestConnectionsInBothDirections(t *testing.T) {
	ca := newAuthority(t)
	addrA, addrB := netip.MustParseAddrPort("127.0.8.17:7100"), netip.MustParseAddrPort("127.0.8.18:7100")
	a := start(t, memberFiles(t, ca, "vm-a"), addrA.String())
	b := start(t, memberFiles(t, ca, "vm-b"), addrB.String())
	const rounds = 100
	gotA, gotB := 0, 0
	for range rounds {
		ping(a, "vm-a", "vm-b", addrB)
		ping(b, "vm-b", "vm-a", addrA)
		time.Sleep(10 * time.Millisecond)
	}
	expectWithin(t, reachTimeout, "all messages", func() bool {
		for len(a.Messages()) > 0 {
			<-a.Messages()
			gotA++
		}
		for len(b.Messages()) > 0 {
			<-b.Messages()
			gotB++
		}
		return gotA == rounds && gotB == rounds
	})
	if d := a.Count.Dials.Load() + b.Count.Dials.Load(); d > 2 {
		t.Errorf("%d connections were opened, want at most 2", d)
	}
}

// Messages to a peer move to another connection while one arrives. The sender of the earlier
// connection may wake up to both, and must leave the message to the other one.
func TestMessageStaysForTheNextConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		p := newPeer()
		p.push([]byte("ping"))
		if _, ok := p.next(ctx); ok || len(p.out) != 1 {
			t.Fatal("the message was taken for the earlier connection")
		}
	}
}
