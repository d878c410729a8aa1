package edge

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/metrics"
)

// MetricsPort and MetricsPath are where metrics are served, at the VM's address.
const (
	MetricsPort = "9464"
	MetricsPath = "/metrics"
)

// metricsServer serves counters and levels.
type metricsServer struct {
	srv *http.Server
}

func serveMetrics(e *Edge) (*metricsServer, error) {
	m := metrics.New()
	e.publish(m)
	addr := net.JoinHostPort(e.boot.Data.Addr().String(), MetricsPort)
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "metrics: listen on %s", addr)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(MetricsPath, func(w http.ResponseWriter, r *http.Request) {
		m.Collect()
		m.Handler().ServeHTTP(w, r)
	})
	s := &metricsServer{srv: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}}
	go func() {
		if err := s.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("metrics: server ended", zap.Error(err))
		}
	}()
	return s, nil
}

func (s *metricsServer) close() { _ = s.srv.Close() }

func (e *Edge) publish(m *metrics.Collector) {
	for _, r := range direct.Reasons() {
		m.Counter("packets_"+r.String(), func() uint64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.forward.Count(r)
		})
	}
	m.Gauge("flows", func() float64 { return float64(e.flows()) })
	n := &e.counts
	m.Counter("socket_read_errors", n.readErrors.Load)
	m.Counter("socket_send_errors", n.sendErrors.Load)
	m.Counter("heartbeats_sent", n.heartbeatsSent.Load)
	m.Counter("heartbeats_lost", n.heartbeatsLost.Load)
	m.Counter("heartbeats_undecodable", n.badHeartbeats.Load)
	m.Counter("items_unusable", n.badItems.Load)
	m.Counter("store_calls", e.control.store.Calls.Load)
	m.Counter("store_read_failures", n.readFailures.Load)
	m.Counter("peer_fetch_failures", n.fetchFailures.Load)
	m.Counter("lease_failures", n.leaseFailures.Load)
	m.Counter("checks", n.checks.Load)
	m.Counter("checks_failed", n.checksFailed.Load)
	m.Counter("log_lines_lost", n.logLinesLost.Load)
}
