package target

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// Guards against executing a request meant for another target. A target receives a
// copy of an opening, and then the request that the caller sent to the target whose
// answer it accepted. A real target resets the connection; if the stand-in ran the
// request, tests would report a balancer fault that does not exist.
func TestRequestOfAnotherTargetIsReset(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	fabric, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = fabric.Close() }()
	address := netip.MustParseAddrPort("203.0.113.10:81")
	s := &catalogue.Service{Name: "notes", Number: 7, Limits: catalogue.Limits{Slots: 2, Connections: 10},
		Addresses: []catalogue.Address{{Address: address, Class: catalogue.Request}}}
	rec := newRecords()
	e, err := newEndpoint(ctx, s, catalogue.Target{Address: netip.MustParseAddr("127.77.0.1")}, fabric.LocalAddr().(*net.UDPAddr), rec)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = e.sock.Close() }()
	caller := netip.MustParseAddrPort("198.51.100.8:33865")
	send := func(seq, ack uint32, flags header.TCPFlags, body string) {
		t.Helper()
		inner := packet.Build(caller, address, seq, ack, flags, []byte(body))
		if _, err := fabric.WriteToUDP(geneve.Append(nil, s.Number, nil, inner), e.sock.LocalAddr().(*net.UDPAddr)); err != nil {
			t.Fatal(err)
		}
	}
	receive := func() packet.Segment {
		t.Helper()
		b := make([]byte, 2000)
		_ = fabric.SetReadDeadline(time.Now().Add(2 * time.Second))
		n, _, err := fabric.ReadFromUDP(b)
		if err != nil {
			t.Fatal(err)
		}
		d, err := geneve.Parse(b[:n])
		if err != nil {
			t.Fatal(err)
		}
		seg, err := packet.Parse(d.Inner)
		if err != nil {
			t.Fatal(err)
		}
		return seg
	}
	const request = "POST /note?id=r1&work=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
	send(100, 0, header.TCPFlagSyn, "")
	accept := receive()
	if !accept.IsAccept() {
		t.Fatalf("answer to the opening: %+v, want SYN and ACK", accept)
	}
	for range 2 {
		send(101, accept.Seq+777, header.TCPFlagAck|header.TCPFlagPsh, request)
		if got := receive(); !got.IsReset() || got.Seq != accept.Seq+777 {
			t.Errorf("answer to an unexpected acknowledgement: %+v, want a reset", got)
		}
	}
	if n := len(rec.snapshot()["r1"]); n != 0 {
		t.Errorf("the request meant for another target ran %d times, want 0", n)
	}
	send(101, accept.Seq+1, header.TCPFlagAck|header.TCPFlagPsh, request)
	for end := time.Now().Add(2 * time.Second); len(rec.snapshot()["r1"]) != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request on this target's connection did not run once")
		}
	}
}
