package edge

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/stepback"
	"rosedale.dev/rosedale/platform"
)

// ready answers the routers' readiness probes.
type ready struct {
	srv *http.Server
	ok  atomic.Bool // this balancer can serve
	// yielding is set if other data centres should serve; see yieldIfOutnumbered.
	yielding atomic.Bool
	// steppedBack is the stepback.Reason for which other data centres should serve.
	steppedBack atomic.Uint32
}

func listenReady(e *Edge) (*ready, error) {
	ln, err := net.Listen("tcp4", e.boot.Ready.String())
	if err != nil {
		return nil, errors.Wrapf(err, "readiness: listen on %s", e.boot.Ready)
	}
	r := &ready{}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.isReady() {
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

// isReady reports whether the routers should send packets to this balancer.
func (r *ready) isReady() bool {
	return r.ok.Load() && !r.yielding.Load() && r.stepBackReason() == stepback.None
}

// setYielding sets whether other data centres should serve, and returns the previous
// value.
func (r *ready) setYielding(on bool) bool { return r.yielding.Swap(on) }

func (r *ready) setSteppedBack(why stepback.Reason) { r.steppedBack.Store(uint32(why)) }

// stepBackReason returns the reason for which this balancer has stepped back, if it has.
func (r *ready) stepBackReason() stepback.Reason { return stepback.Reason(r.steppedBack.Load()) }

func (r *ready) close() { _ = r.srv.Close() }
