package metrics

import (
	"bufio"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// contentType is the media type of the Prometheus text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// textReporter is a tally reporter that keeps the last values and serves them in the
// Prometheus text format. It replaces the Prometheus client library, which costs 1.2 ms
// of processor time per start and 1.5 MB of peak memory. On a VM with 0.088 of a core,
// 1.2 ms are 14 ms of a start after a failure of all VMs.
type textReporter struct {
	mu         sync.Mutex
	counters   map[string]*atomic.Int64
	gauges     map[string]*gaugeValue
	histograms map[string]*histogram
}

type gaugeValue struct {
	mu sync.Mutex
	v  float64
}

// histogram holds the buckets of a histogram with the samples in each.
type histogram struct{ buckets []*bucket }

type bucket struct {
	upper   float64 // bound, inclusive
	samples atomic.Int64
}

func newTextReporter() *textReporter {
	return &textReporter{counters: map[string]*atomic.Int64{}, gauges: map[string]*gaugeValue{}, histograms: map[string]*histogram{}}
}

// Capabilities implements tally.CachedStatsReporter.
func (t *textReporter) Capabilities() tally.Capabilities { return t }

// Reporting implements tally.Capabilities.
func (t *textReporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (t *textReporter) Tagging() bool { return false }

// Flush implements tally.CachedStatsReporter.
func (t *textReporter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (t *textReporter) AllocateCounter(name string, _ map[string]string) tally.CachedCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &atomic.Int64{}
	t.counters[name] = c
	return cachedCounter{c}
}

type cachedCounter struct{ total *atomic.Int64 }

// ReportCount implements tally.CachedCount.
func (c cachedCounter) ReportCount(n int64) { c.total.Add(n) }

// AllocateGauge implements tally.CachedStatsReporter.
func (t *textReporter) AllocateGauge(name string, _ map[string]string) tally.CachedGauge {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := &gaugeValue{}
	t.gauges[name] = g
	return g
}

// ReportGauge implements tally.CachedGauge.
func (g *gaugeValue) ReportGauge(v float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.v = v
}

// AllocateTimer implements tally.CachedStatsReporter. Durations go to
// histograms instead.
func (t *textReporter) AllocateTimer(string, map[string]string) tally.CachedTimer { return noTimer{} }

type noTimer struct{}

// ReportTimer implements tally.CachedTimer.
func (noTimer) ReportTimer(time.Duration) {}

// AllocateHistogram implements tally.CachedStatsReporter.
func (t *textReporter) AllocateHistogram(name string, _ map[string]string, _ tally.Buckets) tally.CachedHistogram {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &histogram{}
	t.histograms[name] = h
	return h
}

// ValueBucket implements tally.CachedHistogram.
func (h *histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	b := &bucket{upper: upper}
	h.buckets = append(h.buckets, b)
	return b
}

// DurationBucket implements tally.CachedHistogram, in seconds.
func (h *histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	return h.ValueBucket(0, upper.Seconds())
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b *bucket) ReportSamples(n int64) { b.samples.Add(n) }

// ServeHTTP writes all values.
func (t *textReporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Header().Set("Content-Type", contentType)
	out := bufio.NewWriter(w)
	for _, n := range sortedKeys(t.counters) {
		writeType(out, n, "counter")
		writeValue(out, n, float64(t.counters[n].Load()))
	}
	for _, n := range sortedKeys(t.gauges) {
		g := t.gauges[n]
		g.mu.Lock()
		writeType(out, n, "gauge")
		writeValue(out, n, g.v)
		g.mu.Unlock()
	}
	for _, n := range sortedKeys(t.histograms) {
		writeHistogram(out, n, t.histograms[n])
	}
	// An error means that the client closed the connection.
	_ = out.Flush()
}

func writeType(out *bufio.Writer, name, kind string) {
	_, _ = out.WriteString("# TYPE " + name + " " + kind + "\n")
}

func writeValue(out *bufio.Writer, name string, v float64) {
	_, _ = out.WriteString(name + " " + strconv.FormatFloat(v, 'g', -1, 64) + "\n")
}

func writeHistogram(out *bufio.Writer, name string, h *histogram) {
	writeType(out, name, "histogram")
	sort.Slice(h.buckets, func(a, b int) bool { return h.buckets[a].upper < h.buckets[b].upper })
	total := int64(0)
	for _, b := range h.buckets {
		total += b.samples.Load()
		writeValue(out, name+`_bucket{le="`+strconv.FormatFloat(b.upper, 'g', 4, 64)+`"}`, float64(total))
	}
	writeValue(out, name+`_bucket{le="+Inf"}`, float64(total))
	writeValue(out, name+"_count", float64(total))
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}
