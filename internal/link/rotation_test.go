package link

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/wire"
)

// An operator replaces a deployment's certificate authority, in the documented steps,
// while balancers exchange messages. They must still do so after each step. At the end,
// certificates of the old authority must be refused, and connections that were opened
// with them must have been closed.
func TestAuthorityIsReplaced(t *testing.T) {
	const age = 50 * time.Millisecond
	oldCA, newCA := newAuthority(t), newAuthority(t)
	fa, fb := memberFiles(t, oldCA, "vm-a"), memberFiles(t, oldCA, "vm-b")
	addr := netip.MustParseAddrPort("127.0.8.8:7100")
	a := startWithAge(t, fa, "127.0.8.7:7100", age)
	b := startWithAge(t, fb, addr.String(), age)
	ping := func(l *Link) {
		l.Send(context.Background(), "vm-b", addr, &wire.Message{Kind: wire.Ping, From: "vm-a"})
	}
	exchange := func(step string) {
		t.Helper()
		renewed := a.Count.Renewed.Load()
		received := 0
		sendUntil(t, step, func() { ping(a) }, func() bool {
			for len(b.Messages()) > 0 {
				<-b.Messages()
				received++
			}
			return received > 0 && a.Count.Renewed.Load() > renewed+1
		})
	}
	exchange("messages under the old authority")
	for _, ca := range []string{fa.CA, fb.CA} {
		write(t, ca, append(append([]byte(nil), oldCA.Cert...), newCA.Cert...))
	}
	exchange("messages while both authorities are trusted")
	certify(t, fa, newCA, "vm-a")
	exchange("messages between an old and a new certificate")
	certify(t, fb, newCA, "vm-b")
	for _, ca := range []string{fa.CA, fb.CA} {
		write(t, ca, newCA.Cert)
	}
	exchange("messages under the new authority")
	untrusted := startWithAge(t, memberFiles(t, oldCA, "vm-a"), "127.0.8.9:7100", age)
	refused := b.Count.Refused.Load()
	sendUntil(t, "a refused connection", func() { ping(untrusted) }, func() bool {
		return b.Count.Refused.Load()+untrusted.Count.Refused.Load() > refused
	})
}
