// Package edge is the daemon of a balancer whose targets answer callers
// themselves. One goroutine forwards packets, one owns all control state; the
// rest waits for the network and hands what it got to control.
package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/internal/metrics"
	"rosedale.dev/rosedale/platform"
)

const (
	// flowBytes is about what a flow costs in the table, with the map's slack.
	flowBytes = 400
	// flowShare of the memory limit may be taken by flows.
	flowShare = 4
	// stopQuiet ends a planned stop once no packet has come for so long: the
	// routers have found other balancers by then. A VM gets hundreds a second.
	stopQuiet = 200 * time.Millisecond
	// stopLeast is how long the routers take to notice that a balancer is not
	// ready: two misses, half a second apart, and some room. Longer stops overlap
	// when a data centre's balancers are restarted 1.2 s apart; with more than
	// half of them away the routers use all, also those that have ended.
	stopLeast = 1100 * time.Millisecond
	// stopReserve of the grace period is left for ending.
	stopReserve = time.Second
)

// Edge is a running balancer.
type Edge struct {
	boot    platform.Boot
	without direct.MechanismSet // those that are switched off
	log     *logging.Logger
	start   time.Time

	mu      sync.Mutex // guards forward
	forward *direct.Forwarder

	packets *packets
	control *control
	ready   *ready
	times   *times
	left    atomic.Bool  // a planned stop has begun
	proven  atomic.Int64 // when the copy of the store was last known to be current
	counts  counts
}

// Run runs a balancer without some mechanisms until ctx ends, and then stops it
// gracefully.
func Run(ctx context.Context, boot platform.Boot, without direct.MechanismSet, log *logging.Logger) error {
	e := &Edge{boot: boot, without: without, log: log, start: time.Now()}
	m := metrics.New()
	e.times = newTimes(m)
	e.forward = direct.New(direct.Config{
		DataCenter: boot.DataCenter,
		FlowMaxAge: boot.FlowMaxAge,
		MaxFlows:   max(boot.MemoryMB<<20/flowShare/flowBytes, 1000),
		Seed:       uint64(e.start.UnixNano()),
		Times:      e.times,
		Without:    without,
	})
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var err error
	if e.packets, err = listenPackets(e); err != nil {
		return err
	}
	defer e.packets.close()
	if e.control, err = newControl(e); err != nil {
		return err
	}
	defer e.control.close()
	if e.ready, err = listenReady(e); err != nil {
		return err
	}
	defer e.ready.close()
	admin, err := serveAdmin(e, m)
	if err != nil {
		return err
	}
	defer admin.close()
	log.Info("started", zap.Stringer("data", boot.Data), zap.Stringer("store", boot.Store), zap.Int("seeds", len(boot.Seeds)), zap.Stringer("without", without))
	go e.control.run(work)
	go e.packets.run()
	<-ctx.Done()
	e.leave()
	return nil
}

// now is the time since the start, on the monotonic clock.
func (e *Edge) now() time.Duration { return time.Since(e.start) }

// leave ends a planned stop: the routers are told first, and packets are
// forwarded until they have gone elsewhere.
func (e *Edge) leave() {
	began := e.now()
	e.log.Info("stopping", zap.Int("flows", e.flows()))
	e.left.Store(true)
	e.ready.set(false)
	e.control.leave()
	last := e.boot.Grace - stopReserve
	for {
		time.Sleep(stopQuiet / 4)
		now := e.now()
		quiet := now - e.packets.lastAt()
		if now-began > last || now-began > stopLeast && quiet > stopQuiet {
			break
		}
	}
	e.log.Info("stopped", zap.Duration("after", e.now()-began))
}

func (e *Edge) flows() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.forward.Flows()
}
