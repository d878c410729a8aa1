package edge

import (
	"time"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/metrics"
	"rosedale.dev/rosedale/platform"
)

func (e *Edge) publish(m *metrics.Collector) {
	for _, r := range direct.Reasons() {
		m.Counter("packets_"+r.String(), e.locked(func() uint64 { return e.forward.Count(r) }))
	}
	for _, a := range direct.Answers() {
		m.Counter("answers_"+a.String(), e.locked(func() uint64 { return e.forward.CountAnswers(a) }))
	}
	m.Gauge("flows", func() float64 { return float64(e.flows()) })
	m.Gauge("copy_age_seconds", func() float64 { return (e.now() - time.Duration(e.proven.Load())).Seconds() })
	m.Gauge("copy_behind_seconds", func() float64 { return time.Duration(e.behind.Load()).Seconds() })
	m.Counter("copy_lags", e.counts.lags.Load)
	m.Gauge("store_era", func() float64 { return float64(e.control.era.Load()) })
	m.Counter("early_openings_dropped", e.packets.early.dropped.Load)
	m.Gauge("stepped_back", func() float64 { return float64(e.ready.stepBackReason()) })
	n := &e.counts
	m.Gauge("packets_held", func() float64 { return float64(e.heldCount()) })
	m.Counter("packets_held_lost", n.heldLost.Load)
	m.Counter("socket_read_errors", n.readErrors.Load)
	m.Counter("socket_send_errors", n.sendErrors.Load)
	m.Counter("heartbeats_sent", n.heartbeatsSent.Load)
	m.Counter("heartbeats_lost", n.heartbeatsLost.Load)
	m.Counter("heartbeats_undecodable", n.invalidHeartbeats.Load)
	m.Counter("items_unusable", n.invalidItems.Load)
	m.Counter("store_calls", e.control.store.Calls)
	m.Counter("store_hedges", e.control.store.Hedges)
	m.Counter("store_read_failures", n.readFailures.Load)
	for _, f := range platform.Failures() {
		m.Counter("store_read_failures_"+f.String(), n.readFailuresBy[f].Load)
	}
	m.Gauge("store_reads_failed_here", func() float64 { return float64(e.readsFailedHere.Load()) })
	m.Counter("store_reads_too_large", n.readsTooLarge.Load)
	m.Counter("store_listings_late", n.listingsLate.Load)
	m.Counter("store_reads_outdated", n.readsOutdated.Load)
	m.Counter("store_listings_failed", n.listingsFailed.Load)
	m.Counter("store_eras_begun", n.erasBegun.Load)
	m.Counter("listings_outdated", n.listingsOutdated.Load)
	m.Counter("catalogues_older", n.cataloguesOlder.Load)
	m.Counter("peer_fetch_failures", n.fetchFailures.Load)
	m.Counter("peer_fetch_hedges", n.fetchHedges.Load)
	m.Counter("peer_changes_too_large", n.changesTooLarge.Load)
	m.Counter("peer_answers_refused", n.answersRefused.Load)
	m.Gauge("log_bytes", func() float64 { return float64(e.logBytes.Load()) })
	m.Counter("copies_sent", n.copiesSent.Load)
	m.Counter("copies_refused", n.copiesRefused.Load)
	m.Counter("lease_failures", n.leaseFailures.Load)
	m.Counter("checks", n.checks.Load)
	m.Counter("checks_failed", n.checksFailed.Load)
	m.Counter("changes_applied", n.changes.Load)
	m.Counter("log_lines_lost", e.log.Lost)
}

// locked wraps a function that reads the forwarder's counters so that it holds the
// forwarder's lock.
func (e *Edge) locked(read func() uint64) func() uint64 {
	return func() uint64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return read()
	}
}
