package edge

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/platform"
)

// A heartbeat with the maximum content exceeds the size of a datagram. It must be sent
// without outcomes, but with all suspected targets and loads.
func TestHeartbeatFitsADatagram(t *testing.T) {
	loads := map[direct.TargetID]direct.Load{}
	outcomes := map[direct.TargetID]direct.Outcome{}
	h := peer.Heartbeat{
		From: strings.Repeat("x", 40), DataCenter: strings.Repeat("y", 20), Control: netip.MustParseAddrPort("10.200.200.200:17002"),
		Position: 1 << 40, LastChange: 1 << 40, Age: time.Second, Reading: true, Version: 1 << 40,
	}
	for i := range peer.MaxLoads {
		id := direct.TargetID(0xa000000000 + i)
		loads[id] = direct.Load{Flows: 200, Busy: 10}
		outcomes[id] = direct.Outcome{Good: 40, Bad: 40}
	}
	for i := range 15 {
		h.Suspected = append(h.Suspected, 0xa000000000+uint64(i))
	}
	h.Loads, h.Outcomes = peer.TargetLoads(loads), peer.TargetOutcomes(outcomes)
	b, err := encodeHeartbeat(h)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > peer.MaxMessage {
		t.Errorf("%d bytes", len(b))
	}
	var got peer.Heartbeat
	if err := peer.Decode(b, &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Suspected) != 15 || len(got.Loads) != peer.MaxLoads {
		t.Errorf("%d suspected, %d loads arrive", len(got.Suspected), len(got.Loads))
	}
}

// Most of 50 targets are suspected. The heartbeat must still fit a datagram, or peers would not
// hear of this balancer's position at all.
func TestHeartbeatWithManyFindingsFitsADatagram(t *testing.T) {
	h := peer.Heartbeat{
		From: strings.Repeat("x", 40), DataCenter: strings.Repeat("y", 20), Control: netip.MustParseAddrPort("10.200.200.200:17002"),
		Position: 1 << 40, LastChange: 1 << 40, Age: time.Second, Reading: true, Version: 1 << 40, History: 1 << 40, Era: 9, Settling: time.Second,
	}
	for i := range peer.MaxLoads {
		h.Loads = append(h.Loads, peer.TargetLoad{ID: 1<<63 + uint64(i), Flows: 300, Busy: 300})
	}
	for i := range peer.MaxSuspected {
		h.Suspected = append(h.Suspected, 1<<63+uint64(i))
		h.Dead = append(h.Dead, i)
	}
	b, err := encodeHeartbeat(h)
	if err != nil || len(b) > peer.MaxMessage {
		t.Fatalf("the heartbeat has %d bytes, error %v", len(b), err)
	}
	var got peer.Heartbeat
	if err := peer.Decode(b, &got); err != nil || got.Position != h.Position || len(got.Suspected) != len(h.Suspected) || len(got.Dead) != len(h.Dead) {
		t.Errorf("received position %d, %d suspected, %d dead, error %v", got.Position, len(got.Suspected), len(got.Dead), err)
	}
}

// silentMember registers a balancer that sends nothing, and returns the socket on which it
// receives heartbeats.
func (d *deployment) silentMember(dataCenter string, i int) *net.UDPConn {
	d.t.Helper()
	ip := address(d.net, balancerNet, i)
	m := peer.Member{VM: ip.String(), DataCenter: dataCenter, Control: netip.AddrPortFrom(ip, 17002)}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.Control))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	value, err := peer.Encode(m)
	if err != nil {
		d.t.Fatal(err)
	}
	d.store.PutRaw(platform.MemberPrefix+m.VM, value)
	return conn
}

// announcements returns how long after a time each announcement of a balancer's stop arrives,
// within a second.
func announcements(t *testing.T, conn *net.UDPConn, from string, since time.Time) []time.Duration {
	t.Helper()
	if err := conn.SetReadDeadline(since.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	var out []time.Duration
	buf := make([]byte, peer.MaxMessage+1)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return out
		}
		var h peer.Heartbeat
		if err := peer.Decode(buf[:n], &h); err != nil {
			t.Fatal(err)
		}
		if h.From == from && h.Leaving {
			out = append(out, time.Since(since))
		}
	}
}

// In a large fleet, a balancer that neither reads the store nor is the first in rank sends no
// regular heartbeats. Its planned stop must nevertheless be announced to its data centre and
// to the relays of the others, at once and more than once, as a datagram may be lost.
func TestStopIsAnnouncedInLargeFleets(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.waitForPeers()
	leaving := d.balancers[1]
	told := map[string]*net.UDPConn{"near": d.silentMember("a", 100), "relay 1": d.silentMember("b", 101), "relay 2": d.silentMember("b", 102)}
	for i := range peer.SmallFleet {
		d.silentMember("b", 110+i)
	}
	position := func() int64 { return leaving.adminStatus(t).Position }
	before := position()
	d.store.Put(platform.CatalogueKey, desiredState(2, previews, scans))
	d.eventually(3*time.Second, "the registrations have arrived", func() bool { return position() > before && leaving.adminStatus(t).Version == 2 })
	time.Sleep(2 * wideTicks * tickInterval) // until the last heartbeats of the small fleet are sent
	since := time.Now()
	leaving.stop()
	found := make(chan string, len(told))
	for name, conn := range told {
		go func() {
			got := announcements(t, conn, leaving.boot.VM, since)
			if len(got) < 3 || slices.Min(got) > 300*time.Millisecond {
				found <- fmt.Sprintf("%s: announcements after %v, want at least 3, the first one at once", name, got)
				return
			}
			found <- ""
		}()
	}
	for range told {
		if problem := <-found; problem != "" {
			t.Error(problem)
		}
	}
	if n := len(d.balancers[0].lines(t, "balancer is stopping")); n != 1 {
		t.Errorf("%d lines about the stop, want 1", n)
	}
}
