package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
	"rosedale.dev/rosedale/platform"
)

const (
	// longSeriesRoutes is the number of idle routes of a catalogue of 1 MB, which is about the
	// largest value of the store.
	longSeriesRoutes = 7000
	longSeriesGap    = 120 * time.Millisecond // between two versions
	longSeriesCheck  = 10                     // versions between two checks
	memoryPoll       = 50 * time.Millisecond
)

// longSeriesSeeds lists the seeds that are always run.
var longSeriesSeeds = []uint64{1}

// TestLongSeriesOfVersions writes versions of the largest catalogue without a break while balancers
// are killed, stopped, paused and started again. Guards against memory that grows with each version,
// and versions that are late.
func TestLongSeriesOfVersions(t *testing.T) {
	runSeeds(t, longSeriesSeeds, func(t *testing.T, block int, seed uint64) {
		s := newSeries(t, block)
		s.addIdleRoutes(longSeriesRoutes)
		written := 0
		s.run(seed, s.watchMemory, func(r *rand.Rand) time.Duration {
			s.writeVersion(r.IntN(2) == 0)
			if written++; written%longSeriesCheck == 0 {
				s.checkLater()
			}
			return longSeriesGap
		})
		t.Logf("%d versions of %d bytes", written, len(s.store.Value(platform.CatalogueKey)))
	})
}

// addIdleRoutes adds routes without traffic to the desired state.
func (w *world) addIdleRoutes(n int) {
	for i := range n {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(i / 200), byte(i%200 + 1)}), 443)
		w.idle = append(w.idle, direct.Route{Address: at, Service: serviceOf[previews]})
	}
}

// watchMemory checks that no balancer uses more memory than its settings allow.
func (s *series) watchMemory(_ *rand.Rand, until time.Time) {
	most := make([]int, len(s.nodes)) // MB
	for ; time.Now().Before(until); time.Sleep(memoryPoll) {
		for i, n := range s.nodes {
			s.mu.Lock()
			pid := n.cmd.Process.Pid
			s.mu.Unlock()
			most[i] = max(most[i], residentMB(pid))
		}
	}
	s.t.Logf("most memory used: %d MB", most)
	for i, mb := range most {
		if mb > direct.MemoryMB {
			s.t.Errorf("balancer %s used %d MB of %d MB", s.nodes[i].addr, mb, direct.MemoryMB)
		}
	}
}

// residentMB returns the resident memory of a process, or 0 if it does not run.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(status, []byte("VmRSS:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(string(fields[0])) // 0 if it is not a number
	return kb / 1024
}
