package edge

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"rosedale.dev/rosedale/internal/admission"
	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/metrics"
)

const (
	// maxNamedGates is the number of services with counters of their own. The other services
	// are added up under otherGates, which bounds the number of counters.
	maxNamedGates = 16
	otherGates    = "other"
	// gateStatsAge is how long the state of the gates is reused, so that one collection of all
	// metrics reads it once.
	gateStatsAge = 100 * time.Millisecond
)

// gateMetrics publishes the state of the gates by service and priority.
type gateMetrics struct {
	edge       *Edge
	collector  *metrics.Collector
	mu         sync.Mutex
	registered map[string]bool // services with metrics, and otherGates
	stats      map[string]*gateTotals
	readAt     time.Duration
}

// gateTotals are the counters and levels of one service or of otherGates.
type gateTotals struct {
	admitted, queued, rejected, forced [admission.Priorities]uint64
	waiting, places, inFlight          int
	unlimited                          int // gates that limit nothing, because ends are unseen
	unseenEnds                         uint64
}

func newGateMetrics(e *Edge, m *metrics.Collector) *gateMetrics {
	return &gateMetrics{edge: e, collector: m, registered: map[string]bool{}, readAt: -time.Hour}
}

// update registers the metrics of services that have got a gate.
func (g *gateMetrics) update() {
	g.edge.mu.Lock()
	list := g.edge.forward.GateStats()
	g.edge.mu.Unlock()
	g.mu.Lock()
	var added []string
	for _, s := range list {
		if name := g.nameOf(s.Service); !g.registered[name] {
			g.registered[name] = true
			added = append(added, name)
		}
	}
	g.mu.Unlock()
	for _, name := range added {
		g.register(name)
	}
}

// nameOf returns under which name the gate of a service is counted.
func (g *gateMetrics) nameOf(service string) string {
	if g.registered[service] || len(g.registered) < maxNamedGates {
		return service
	}
	return otherGates
}

func (g *gateMetrics) register(name string) {
	suffix := "_" + metricName(name)
	m := g.collector
	for p := range admission.Priorities {
		ending := fmt.Sprintf("%s_p%d", suffix, p)
		m.Counter("admission_admitted"+ending, g.counter(name, func(t *gateTotals) uint64 { return t.admitted[p] }))
		m.Counter("admission_queued"+ending, g.counter(name, func(t *gateTotals) uint64 { return t.queued[p] }))
		m.Counter("admission_rejected"+ending, g.counter(name, func(t *gateTotals) uint64 { return t.rejected[p] }))
		m.Counter("admission_forced"+ending, g.counter(name, func(t *gateTotals) uint64 { return t.forced[p] }))
	}
	m.Gauge("admission_waiting"+suffix, g.level(name, func(t *gateTotals) int { return t.waiting }))
	m.Gauge("admission_places"+suffix, g.level(name, func(t *gateTotals) int { return t.places }))
	m.Gauge("admission_unlimited"+suffix, g.level(name, func(t *gateTotals) int { return t.unlimited }))
	m.Counter("admission_unseen_ends"+suffix, g.counter(name, func(t *gateTotals) uint64 { return t.unseenEnds }))
	m.Gauge("admission_in_flight"+suffix, g.level(name, func(t *gateTotals) int { return t.inFlight }))
}

// metricName returns a service's name with the characters that metrics may have.
func metricName(service string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, service)
}

func (g *gateMetrics) counter(name string, read func(*gateTotals) uint64) func() uint64 {
	return func() uint64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return read(g.totals(name))
	}
}

func (g *gateMetrics) level(name string, read func(*gateTotals) int) func() float64 {
	return func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(read(g.totals(name)))
	}
}

// totals returns the state of a service or of otherGates. g.mu is held.
func (g *gateMetrics) totals(name string) *gateTotals {
	if now := g.edge.now(); now-g.readAt >= gateStatsAge {
		g.readAt = now
		g.edge.mu.Lock()
		list := g.edge.forward.GateStats()
		g.edge.mu.Unlock()
		g.stats = map[string]*gateTotals{}
		for i := range list {
			g.entry(g.nameOf(list[i].Service)).add(&list[i])
		}
	}
	return g.entry(name)
}

func (g *gateMetrics) entry(name string) *gateTotals {
	t := g.stats[name]
	if t == nil {
		t = &gateTotals{}
		g.stats[name] = t
	}
	return t
}

func (t *gateTotals) add(s *direct.GateStats) {
	for p := range admission.Priorities {
		t.admitted[p] += s.Admitted[p]
		t.queued[p] += s.Queued[p]
		t.rejected[p] += s.Rejected[p]
		t.forced[p] += s.Forced[p]
		t.waiting += s.Waiting[p]
	}
	t.unseenEnds += s.UnseenEnds
	if s.Unlimited {
		t.unlimited++
	}
	for _, p := range s.Pools {
		t.places += p.Places
		t.inFlight += p.InFlight
	}
}
