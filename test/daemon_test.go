package test

import (
	"math/rand/v2"
	"net"
	"path/filepath"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/testbed"
)

// waitLimit is the time after which eventually fails.
const waitLimit = 10 * time.Second

// eventually waits until f returns true and fails the test after waitLimit. It names the
// awaited condition by what.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !f(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in time: ", what)
		}
	}
}

// One VM runs with a folder of entries, without platform and peers. Random bytes
// on its data port, as from a port scan or a misconfigured tunnel, have to be
// counted by reason and must not end the daemon.
func TestSingleVMAndGarbage(t *testing.T) {
	root := testbed.Root()
	bed, err := testbed.New(testbed.Config{Root: root, Examples: filepath.Join(root, "examples", "kavango"), Single: true})
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Stop()
	x := bed.Balancers[0]
	st, err := bed.Status(x)
	if err != nil || len(st.Catalogue.Versions) != 2 {
		t.Fatalf("%+v %v", st, err)
	}
	c, err := net.Dial("udp", net.JoinHostPort(x.IP.String(), "6081"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		b := make([]byte, rnd.IntN(200))
		for i := range b {
			b[i] = byte(rnd.Uint32())
		}
		_, _ = c.Write(b)
		if len(b) > 2 {
			b[0], b[1], b[2], b[3%len(b)] = 0, 0, 8, 0
			_, _ = c.Write(b)
		}
	}
	eventually(t, "drops are counted", func() bool {
		m, err := bed.Metrics(x)
		return err == nil && m["packets_drop_geneve_version"] > 0 && m["packets_drop_foreign_source"]+m["packets_drop_packet_version"] > 0
	})
	if !x.Process.Running() {
		t.Fatal("the daemon has exited")
	}
}
