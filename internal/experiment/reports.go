package experiment

import (
	"time"

	"rosedale.dev/rosedale/internal/balance"
)

// reports holds the last report of each home to each other home.
type reports struct {
	targets int
	ahead   [][][]int // by home, peer and target: streams of the peer minus those of the home at the report
}

func newReports(homes, targets int) *reports {
	r := &reports{targets: targets, ahead: make([][][]int, homes)}
	for h := range r.ahead {
		r.ahead[h] = make([][]int, homes)
		for q := range r.ahead[h] {
			r.ahead[h][q] = make([]int, targets)
		}
	}
	return r
}

// exchange makes each home report once per interval to each peer, at staggered times.
func (r *reports) exchange(now, every time.Duration, pools []*balance.Pool) {
	for h := range pools {
		changed := false
		for q := range pools {
			phase := every * time.Duration(h*len(pools)+q) / time.Duration(len(pools)*len(pools))
			if q == h || (now+phase)%every >= 10*time.Millisecond {
				continue
			}
			changed = true
			for t := range r.targets {
				id := uint32(t + 1)
				r.ahead[h][q][t] = pools[q].Used(id, balance.Connection) - pools[h].Used(id, balance.Connection)
			}
		}
		if !changed {
			continue
		}
		for t := range r.targets {
			sum := 0
			for q := range pools {
				sum += r.ahead[h][q][t]
			}
			pools[h].SetPeerExcess(uint32(t+1), sum)
		}
	}
}

func (r *reports) totals(pools []*balance.Pool) []float64 {
	out := make([]float64, r.targets)
	for t := range out {
		for _, p := range pools {
			out[t] += float64(p.Used(uint32(t+1), balance.Connection))
		}
	}
	return out
}
