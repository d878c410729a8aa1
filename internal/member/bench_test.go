package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/wire"
)

// benchmarkGroup reports what a member of a group of n sends per second when nothing
// changes, and the time until no member considers a dead one as serving. Bytes are
// those of payloads, without QUIC.
func benchmarkGroup(b *testing.B, n int) {
	for b.Loop() {
		w := newNetwork(n)
		w.run(150 * time.Second)
		w.bytes = map[string]int{}
		w.run(30 * time.Second)
		total := 0
		for _, x := range w.bytes {
			total += x
		}
		b.ReportMetric(float64(total)/float64(n)/30, "bytes/s/member")
		w.paused["vm-003"] = true
		start, known := w.now, 0
		for known < n-1 && w.now-start < time.Minute {
			w.run(netStep)
			known = 0
			for _, name := range w.names {
				if r, _ := w.groups[name].Get("vm-003"); name != "vm-003" && !Serving(r) {
					known++
				}
			}
		}
		b.ReportMetric((w.now - start).Seconds(), "s-until-all-avoid")
		r, _ := w.groups["vm-000"].Get("vm-003")
		if r.Status == wire.Alive {
			b.Fatal("the dead member is still alive in the list")
		}
	}
}

func BenchmarkGroup7(b *testing.B)   { benchmarkGroup(b, 7) }
func BenchmarkGroup56(b *testing.B)  { benchmarkGroup(b, 56) }
func BenchmarkGroup200(b *testing.B) { benchmarkGroup(b, 200) }
func BenchmarkGroup600(b *testing.B) { benchmarkGroup(b, 600) }

// benchmarkHeal reports the time after a partition of two minutes into halves of n
// members until every member sees all as alive, by heartbeats alone. The daemon also
// exchanges complete lists, which is faster.
func benchmarkHeal(b *testing.B, n int) {
	for b.Loop() {
		w := newNetwork(n)
		w.run(60 * time.Second)
		half := w.names[n/2]
		w.lost = func(from, to string) bool { return (from < half) != (to < half) }
		w.run(2 * time.Minute)
		w.lost = func(string, string) bool { return false }
		w.bytes = map[string]int{}
		start := w.now
		for alive := 0; alive < n*n && w.now-start < 5*time.Minute; {
			w.run(5 * netStep)
			alive = 0
			for _, name := range w.names {
				for _, r := range w.groups[name].Members() {
					if Serving(r) {
						alive++
					}
				}
			}
		}
		total := 0
		for _, x := range w.bytes {
			total += x
		}
		b.ReportMetric((w.now - start).Seconds(), "s-until-all-alive")
		b.ReportMetric(float64(total)/float64(n), "bytes/member")
	}
}

func BenchmarkHeal14(b *testing.B)  { benchmarkHeal(b, 14) }
func BenchmarkHeal56(b *testing.B)  { benchmarkHeal(b, 56) }
func BenchmarkHeal112(b *testing.B) { benchmarkHeal(b, 112) }

// BenchmarkRecords reports the heap size of a list of 600 members.
func BenchmarkRecords(b *testing.B) {
	const n = 600
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		g := New(Settings{}, wire.Record{Name: "self", Incarnation: 1, Status: wire.Alive}, nil, 1)
		for i := range n {
			name := fmt.Sprintf("scan-hall-%d", i)
			g.Merge(time.Second, wire.Record{Name: name, DataCenter: "scan-hall", Incarnation: 1, Status: wire.Alive})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/record")
		runtime.KeepAlive(g)
	}
}
