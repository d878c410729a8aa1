package edge

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/metrics"
)

// AdminPort is the port of a balancer's admin endpoint, at the VM's data address.
const AdminPort = "9464"

// Paths of the admin endpoint.
const (
	MetricsPath = "/metrics"
	StatusPath  = "/status"
	ExplainPath = "/explain"
)

// adminServer serves metrics, status and explanations of flows.
type adminServer struct{ srv *http.Server }

func serveAdmin(e *Edge, m *metrics.Collector) (*adminServer, error) {
	e.publish(m)
	addr := net.JoinHostPort(e.boot.Data.Addr().String(), AdminPort)
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "admin: listen on %s", addr)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(MetricsPath, func(w http.ResponseWriter, r *http.Request) {
		m.Collect()
		m.Handler().ServeHTTP(w, r)
	})
	mux.HandleFunc(StatusPath, func(w http.ResponseWriter, _ *http.Request) { e.writeJSON(w, e.control.status()) })
	mux.HandleFunc(ExplainPath, e.serveExplain)
	s := &adminServer{srv: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}}
	go func() {
		if err := s.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("admin: server ended", zap.Error(err))
		}
	}()
	return s, nil
}

func (s *adminServer) close() { _ = s.srv.Close() }

func (e *Edge) serveExplain(w http.ResponseWriter, r *http.Request) {
	k, err := parseFlow(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	x := e.forward.Explain(e.now(), k)
	e.mu.Unlock()
	e.writeJSON(w, x)
}

func parseFlow(r *http.Request) (direct.FlowKey, error) {
	var k direct.FlowKey
	for _, f := range []struct {
		name string
		into *netip.AddrPort
	}{{"caller", &k.Caller}, {"address", &k.Address}} {
		a, err := netip.ParseAddrPort(r.URL.Query().Get(f.name))
		if err != nil || !a.Addr().Is4() {
			return k, errors.Errorf("%s: %q is not an IPv4 address with a port", f.name, r.URL.Query().Get(f.name))
		}
		*f.into = a
	}
	return k, nil
}

func (e *Edge) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		e.log.Warn("admin: answer not delivered", zap.Error(err))
	}
}
