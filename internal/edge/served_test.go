package edge

import (
	"net/netip"
	"testing"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/revision"
)

// A fleet is upgraded, and the balancer that reads the store for all knows no eras yet. What
// it says proves nothing to the others, whose copies would get old for as long as they take
// it for their reader.
func TestReaderOfAnEarlierEraServesNobody(t *testing.T) {
	c := bareControl(t)
	c.replica.Replace(nil, revision.Revision{Era: 1, Number: 30}, 0)
	c.fleet.Put("first", peer.Member{VM: "a0", DataCenter: "a", Control: netip.MustParseAddrPort("10.0.0.1:1")})
	for _, x := range []struct {
		era  int64
		want bool
	}{{0, false}, {1, true}, {2, true}} {
		c.peers["a0"] = &neighbour{last: peer.Heartbeat{From: "a0", Era: x.era, Position: 30, Reading: true}, heard: c.now()}
		if got := c.served(c.now()); got != x.want {
			t.Errorf("reader of era %d serves a copy of era 1: %v, want %v", x.era, got, x.want)
		}
	}
}
