// Package daemon assembles the components of rosedaled and runs them until a planned
// stop. The components make all decisions.
package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/admin"
	"rosedale.dev/rosedale/internal/control"
	"rosedale.dev/rosedale/internal/forward"
	"rosedale.dev/rosedale/internal/link"
	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/internal/metrics"
	"rosedale.dev/rosedale/internal/router"
	"rosedale.dev/rosedale/internal/settings"
	"rosedale.dev/rosedale/internal/store"
)

// linkCloseTimeout limits the time for closing the connections to other balancers.
const linkCloseTimeout = time.Second

// Run runs a balancer until ctx ends, and then hands its flows over and stops. It returns
// early if the admin endpoint fails or packets cannot be read for readfail.Limit.
func Run(ctx context.Context, set settings.Settings, log *logging.Logger) error {
	r := router.New(set.Router())
	plane, err := forward.New(forward.Config{
		Listen:     set.Data.Listen,
		Fabric:     set.Fabric.Address,
		Sources:    set.Fabric.Sources,
		Workers:    set.Data.Workers,
		Decided:    func(d *router.Decision) { logDecision(log.Logger, d) },
		ReadFailed: func(err error) { log.Warn("packets cannot be read", zap.Error(err)) },
	}, r, time.Now())
	if err != nil {
		return err
	}
	defer plane.Close()
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	ln, closed, err := openLink(loopCtx, set, log.Logger)
	if err != nil {
		return err
	}
	defer func() { stop(); waitClosed(closed, log.Logger) }()
	loop := control.New(set, log.Logger, r, plane, ln, openStore(set))
	m := newCollector(r, plane, loop, ln, set.Keys)
	m.Counter("log_lines_lost", log.Lost)
	defer func() { _ = m.Close() }()
	srv := &http.Server{
		Addr:              set.Admin.Listen.String(),
		Handler:           admin.Handler(loop, r, plane.Now, m.Handler()),
		ReadHeaderTimeout: 5 * time.Second,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.ListenAndServe() }()
	defer func() { _ = srv.Close() }()
	plane.Start()
	go loop.Run(loopCtx)
	go collectMetrics(loopCtx, m, log)
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "daemon: admin endpoint")
	case err := <-plane.Failed():
		return errors.Wrap(err, "daemon: data path")
	case <-ctx.Done():
	}
	loop.Leave(loopCtx)
	return nil
}

// openLink opens the link to other balancers and runs it until ctx ends. The channel is
// closed when the link has closed its connections. The link is nil if the settings contain
// no control address: the balancer then runs alone.
func openLink(ctx context.Context, set settings.Settings, log *zap.Logger) (*link.Link, <-chan struct{}, error) {
	closed := make(chan struct{})
	if !set.Control.Listen.IsValid() {
		close(closed)
		return nil, closed, nil
	}
	ln, err := link.New(set.Control.Listen, set.Keys, log)
	if err != nil {
		return nil, nil, err
	}
	go func() {
		defer close(closed)
		if err := ln.Run(ctx); err != nil {
			log.Error("control socket failed", zap.Error(err))
		}
	}()
	return ln, closed, nil
}

// waitClosed waits until the link has closed its connections. Otherwise the process could
// end before the peers have been sent the close, and they would send to the connections of
// a process that no longer exists.
func waitClosed(closed <-chan struct{}, log *zap.Logger) {
	select {
	case <-closed:
	case <-time.After(linkCloseTimeout):
		log.Warn("connections to other balancers are not closed in time")
	}
}

// openStore returns the store's client, or nil if a catalogue folder replaces the store.
func openStore(set settings.Settings) store.Store {
	if set.Store.URL == "" {
		return nil
	}
	return store.NewConsul(set.Store.URL, set.Store.Token)
}

func collectMetrics(ctx context.Context, m *metrics.Collector, log *logging.Logger) {
	t := time.NewTicker(metrics.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.Collect()
			log.ReportLost()
		}
	}
}
