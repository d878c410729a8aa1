package admission

// Priorities is the number of priorities that are counted separately; the last one includes
// all that are less urgent. The order of service knows no such limit.
const Priorities = 8

// level returns the index of a priority in counters.
func level(priority int) int { return min(max(priority, 0), Priorities-1) }

// Stats describes a gate. Counters only increase. Arrays are indexed by priority.
type Stats struct {
	Pools    []PoolStats
	Factor   float64 // by which the own data centre's share is multiplied
	Waiting  [Priorities]int
	Admitted [Priorities]uint64 // with a place, at once or after waiting
	Queued   [Priorities]uint64 // had to wait
	Rejected [Priorities]uint64
	Forced   [Priorities]uint64 // admitted beyond the limit
	Lesser   uint64             // admitted by lesserShare
	Canceled uint64
	Taken    uint64 // sent without calling Arrive
}

// PoolStats describes a pool.
type PoolStats struct {
	Share    float64
	Places   int // for openings, if pool 0 is full
	InFlight int
	Ratio    float64 // smoothed response time relative to normal at the last answer
}

// Stats returns the state and the counters of g.
func (g *Gate[K]) Stats() Stats {
	s := g.stats
	s.Factor = float64(g.pools[home].factor)
	s.Pools = make([]PoolStats, len(g.pools))
	for i := range g.pools {
		p := &g.pools[i]
		s.Pools[i] = PoolStats{p.share, g.openingPlaces(Pool(i), false), p.inFlight, p.speed.value}
	}
	for i := range g.waiting.list {
		s.Waiting[level(g.waiting.list[i].priority)]++
	}
	return s
}
