package edge

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/platform"
)

// A balancer is paused while heartbeats of its peers wait in its socket. When it continues,
// they must not prove that its replica is current: it would take its list of targets for
// complete, tell its peers so, and flows of targets that the list lacks would be reset.
func TestWaitingHeartbeatProvesOnlyItsOwnTime(t *testing.T) {
	const pause = 500 * time.Millisecond
	addr := netip.AddrPortFrom(address(0, balancerNet, 1), 17002)
	e := &Edge{boot: platform.Boot{VM: "a1", DataCenter: "a", Control: addr}, start: time.Now(), ready: &ready{}, listen: net.Listen}
	log, err := logging.New(&output{}, "info", e.boot.VM, e.boot.DataCenter)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(log.Close)
	e.log = log
	c, err := newControl(e)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	c.replica.Replace(nil, at(42), 0)
	b, err := peer.Encode(peer.Heartbeat{From: "a2", DataCenter: "a", Position: 42, LastChange: 42})
	if err != nil {
		t.Fatal(err)
	}
	sender, err := net.Dial("udp4", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = sender.Close() }()
	waitForTimestamps(t, c.udp, sender)
	if _, err := sender.Write(b); err != nil {
		t.Fatal(err)
	}
	time.Sleep(pause)
	go c.receive()
	(<-c.events)()
	if age := c.replica.Age(c.now()); age < pause {
		t.Errorf("the replica counts as current %v ago by a heartbeat that waited %v", age, pause)
	}
}

// waitForTimestamps waits until the kernel records arrival times. It starts shortly after the
// first socket asks for them; datagrams before count as just arrived.
func waitForTimestamps(t *testing.T, c *heartbeatConn, sender net.Conn) {
	t.Helper()
	const pause = 10 * time.Millisecond
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		if _, err := sender.Write([]byte{0}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(pause)
		if _, waited, err := c.read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		} else if waited >= pause {
			return
		}
	}
	t.Fatal("the kernel records no arrival times")
}
