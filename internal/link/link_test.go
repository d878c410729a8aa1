package link

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/keys"
	"rosedale.dev/rosedale/internal/wire"
)

const testTimeout = 10 * time.Second

func memberFiles(t *testing.T, ca keys.Pair, name string) keys.Files {
	t.Helper()
	dir := t.TempDir()
	f := keys.Files{CA: filepath.Join(dir, "ca"), Cert: filepath.Join(dir, "crt"), Key: filepath.Join(dir, "key")}
	write(t, f.CA, ca.Cert)
	certify(t, f, ca, name)
	return f
}

// certify writes a key and a certificate of the VM name, signed by ca.
func certify(t *testing.T, f keys.Files, ca keys.Pair, name string) {
	t.Helper()
	p, err := keys.NewMember(ca, name, time.Hour, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	write(t, f.Key, p.Key)
	write(t, f.Cert, p.Cert)
}

func write(t *testing.T, path string, b []byte) {
	t.Helper()
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

func newAuthority(t *testing.T) keys.Pair {
	t.Helper()
	ca, err := keys.NewAuthority("test", time.Hour, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

func start(t *testing.T, f keys.Files, addr string) *Link {
	t.Helper()
	return startWithAge(t, f, addr, maxConnectionAge)
}

func startWithAge(t *testing.T, f keys.Files, addr string, maxAge time.Duration) *Link {
	t.Helper()
	l, err := New(netip.MustParseAddrPort(addr), f, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	l.maxAge = maxAge
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = l.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

// sendUntil calls send repeatedly until f returns true, as single messages may be lost by
// design.
func sendUntil(t *testing.T, what string, send func(), f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		send()
		if f() {
			return
		}
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: ", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Small messages, sent as datagrams, and large ones, sent on streams, arrive with the
// verified name of the sender.
func TestMessagesArrive(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, memberFiles(t, ca, "vm-a"), "127.0.8.1:7100")
	b := start(t, memberFiles(t, ca, "vm-b"), "127.0.8.2:7100")
	for _, size := range []int{10, 300_000} {
		m := &wire.Message{Kind: wire.Push, From: "vm-a", Versions: []catalogue.Version{{Name: "x", Text: make([]byte, size)}}}
		sendUntil(t, "a message", func() { a.Send(context.Background(), "vm-b", netip.MustParseAddrPort("127.0.8.2:7100"), m) }, func() bool {
			select {
			case in := <-b.Messages():
				return in.From == "vm-a" && len(in.Msg.Versions) == 1 && len(in.Msg.Versions[0].Text) == size
			default:
				return false
			}
		})
	}
	if b.Count.BytesIn.Load() < 300_000 {
		t.Errorf("%d bytes were counted, want at least 300000", b.Count.BytesIn.Load())
	}
}

// A connection with a certificate of another authority is refused and counted, and none
// of its messages is delivered.
func TestPeerOfAnotherAuthorityIsRefused(t *testing.T) {
	untrusted := start(t, memberFiles(t, newAuthority(t), "vm-a"), "127.0.8.3:7100")
	b := start(t, memberFiles(t, newAuthority(t), "vm-b"), "127.0.8.4:7100")
	to := netip.MustParseAddrPort("127.0.8.4:7100")
	sendUntil(t, "a refused connection", func() {
		untrusted.Send(context.Background(), "vm-b", to, &wire.Message{Kind: wire.Ping, From: "vm-a"})
	}, func() bool { return b.Count.Refused.Load()+untrusted.Count.Refused.Load() > 0 })
	if len(b.Messages()) > 0 {
		t.Fatal("a message of a refused peer was delivered")
	}
}

// A message whose sender name differs from the name in the peer's certificate is dropped.
func TestMessageUnderAnotherNameIsDropped(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, memberFiles(t, ca, "vm-a"), "127.0.8.5:7100")
	b := start(t, memberFiles(t, ca, "vm-b"), "127.0.8.6:7100")
	to := netip.MustParseAddrPort("127.0.8.6:7100")
	sendUntil(t, "a dropped message", func() {
		a.Send(context.Background(), "vm-b", to, &wire.Message{Kind: wire.Ping, From: "vm-c"})
	}, func() bool { return b.Count.Undecodable.Load() > 0 })
	if len(b.Messages()) > 0 {
		t.Fatal("the message was delivered")
	}
}
