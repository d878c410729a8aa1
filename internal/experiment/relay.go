package experiment

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"sort"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/forward"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
	"rosedale.dev/rosedale/internal/rendezvous"
	"rosedale.dev/rosedale/internal/router"
)

// Addresses of the throughput measurement.
var (
	relayListen  = netip.MustParseAddrPort("127.0.7.1:6081")
	relaySink    = netip.MustParseAddrPort("127.0.7.9:6081")
	relaySender  = netip.MustParseAddr("127.0.7.2")
	relayService = netip.MustParseAddrPort("203.0.113.10:80")
)

const (
	relayServiceNumber = 101
	relayFlows         = 10000
	relaySenders       = 3  // goroutines, each with a socket of its own
	relayBatch         = 64 // packets per system call
)

// Relay compares the throughput of the data path with one worker, in packets per
// second, with that of a bare relay that uses the same sockets and batches but
// forwards without any decision.
func Relay(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("relay", flag.ContinueOnError)
	runs := fs.Int("runs", 7, "runs of each of the two, alternating")
	length := fs.Duration("length", 2*time.Second, "length of a run")
	payload := fs.Int("payload", 200, "bytes of TCP payload in a packet")
	if err := fs.Parse(args); err != nil {
		return err
	}
	sink, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(relaySink))
	if err != nil {
		return errors.Wrap(err, "relay: sink")
	}
	defer func() { _ = sink.Close() }()
	go drainSocket(sink)
	var bare, full []float64
	for range *runs {
		for _, isBare := range []bool{true, false} {
			rate, err := relayRun(ctx, isBare, *length, *payload)
			if err != nil {
				return err
			}
			if isBare {
				bare = append(bare, rate)
			} else {
				full = append(full, rate)
			}
		}
	}
	sort.Float64s(bare)
	sort.Float64s(full)
	fmt.Println("| path | packets/s min | median | max |\n|---|---|---|---|")
	fmt.Printf("| bare relay | %.0f | %.0f | %.0f |\n", bare[0], bare[len(bare)/2], bare[len(bare)-1])
	fmt.Printf("| rosedaled | %.0f | %.0f | %.0f |\n", full[0], full[len(full)/2], full[len(full)-1])
	fmt.Printf("ratio of the medians %.3f\n", full[len(full)/2]/bare[len(bare)/2])
	return nil
}

// drainSocket reads and discards packets until the socket is closed.
func drainSocket(c *net.UDPConn) {
	_ = c.SetReadBuffer(4 << 20)
	p := ipv4.NewPacketConn(c)
	ms := make([]ipv4.Message, relayBatch)
	for i := range ms {
		ms[i].Buffers = [][]byte{make([]byte, 2048)}
	}
	for {
		if _, err := p.ReadBatch(ms, 0); errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// relayRun returns the packets per second of one run, with the router or as a bare relay.
func relayRun(ctx context.Context, bare bool, length time.Duration, payload int) (float64, error) {
	cfg := forward.Config{
		Listen: relayListen, Fabric: relaySink, Workers: 1,
		Sources: []netip.Prefix{netip.PrefixFrom(relaySender, 32)},
	}
	if bare {
		cfg.Relay = relaySink
	}
	r := router.New(router.Settings{AliveInterval: time.Hour})
	plane, err := forward.New(cfg, r, time.Now())
	if err != nil {
		return 0, err
	}
	packets := openFlows(r, payload)
	plane.Start()
	defer plane.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range relaySenders {
		if err := sendPackets(ctx, packets[i*len(packets)/relaySenders:(i+1)*len(packets)/relaySenders]); err != nil {
			return 0, err
		}
	}
	time.Sleep(length / 4)
	before := plane.Sent.Load()
	began := time.Now()
	time.Sleep(length)
	return float64(plane.Sent.Load()-before) / time.Since(began).Seconds(), nil
}

// openFlows opens relayFlows flows at the router and returns one encapsulated packet of each.
func openFlows(r *router.Router, payload int) [][]byte {
	k := router.TargetKey{Service: relayServiceNumber, Addr: relaySink.Addr()}
	t := balance.Target{ID: 1, Seed: 1, Eligible: true}
	t.Limit[balance.Connection] = 1 << 20
	r.SetView(0, &router.View{
		Nodes:     []router.Node{{Name: "vault-a-1", Data: relayListen, Seed: rendezvous.Seed("vault-a-1"), Serving: true}},
		Addresses: map[netip.AddrPort]router.Address{relayService: {ID: 1, Service: relayServiceNumber, Class: catalogue.Stream}},
		Services:  map[uint32]router.Service{relayServiceNumber: {Name: "catalogue", Targets: []balance.Target{t}}},
		TargetIDs: map[router.TargetKey]uint32{k: 1},
		Targets:   []router.Target{{}, {TargetKey: k, Answered: new(atomic.Int64)}},
	})
	out := &router.Output{}
	handle := func(src netip.Addr, vni uint32, b []byte) {
		out.Reset()
		r.Handle(time.Millisecond, src, &geneve.Datagram{VNI: vni, Inner: b}, out)
	}
	var packets [][]byte
	for i := range relayFlows {
		c := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i)}), uint16(20000+i))
		handle(relaySender, 0, packet.Build(c, relayService, 1, 0, header.TCPFlagSyn, nil))
		handle(k.Addr, relayServiceNumber, packet.Build(relayService, c, 9, 2, header.TCPFlagSyn|header.TCPFlagAck, nil))
		p := packet.Build(c, relayService, 2, 10, header.TCPFlagAck, make([]byte, payload))
		handle(relaySender, 0, p)
		handle(k.Addr, relayServiceNumber, packet.Build(relayService, c, 10, 2, header.TCPFlagAck, nil))
		packets = append(packets, geneve.Append(nil, 0, nil, p))
	}
	return packets
}

// sendPackets starts a goroutine that sends the packets in a loop until ctx ends.
func sendPackets(ctx context.Context, packets [][]byte) error {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(relaySender, 0)))
	if err != nil {
		return errors.Wrap(err, "relay: sender")
	}
	go func() {
		defer func() { _ = c.Close() }()
		p := ipv4.NewPacketConn(c)
		to := net.UDPAddrFromAddrPort(relayListen)
		ms := make([]ipv4.Message, relayBatch)
		for i := 0; ctx.Err() == nil; i += relayBatch {
			for j := range ms {
				ms[j] = ipv4.Message{Buffers: [][]byte{packets[(i+j)%len(packets)]}, Addr: to}
			}
			_, _ = p.WriteBatch(ms, 0)
		}
	}()
	return nil
}
