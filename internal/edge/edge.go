// Package edge implements the daemon rosedale-edge, a balancer whose targets answer callers
// directly. One goroutine forwards packets and one owns all control state; package direct
// decides on packets. The other goroutines wait for the network and pass their results to
// the control goroutine.
package edge

import (
	"context"
	"net"
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
	// flowBytes is the approximate memory use of a flow in the table, including the
	// overhead of the map.
	flowBytes = 400
	// flowShare is the divisor of the memory limit that gives the share for flows.
	flowShare = 4
	// stopQuiet is the time without packets after which a planned stop ends. The routers
	// use other balancers by then, as a VM receives hundreds of packets per second.
	stopQuiet = 200 * time.Millisecond
	// minStop is the minimum duration of a planned stop. It is how long the routers take
	// to detect that a balancer is not ready: two failed probes, half a second apart, and
	// a margin. With a longer minimum, stops would overlap when a data centre's balancers
	// are restarted 1.2 s apart. If more than half of them are not ready, the routers use
	// all of them, including those that have ended.
	minStop = 1100 * time.Millisecond
	// stopReserve is the part of the grace period that is reserved for the exit of the
	// process.
	stopReserve = time.Second
)

// Edge is a running balancer.
type Edge struct {
	boot    platform.Boot
	without direct.MechanismSet // feature switches that are off
	log     *logging.Logger
	start   time.Time

	mu      sync.Mutex // guards forward and held
	forward *direct.Forwarder
	held    heldPackets

	packets  *packets
	control  *control
	ready    *ready
	times    *times
	gates    *gateMetrics
	stopping atomic.Bool  // a planned stop has begun
	proven   atomic.Int64 // when the replica was last known to be current, as time.Duration since start
	behind   atomic.Int64 // how long the replica has lacked a change that a peer has, as time.Duration
	// readsFailedHere counts the reads of the store that failed in a row at the replica's position.
	readsFailedHere atomic.Int64
	logBytes        atomic.Int64 // memory use of the changes that are kept for peers, in bytes
	counts          counts
	failed          chan error // receives the error of a socket that cannot be read any more
	listen          ListenFunc // for connections of other balancers
}

// ListenFunc opens a listening socket, as net.Listen does.
type ListenFunc func(network, address string) (net.Listener, error)

// Option changes how a balancer runs.
type Option func(*Edge)

// WithListen sets how the socket for connections of other balancers is opened.
func WithListen(listen ListenFunc) Option { return func(e *Edge) { e.listen = listen } }

// Run runs a balancer until ctx ends, and then stops it gracefully. It returns early if a
// socket cannot be read for readfail.Limit. without are the feature switches that are off.
func Run(ctx context.Context, boot platform.Boot, without direct.MechanismSet, log *logging.Logger, options ...Option) error {
	e := &Edge{boot: boot, without: without, log: log, start: time.Now(), failed: make(chan error, 1), listen: net.Listen}
	for _, o := range options {
		o(e)
	}
	m := metrics.New()
	e.times = newTimes(m)
	e.gates = newGateMetrics(e, m)
	e.forward = direct.New(direct.Config{
		DataCenter: boot.DataCenter,
		FlowMaxAge: boot.FlowMaxAge,
		Heartbeat:  boot.Heartbeat,
		Drain:      boot.Drain,
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
	select {
	case err := <-e.failed:
		return err
	case <-ctx.Done():
	}
	e.leave()
	return nil
}

// now returns the time since the start, on the monotonic clock.
func (e *Edge) now() time.Duration { return time.Since(e.start) }

// leave performs a planned stop: it informs the routers and keeps forwarding packets
// until they use other balancers.
func (e *Edge) leave() {
	began := e.now()
	e.log.Info("stopping", zap.Int("flows", e.flows()))
	e.stopping.Store(true)
	e.ready.set(false)
	e.control.leave()
	last := e.boot.Grace - stopReserve
	for {
		time.Sleep(stopQuiet / 4)
		now := e.now()
		quiet := now - e.packets.lastAt()
		if now-began > last || now-began > minStop && quiet > stopQuiet {
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
