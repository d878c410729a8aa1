package edge

import (
	"net/netip"
	"testing"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/revision"
)

// During an upgrade the balancer that reads the store for all does not support eras yet.
// Its heartbeats prove nothing to the others, whose replicas would get old while they
// counted it as the active reader.
func TestReaderOfAnEarlierEraDoesNotCount(t *testing.T) {
	c := newTestControl(t)
	c.replica.Replace(nil, revision.Revision{Era: 1, Number: 30}, 0)
	c.fleet.Put("first", peer.Member{VM: "a0", DataCenter: "a", Control: netip.MustParseAddrPort("10.0.0.1:1")})
	for _, x := range []struct {
		era  int64
		want bool
	}{{0, false}, {1, true}, {2, true}} {
		c.peers["a0"] = &peerState{last: peer.Heartbeat{From: "a0", Era: x.era, Position: 30, Reading: true}, lastReceived: c.now()}
		if got := c.hasActiveReader(c.now()); got != x.want {
			t.Errorf("reader of era %d counts for a replica of era 1: %v, want %v", x.era, got, x.want)
		}
	}
}
