package direct

import (
	"encoding/json"
	"net/netip"
	"os"
)

// MemoryMB is the memory of a balancer's VM.
const MemoryMB = 100

// Settings holds what the platform writes into a balancer's settings file.
type Settings struct {
	VM         string // name of the balancer's VM
	DataCenter string
	Data       netip.AddrPort   // receives callers' packets
	Ready      netip.AddrPort   // answers the routers' readiness checks
	Control    netip.AddrPort   // receives other balancers' packets
	Seeds      []netip.AddrPort // Control addresses of balancers to contact first
	Store      netip.AddrPort   // address of the metadata store
	GraceS     float64          // seconds from SIGTERM to SIGKILL
	Bootstrap  bool             // this is the first start of the whole fleet
}

// Write writes the settings to a file in the platform's JSON format.
func (s Settings) Write(file string) error {
	b, err := json.Marshal(map[string]any{
		"nodeName": s.VM, "zone": s.DataCenter, "bootstrap": s.Bootstrap,
		"listen": map[string]any{"datagramAddr": s.Data, "readyAddr": s.Ready, "control": s.Control},
		"seeds":  append([]netip.AddrPort{}, s.Seeds...), "heartbeatIntervalMs": 1000,
		"limits":   map[string]any{"memoryMb": MemoryMB, "linkMbps": 1000},
		"bounds":   map[string]any{"drainMs": 3000, "graceS": s.GraceS, "configApplyMs": 3000, "flowMaxS": 60},
		"platform": map[string]any{"address": s.Store, "ttlMinMs": 1000},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(file, b, 0o600)
}
