package edge

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/platform"
)

// ready answers the routers whether this balancer takes packets.
type ready struct {
	srv *http.Server
	ok  atomic.Bool
}

func listenReady(e *Edge) (*ready, error) {
	ln, err := net.Listen("tcp4", e.boot.Ready.String())
	if err != nil {
		return nil, errors.Wrapf(err, "readiness: listen on %s", e.boot.Ready)
	}
	r := &ready{}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.ok.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	r.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		if err := r.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("readiness: server ended", zap.Error(err))
		}
	}()
	return r, nil
}

func (r *ready) set(ok bool) { r.ok.Store(ok) }

func (r *ready) close() { _ = r.srv.Close() }
