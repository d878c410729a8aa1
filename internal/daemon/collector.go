package daemon

import (
	"time"

	"rosedale.dev/rosedale/internal/control"
	"rosedale.dev/rosedale/internal/forward"
	"rosedale.dev/rosedale/internal/keys"
	"rosedale.dev/rosedale/internal/link"
	"rosedale.dev/rosedale/internal/metrics"
	"rosedale.dev/rosedale/internal/router"
	"rosedale.dev/rosedale/internal/wire"
)

// newCollector returns a collector with the metrics of all components. ln is nil if the
// balancer runs alone.
func newCollector(r *router.Router, p *forward.Plane, l *control.Loop, ln *link.Link, files keys.Files) *metrics.Collector {
	m := metrics.New()
	for _, reason := range router.Reasons() {
		m.Counter("packets_"+reason.String(), func() uint64 { return r.Count(reason) })
	}
	m.Counter("data_received", p.Received.Load)
	m.Counter("data_sent", p.Sent.Load)
	m.Counter("data_send_errors", p.SendErrors.Load)
	m.Counter("data_read_errors", p.ReadErrors.Load)
	m.Gauge("flows", func() float64 { return float64(r.Flows()) })
	m.Counter("control_pauses", l.Count.Pauses.Load)
	m.Counter("control_flows_handed_over", l.Count.HandedOver.Load)
	m.Counter("control_flows_taken_over", l.Count.TakenOver.Load)
	m.Counter("store_reads", l.Count.StoreReads.Load)
	m.Counter("store_errors", l.Count.StoreErrors.Load)
	m.Counter("health_checks", l.Count.HealthChecks.Load)
	m.Counter("health_errors", l.Count.HealthErrors.Load)
	m.Counter("health_fail_open", l.Count.FailOpen.Load)
	if ln != nil {
		m.Counter("link_bytes_in", ln.Count.BytesIn.Load)
		m.Counter("link_bytes_out", ln.Count.BytesOut.Load)
		m.Counter("link_messages", ln.Count.Messages.Load)
		for k := wire.Ping; int(k) < wire.Kinds; k++ {
			m.Counter("link_sent_"+k.String(), ln.Count.Sent[k].Load)
		}
		m.Counter("link_dials", ln.Count.Dials.Load)
		m.Counter("link_dial_errors", ln.Count.DialErrors.Load)
		m.Counter("link_refused", ln.Count.Refused.Load)
		m.Counter("link_renewed", ln.Count.Renewed.Load)
		m.Counter("link_unanswered", ln.Count.Unanswered.Load)
		m.Counter("link_replaced", ln.Count.Replaced.Load)
		m.Gauge("link_certificate_seconds", func() float64 { return files.RemainingValidity(time.Now()).Seconds() })
		m.Counter("link_send_errors", ln.Count.SendErrors.Load)
		m.Counter("link_undecodable", ln.Count.Undecodable.Load)
		m.Counter("link_overflow", ln.Count.Overflow.Load)
	}
	return m
}
