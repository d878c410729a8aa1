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
	// yielding tells that other data centres are to serve; see yieldIfOutnumbered.
	yielding atomic.Bool
}

func listenReady(e *Edge) (*ready, error) {
	ln, err := net.Listen("tcp4", e.boot.Ready.String())
	if err != nil {
		return nil, errors.Wrapf(err, "readiness: listen on %s", e.boot.Ready)
	}
	r := &ready{}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.now() {
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

// now reports whether the routers are told to send packets here.
func (r *ready) now() bool { return r.ok.Load() && !r.yielding.Load() }

// yields sets whether other data centres are to serve, and returns whether they
// were before.
func (r *ready) yields(on bool) bool { return r.yielding.Swap(on) }

func (r *ready) close() { _ = r.srv.Close() }
