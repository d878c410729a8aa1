package experiment

import (
	"context"
	"fmt"
	"net/netip"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/packet"
	"rosedale.dev/rosedale/internal/wire"
)

// Sizes prints the encoded sizes of control messages, for capacity planning.
func Sizes(context.Context, []string) error {
	record := wire.Record{
		Name: "scan-hall-12", DataCenter: "scan-hall", Data: netip.MustParseAddrPort("192.0.2.10:6081"),
		Control: netip.MustParseAddrPort("192.0.2.10:7000"), Admin: netip.MustParseAddrPort("192.0.2.10:7001"),
		Incarnation: 1 << 41, Status: wire.Alive,
	}
	caller, vip := netip.MustParseAddrPort("198.51.100.1:40000"), netip.MustParseAddrPort("203.0.113.10:80")
	flow := wire.Flow{Caller: caller, Address: vip, Target: netip.MustParseAddr("192.0.2.101"), Seq: 1 << 31, State: 4}
	opening := flow
	opening.Opening = packet.Build(caller, vip, 1, 0, header.TCPFlagSyn, nil)
	text, err := catalogue.Encode(syntheticCatalogue(addressesPerService)[0])
	if err != nil {
		return err
	}
	indexes := map[string]uint64{}
	for i := range 650 {
		indexes[fmt.Sprintf("service-%d", i)] = 1 << 30
	}
	base := wire.Message{Kind: wire.Ping, From: record.Name, Seq: 1 << 20, Digest: 1 << 60, High: 1 << 30, Members: 1 << 60}
	heartbeat := base
	for i := range 32 {
		heartbeat.TargetConnections = append(heartbeat.TargetConnections, wire.TargetConnections{Target: 1<<31 + uint32(i), Connections: 700})
	}
	for range 3 {
		heartbeat.Health = append(heartbeat.Health, wire.Health{Target: 1 << 31, Checker: 1 << 31, Seq: 1 << 31, Healthy: true, Load: 50})
	}
	fmt.Println("| message | bytes |\n|---|---|")
	for _, x := range []struct {
		name string
		msg  wire.Message
	}{
		{"heartbeat, empty", base},
		{"heartbeat with 32 counts and 3 findings", heartbeat},
		{"one member record more", wire.Message{Kind: wire.Gossip, Updates: []wire.Record{record}}},
		{"all records of 600 members", wire.Message{Kind: wire.Pull, Updates: repeat(record, 600)}},
		{"one entry (2 addresses, 10 targets)", wire.Message{Kind: wire.Push, Versions: []catalogue.Version{{Name: "service-1", Index: 1 << 30, Created: 1 << 30, Text: text}}}},
		{"list of 650 entries' indexes", wire.Message{Kind: wire.Pull, Have: indexes}},
		{"handover of 4096 streams", wire.Message{Kind: wire.Handover, Flows: repeat(flow, 4096)}},
		{"handover of 100 openings", wire.Message{Kind: wire.Handover, Flows: repeat(opening, 100)}},
	} {
		b, err := wire.Encode(&x.msg)
		if err != nil {
			return err
		}
		fmt.Printf("| %s | %d |\n", x.name, len(b))
	}
	return nil
}

func repeat[T any](v T, n int) []T {
	out := make([]T, n)
	for i := range out {
		out[i] = v
	}
	return out
}
