package daemon

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/keys"
	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/internal/settings"
)

// testSettings returns settings of a balancer without peers, with ports on addr.
func testSettings(t *testing.T, addr string) settings.Settings {
	t.Helper()
	ip := netip.MustParseAddr(addr)
	s := settings.Default()
	s.Name, s.DataCenter = "vm-a", "a"
	s.Data = settings.Data{Listen: netip.AddrPortFrom(ip, 6081), Workers: 1}
	s.Fabric.Address = netip.AddrPortFrom(ip, 6082)
	s.Control.Listen = netip.AddrPortFrom(ip, 7100)
	s.Admin.Listen = netip.AddrPortFrom(ip, 7101)
	s.Catalogue.Folder = t.TempDir()
	s.Keys = testKeys(t, s.Name)
	return s
}

func testKeys(t *testing.T, name string) keys.Files {
	t.Helper()
	ca, err := keys.NewAuthority("test", time.Hour, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	member, err := keys.NewMember(ca, name, time.Hour, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	f := keys.Files{CA: filepath.Join(dir, "ca"), Cert: filepath.Join(dir, "crt"), Key: filepath.Join(dir, "key")}
	for path, data := range map[string][]byte{f.CA: ca.Cert, f.Cert: member.Cert, f.Key: member.Key} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// A planned stop must close the connections to other balancers before the process ends.
// Otherwise its peers send to connections that nobody reads, also when the next process
// runs. The control socket, which is closed last, shows it.
func TestStopWaitsForItsConnections(t *testing.T) {
	set := testSettings(t, "127.0.8.21")
	log, err := logging.New(io.Discard, "error", set.Name, set.DataCenter)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	for range 3 {
		ctx, stop := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, stop)
		if err := Run(ctx, set, log); err != nil {
			t.Fatal(err)
		}
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(set.Control.Listen))
		if err != nil {
			t.Fatal("the control socket is still open after the stop: ", err)
		}
		_ = c.Close()
	}
}
