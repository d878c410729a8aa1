// Package metrics publishes the daemon's counters and gauges through tally in the
// Prometheus text format. The hot paths only add to atomic counters; a Collector
// periodically copies their increase to tally.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Interval is the period at which Collect is called and tally reports its values.
const Interval = time.Second

// Collector copies the values of counters and gauges to tally.
type Collector struct {
	scope    tally.Scope
	closer   io.Closer
	handler  http.Handler
	mu       sync.Mutex // guards counters and gauges, and serialises Collect
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
	t := newTextReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "rosedale",
		CachedReporter:         t,
		Separator:              "_",
		OmitCardinalityMetrics: true,
	}, Interval)
	return &Collector{scope: scope, closer: closer, handler: t}
}

// Histogram registers and returns a histogram of durations, published in seconds.
func (c *Collector) Histogram(name string, buckets tally.DurationBuckets) tally.Histogram {
	return c.scope.Histogram(name, buckets)
}

// Counter registers a counter; total returns its value, which must not decrease. It
// may be called while Collect runs.
func (c *Collector) Counter(name string, total func() uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters = append(c.counters, counter{total: total, c: c.scope.Counter(name)})
}

// Gauge registers a gauge; level returns its value.
func (c *Collector) Gauge(name string, level func() float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gauges = append(c.gauges, gauge{level, c.scope.Gauge(name)})
}

// Collect copies the current values to tally.
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

// Handler returns the HTTP handler that serves the metrics in the Prometheus text format.
func (c *Collector) Handler() http.Handler { return c.handler }

// Close stops the reporting.
func (c *Collector) Close() error { return c.closer.Close() }
