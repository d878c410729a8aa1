package target

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/catalogue"
)

// Main runs the endpoints of a catalogue until ctx ends.
func Main(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("target", flag.ContinueOnError)
	dir := fs.String("catalogue", "", "folder of catalogue entries")
	dcs := fs.String("data-centers", "", "comma-separated data centres whose targets to run, all if empty")
	fabric := fs.String("fabric", "127.0.9.1:6083", "address at which the fabric receives targets' packets")
	control := fs.String("control", "127.0.9.2:8080", "address of the control endpoint")
	if err := fs.Parse(args); err != nil {
		return err
	}
	services, err := ReadDir(*dir)
	if err != nil {
		return err
	}
	fa, err := net.ResolveUDPAddr("udp", *fabric)
	if err != nil {
		return errors.Wrap(err, "target: fabric address")
	}
	rec := newRecords()
	var eps []*Endpoint
	for _, s := range services {
		for _, t := range s.Targets {
			if *dcs != "" && !strings.Contains(","+*dcs+",", ","+t.DataCenter+",") {
				continue
			}
			e, err := newEndpoint(ctx, s, t, fa, rec)
			if err != nil {
				return err
			}
			eps = append(eps, e)
		}
	}
	srv := &http.Server{Addr: *control, Handler: controlHandler(eps, rec)}
	go func() { <-ctx.Done(); _ = srv.Close() }()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "target: control endpoint")
	}
	return nil
}

// ReadDir parses every catalogue entry (*.toml) of a folder. It returns an error
// if the folder has none.
func ReadDir(dir string) ([]*catalogue.Service, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil || len(files) == 0 {
		return nil, errors.Errorf("catalogue folder %q has no entries", dir)
	}
	var out []*catalogue.Service
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.Wrap(err, "read catalogue entry")
		}
		s, err := catalogue.Parse(b)
		if err != nil {
			return nil, errors.Wrap(err, f)
		}
		out = append(out, s)
	}
	return out, nil
}

// Health is the answer of a target's health and load endpoint.
type Health struct {
	Healthy bool    `json:"healthy"`
	Load    float64 `json:"load"` // largest used share of a limit, 1 at the limit
}

// controlHandler serves the control endpoint: /executions (the runs of each request),
// /stats, /health, /set (replaces a target's injected faults) and /lose (drops all
// further packets of n open streams of a target).
func controlHandler(eps []*Endpoint, rec *Records) http.Handler {
	byAddr := map[netip.Addr]*Endpoint{}
	for _, e := range eps {
		byAddr[e.Target.Address] = e
	}
	find := func(w http.ResponseWriter, r *http.Request) *Endpoint {
		a, _ := netip.ParseAddr(r.PathValue("target"))
		if byAddr[a] == nil {
			http.NotFound(w, r)
		}
		return byAddr[a]
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(rec.snapshot())
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		out := []Stats{}
		for _, e := range eps {
			e.mu.Lock()
			out = append(out, e.stats)
			e.mu.Unlock()
		}
		_ = json.NewEncoder(w).Encode(out)
	})
	mux.HandleFunc("GET /health/{target}", func(w http.ResponseWriter, r *http.Request) {
		if e := find(w, r); e != nil {
			_ = json.NewEncoder(w).Encode(e.health())
		}
	})
	mux.HandleFunc("POST /set/{target}", func(w http.ResponseWriter, r *http.Request) {
		e := find(w, r)
		if e == nil {
			return
		}
		var b Behaviour
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		e.injected = b
		e.mu.Unlock()
	})
	mux.HandleFunc("POST /lose/{target}/{n}", func(w http.ResponseWriter, r *http.Request) {
		if e := find(w, r); e != nil {
			n, err := strconv.Atoi(r.PathValue("n"))
			if err != nil || !e.silenceStreams(n) {
				http.Error(w, "fewer streams are open than requested", http.StatusConflict)
			}
		}
	})
	return mux
}

func (e *Endpoint) health() Health {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.injected.Lie {
		return Health{Healthy: true}
	}
	slots := float64(e.stats.Slots) / float64(e.Service.Limits.Slots)
	conns := float64(e.stats.Streams) / float64(e.Service.Limits.Connections)
	return Health{Healthy: !e.injected.Sick && !e.injected.Paused, Load: max(slots, conns)}
}
