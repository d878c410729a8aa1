package router

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
	"rosedale.dev/rosedale/internal/rendezvous"
)

// askedFrom returns the balancers that get a packet of an unknown flow which the fabric
// gives to the balancer first, in the order in which they get it.
func askedFrom(t *testing.T, nodes, first int, caller netip.AddrPort) []int {
	t.Helper()
	at, hop, hasHop := first, geneve.Hop{}, false
	var visited []int
	p := packet.Build(caller, testAddress, 1001, 5001, header.TCPFlagAck|header.TCPFlagPsh, []byte("GET"))
	for range hopLimit {
		r, v := newTestRouter(at, nodes, 2)
		out := &Output{}
		r.Handle(time.Second, fabricSource, &geneve.Datagram{VNI: vniOf(hasHop), Hop: hop, HasHop: hasHop, Inner: p}, out)
		if len(out.Actions) == 1 && out.Actions[0].To == ToTarget {
			return visited // it probes
		}
		a := only(t, out, ToPeer)
		at = slices.IndexFunc(v.Nodes, func(n Node) bool { return n.Data == a.Peer })
		hop, hasHop = a.Hop, true
		visited = append(visited, at)
	}
	t.Fatal("the packet was passed on too often")
	return nil
}

// vniOf returns the VNI of packets that balancers pass on, or 0 for one of the fabric.
func vniOf(passedOn bool) uint32 {
	if passedOn {
		return testService
	}
	return 0
}

// An unknown flow's packet is passed along the flow's order. Each of the first MaxAsk
// balancers must be asked once; a balancer that is left out may be the only one that knows
// the flow, and the flow is then probed and may time out.
func TestFirstBalancersOfTheOrderAreAsked(t *testing.T) {
	for nodes := 1; nodes <= 8; nodes++ {
		for first := range nodes {
			t.Run(fmt.Sprintf("%d of %d", first, nodes), func(t *testing.T) {
				v := testView(0, nodes, 2)
				v.index()
				caller := callerOf(v, nodes-1)
				a := v.Addresses[testAddress]
				order := rendezvous.Order(nil, a.homeKey(hashFlow(caller, testAddress)), nodeSeeds(v.Nodes), nodes)
				home, others := order[0], order[1:]
				want := others[:min(len(others), Settings{}.Defaults().MaxAsk)]
				got := slices.DeleteFunc(askedFrom(t, nodes, first, caller), func(i int) bool { return i == home })
				if !slices.Equal(got, want) {
					t.Errorf("asked %v, want %v (home %d)", got, want, home)
				}
			})
		}
	}
}
