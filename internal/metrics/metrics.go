// Package metrics publishes the daemon's totals through tally as Prometheus
// text. The hot paths only add to atomic counters; a Collector copies their
// growth to tally now and then.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Interval is the time between two copies.
const Interval = time.Second

// Collector copies totals and levels to tally.
type Collector struct {
	scope    tally.Scope
	closer   io.Closer
	handler  http.Handler
	mu       sync.Mutex
	counters []counter
	gauges   []gauge
}

type counter struct {
	total func() uint64
	last  uint64
	c     tally.Counter
}

type gauge struct {
	level func() float64
	g     tally.Gauge
}

// New returns a Collector without metrics.
func New() *Collector {
	t := newText()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "rosedale",
		CachedReporter:         t,
		Separator:              "_",
		OmitCardinalityMetrics: true,
	}, Interval)
	return &Collector{scope: scope, closer: closer, handler: t}
}

// Histogram publishes durations, in seconds, sorted into buckets.
func (c *Collector) Histogram(name string, buckets tally.DurationBuckets) tally.Histogram {
	return c.scope.Histogram(name, buckets)
}

// Counter publishes a total that only grows.
func (c *Collector) Counter(name string, total func() uint64) {
	c.counters = append(c.counters, counter{total: total, c: c.scope.Counter(name)})
}

// Gauge publishes a level.
func (c *Collector) Gauge(name string, level func() float64) {
	c.gauges = append(c.gauges, gauge{level, c.scope.Gauge(name)})
}

// Collect copies once.
func (c *Collector) Collect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.counters {
		x := &c.counters[i]
		now := x.total()
		x.c.Inc(int64(now - x.last))
		x.last = now
	}
	for _, g := range c.gauges {
		g.g.Update(g.level())
	}
}

// Handler serves the Prometheus text.
func (c *Collector) Handler() http.Handler { return c.handler }

// Close ends the reporting.
func (c *Collector) Close() error { return c.closer.Close() }
