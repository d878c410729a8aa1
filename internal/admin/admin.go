// Package admin implements the operators' HTTP endpoint of rosedaled: health and
// readiness, metrics, status, flows and explanations. The endpoint is read-only.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"strconv"
	"time"

	"rosedale.dev/rosedale/internal/control"
	"rosedale.dev/rosedale/internal/router"
)

const (
	// maxFlows bounds the number of flows in a response of /flows.
	maxFlows = 10000
	// queryTimeout bounds the wait for the control goroutine.
	queryTimeout = 2 * time.Second
)

// Source provides the daemon's state.
type Source interface {
	// Status returns the current state, or an error if ctx ends first.
	Status(ctx context.Context) (control.Status, error)
	// Ready reports whether the fabric may send packets to this balancer.
	Ready(ctx context.Context) bool
}

// Handler returns the endpoint's handler. now is the router's clock: the time since the data
// path started.
func Handler(s Source, r *router.Router, now func() time.Duration, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithTimeout(req.Context(), queryTimeout)
		defer cancel()
		if _, err := s.Status(ctx); err != nil {
			http.Error(w, "control does not answer", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithTimeout(req.Context(), queryTimeout)
		defer cancel()
		if !s.Ready(ctx) {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithTimeout(req.Context(), queryTimeout)
		defer cancel()
		st, err := s.Status(ctx)
		if err != nil {
			http.Error(w, "control does not answer", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, st)
	})
	mux.HandleFunc("GET /flows", func(w http.ResponseWriter, req *http.Request) { serveFlows(w, req, r, now()) })
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, req *http.Request) { serveExplanation(w, req, r, now()) })
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func serveFlows(w http.ResponseWriter, req *http.Request, r *router.Router, now time.Duration) {
	q := req.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxFlows {
		limit = maxFlows
	}
	target, state := q.Get("target"), q.Get("state")
	list := r.FlowList(now, limit, func(f router.FlowInfo) bool {
		return (target == "" || f.Target == target) && (state == "" || f.State == state)
	})
	writeJSON(w, list)
}

// serveExplanation explains the choice of a target for a new flow. Without a caller in the
// query, it uses an address that is reserved for documentation (TEST-NET-1).
func serveExplanation(w http.ResponseWriter, req *http.Request, r *router.Router, now time.Duration) {
	q := req.URL.Query()
	addr, err := netip.ParseAddrPort(q.Get("address"))
	if err != nil {
		http.Error(w, "address: "+err.Error(), http.StatusBadRequest)
		return
	}
	caller := netip.MustParseAddrPort("192.0.2.1:40000")
	if c := q.Get("caller"); c != "" {
		if caller, err = netip.ParseAddrPort(c); err != nil {
			http.Error(w, "caller: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	x, ok := r.Explain(now, caller, addr)
	if !ok {
		http.Error(w, "no service has this address", http.StatusNotFound)
		return
	}
	writeJSON(w, x)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
