package experiment

import (
	"time"

	"rosedale.dev/rosedale/internal/balance"
)

// reports keeps what each home last heard from each other one.
type reports struct {
	targets int
	diff    [][][]int // home, peer, target: peer's count less the own one then
}

func newReports(homes, targets int) *reports {
	r := &reports{targets: targets, diff: make([][][]int, homes)}
	for h := range r.diff {
		r.diff[h] = make([][]int, homes)
		for q := range r.diff[h] {
			r.diff[h][q] = make([]int, targets)
		}
	}
	return r
}

// exchange lets each pair report once in every interval, at staggered times.
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
				r.diff[h][q][t] = pools[q].Used(id, balance.Connection) - pools[h].Used(id, balance.Connection)
			}
		}
		if !changed {
			continue
		}
		for t := range r.targets {
			sum := 0
			for q := range pools {
				sum += r.diff[h][q][t]
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
