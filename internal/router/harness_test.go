package router

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
	"rosedale.dev/rosedale/internal/rendezvous"
)

const testService = 101

var (
	testAddress  = netip.MustParseAddrPort("203.0.113.10:80")
	slotAddress  = netip.MustParseAddrPort("203.0.113.10:81")
	urgentAddr   = netip.MustParseAddrPort("203.0.113.10:82")
	testCaller   = netip.MustParseAddrPort("198.51.100.1:40000")
	fabricSource = netip.MustParseAddr("127.0.9.1")
)

// testView returns a view of balancer self among nodes, with targets of two
// slots each.
func testView(self, nodes, targets int) *View {
	v := &View{
		Self: self,
		Addresses: map[netip.AddrPort]Address{
			testAddress: {ID: 1, Service: testService, Class: catalogue.Stream},
			slotAddress: {ID: 2, Service: testService, Class: catalogue.Request, Deadline: 2 * time.Second},
			urgentAddr:  {ID: 3, Service: testService, Class: catalogue.Urgent, Deadline: 2 * time.Second},
		},
		Services:  map[uint32]Service{},
		TargetIDs: map[TargetKey]uint32{},
		Targets:   make([]Target, 1),
	}
	for i := range nodes {
		name := fmt.Sprintf("vault-a-%d", i+1)
		v.Nodes = append(v.Nodes, Node{
			Name: name, Seed: rendezvous.Seed(name), Serving: true,
			Data: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 10, 0, byte(i + 1)}), geneve.Port),
		})
	}
	svc := Service{Name: "catalogue"}
	for i := range targets {
		k := TargetKey{testService, netip.AddrFrom4([4]byte{127, 10, 1, byte(i + 1)})}
		id := uint32(i + 1)
		v.TargetIDs[k] = id
		v.Targets = append(v.Targets, Target{TargetKey: k, Answered: new(atomic.Int64)})
		t := balance.Target{ID: id, Seed: rendezvous.Seed(k.Addr.String()), Eligible: true}
		t.Limit[balance.Slot], t.Limit[balance.Connection] = 2, 1<<30
		svc.Targets = append(svc.Targets, t)
	}
	v.Services[testService] = svc
	return v
}

// newTestRouter returns a router with the view of testView.
func newTestRouter(self, nodes, targets int) (*Router, *View) {
	r := New(Settings{MaxFlows: 1 << 22, AliveInterval: time.Hour, MaxOpenings: 1 << 20})
	v := testView(self, nodes, targets)
	r.SetView(0, v)
	return r, v
}

// fromCaller handles a caller's packet that comes from the fabric.
func fromCaller(r *Router, now time.Duration, p []byte, out *Output) {
	out.Reset()
	r.Handle(now, fabricSource, &geneve.Datagram{Inner: p}, out)
}

// fromTarget handles a packet of a target of testService.
func fromTarget(r *Router, now time.Duration, target netip.Addr, p []byte, out *Output) {
	out.Reset()
	r.Handle(now, target, &geneve.Datagram{VNI: testService, Inner: p}, out)
}

func syn(from, to netip.AddrPort, seq uint32) []byte {
	return packet.Build(from, to, seq, 0, header.TCPFlagSyn, nil)
}

// synAck returns the answer to syn(from, to, 1000).
func synAck(from, to netip.AddrPort) []byte {
	return packet.Build(to, from, 5000, 1001, header.TCPFlagSyn|header.TCPFlagAck, nil)
}

// refusal returns the reset by which a target refuses syn(from, to, 1000).
func refusal(from, to netip.AddrPort) []byte {
	return packet.Build(to, from, 0, 1001, header.TCPFlagRst|header.TCPFlagAck, nil)
}

// open opens a flow through r as its home, regardless of the view, and returns
// its target.
func open(r *Router, v *View, now time.Duration, caller netip.AddrPort, out *Output) netip.Addr {
	out.Reset()
	hop := geneve.Hop{Kind: geneve.Opening, Count: openingHops}
	r.Handle(now, v.Nodes[0].Data.Addr(), &geneve.Datagram{VNI: testService, Hop: hop, HasHop: true, Inner: syn(caller, testAddress, 1000)}, out)
	if len(out.Actions) != 1 || out.Actions[0].To != ToTarget {
		panic(fmt.Sprint("not opened: ", out.Actions))
	}
	target := out.Actions[0].Target
	out.Reset()
	ans := geneve.Hop{Kind: geneve.Answer, Count: openingHops, Target: target}
	r.Handle(now, target, &geneve.Datagram{VNI: testService, Hop: ans, HasHop: true, Inner: synAck(caller, testAddress)}, out)
	ack := packet.Build(caller, testAddress, 1001, 5001, header.TCPFlagAck, nil)
	out.Reset()
	r.Handle(now, v.Nodes[0].Data.Addr(), &geneve.Datagram{VNI: testService, Hop: geneve.Hop{Kind: geneve.Ask, Count: 1}, HasHop: true, Inner: ack}, out)
	return target
}

// only returns the single action in out, which must have the given destination.
func only(t *testing.T, out *Output, to Destination) Action {
	t.Helper()
	if len(out.Actions) != 1 || out.Actions[0].To != to {
		t.Fatalf("actions %+v, want one to %d", out.Actions, to)
	}
	return out.Actions[0]
}

func parsed(t *testing.T, a Action) packet.Segment {
	t.Helper()
	s, err := packet.Parse(a.Packet)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
