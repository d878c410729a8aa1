package edge

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/peer"
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
