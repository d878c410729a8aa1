package direct

import (
	"testing"
	"time"
)

// BenchmarkFlowsOf measures finding a target's flows among 35,000, which delays packets
// whenever a target is found dead or restarts.
func BenchmarkFlowsOf(b *testing.B) {
	f := New(Config{DataCenter: "a", FlowMaxAge: time.Minute, MaxFlows: 40_000})
	f.SetCatalogue(testCatalogue())
	for id := range TargetID(100) {
		f.PutTarget(0, target1(id+1, "a"))
	}
	for port := range uint16(35_000) {
		s := packet(port, streams, ACK, Cookie(port%100+1))
		s.Ack = 1000
		f.Handle(time.Second, s)
	}
	for b.Loop() {
		f.flowsOf(f.targets[7])
	}
}
