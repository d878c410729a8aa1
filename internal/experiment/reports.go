package experiment

import (
	"time"

	"rosedale.dev/rosedale/internal/balance"
)

// reports holds the last report of each home to each other home.
type reports struct {
	targets int
	excess  [][][]int // by home, peer and target: streams of the peer minus those of the home at the report
}

func newReports(homes, targets int) *reports {
	r := &reports{targets: targets, excess: make([][][]int, homes)}
	for home := range r.excess {
		r.excess[home] = make([][]int, homes)
		for peer := range r.excess[home] {
			r.excess[home][peer] = make([]int, targets)
		}
	}
	return r
}

// exchange makes each home report once per interval to each peer, at staggered times.
func (r *reports) exchange(now, every time.Duration, pools []*balance.Pool) {
	for home := range pools {
		changed := false
		for peer := range pools {
			phase := every * time.Duration(home*len(pools)+peer) / time.Duration(len(pools)*len(pools))
			if peer == home || (now+phase)%every >= 10*time.Millisecond {
				continue
			}
			changed = true
			for t := range r.targets {
				id := uint32(t + 1)
				r.excess[home][peer][t] = pools[peer].Used(id, balance.Connection) - pools[home].Used(id, balance.Connection)
			}
		}
		if !changed {
			continue
		}
		for t := range r.targets {
			sum := 0
			for peer := range pools {
				sum += r.excess[home][peer][t]
			}
			pools[home].SetPeerExcess(uint32(t+1), sum)
		}
	}
}

// totals returns the open streams of each target, summed over the homes.
func (r *reports) totals(pools []*balance.Pool) []float64 {
	out := make([]float64, r.targets)
	for t := range out {
		for _, p := range pools {
			out[t] += float64(p.Used(uint32(t+1), balance.Connection))
		}
	}
	return out
}
