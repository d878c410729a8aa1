package router

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// fuzzStep is the length in bytes of one encoded event.
const fuzzStep = 8

// fuzzEvent applies one event to r: a packet of a caller, a target or a
// balancer with arbitrary numbers and options, a tick, or a change of homes.
func fuzzEvent(r *Router, v *View, now time.Duration, b []byte, out *Output) {
	out.Reset()
	caller := netip.AddrPortFrom(testCaller.Addr(), 1000+uint16(b[1]%4))
	address := []netip.AddrPort{testAddress, slotAddress, urgentAddr}[b[2]%3]
	target := v.Targets[1+int(b[3])%(len(v.Targets)-1)].Addr
	flags := header.TCPFlags(b[4])
	seq := uint32(binary.LittleEndian.Uint16(b[5:])) << (b[7] % 17)
	payload := []byte("note")[:b[7]%5]
	d := geneve.Datagram{VNI: testService, HasHop: b[0]&1 != 0}
	d.Hop = geneve.Hop{Kind: geneve.Kind(b[0] >> 1 & 7), Count: b[0] >> 4 & 7, Flags: b[3] >> 4, Target: target}
	source := target
	switch b[0] >> 7 << 1 & 2 {
	case 0:
		d.VNI, source = 0, fabricSource
		d.Inner = packet.Build(caller, address, seq, seq+1, flags, payload)
	default:
		d.Inner = packet.Build(address, caller, seq, seq+1, flags, payload)
	}
	switch b[1] >> 5 {
	case 6:
		r.Tick(now, out)
	case 7:
		next := testView(v.Self, len(v.Nodes), len(v.Targets)-1)
		next.Nodes[int(b[2])%len(v.Nodes)].Serving = b[3]&1 == 0
		r.Take(now, r.SetView(now, next), out)
	default:
		r.Handle(now, source, &d, out)
	}
}

// FuzzHandle checks that the router does not panic on any input, sends only to
// known targets with their service's VNI, and keeps its usage counts
// non-negative.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 2, 1, 0, 0, 0x80, 0, 0, 0, 0x12, 1, 0, 0, 0, 0, 0, 0, 0x18, 2, 0, 4})
	f.Add([]byte{3, 0, 1, 0, 2, 1, 0, 0, 0, 0xc0, 0, 0, 0, 0, 0, 0, 0x87, 0, 1, 0x20, 0x12, 0, 0, 0})
	f.Add([]byte{0, 0, 1, 0, 2, 1, 0, 0, 0, 0xe0, 1, 1, 0, 0, 0, 0, 0x85, 0, 1, 0xa0, 0x12, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, v := newTestRouter(0, 3, 3)
		out := &Output{}
		for now := time.Second; len(b) >= fuzzStep; b = b[fuzzStep:] {
			now += 100 * time.Millisecond
			fuzzEvent(r, v, now, b, out)
			checkActions(t, v, out)
		}
		for _, u := range r.Usage() {
			if u.Slots < 0 || u.Connections < 0 {
				t.Fatalf("usage %+v with %d flows", u, r.Flows())
			}
		}
	})
}

func checkActions(t *testing.T, v *View, out *Output) {
	t.Helper()
	for _, a := range out.Actions {
		if len(a.Packet) == 0 {
			t.Fatalf("an empty packet was sent: %+v", a)
		}
		if a.To != ToTarget {
			continue
		}
		if _, ok := v.TargetIDs[TargetKey{a.VNI, a.Target}]; !ok {
			t.Fatalf("sent to the unknown target %s with VNI %d", a.Target, a.VNI)
		}
	}
}
