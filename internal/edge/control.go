package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/platform"
)

const (
	// tickInterval paces heartbeats to balancers near by, checks and expiry.
	tickInterval = 100 * time.Millisecond
	// lossTicks paces the line that says how many others were left out.
	lossTicks = 10
	// eventQueue holds what waits for the control goroutine. Heartbeats that
	// do not fit are dropped, as the next one repeats them.
	eventQueue = 256
)

// control owns all control state. Its methods run on one goroutine, but for
// those that say otherwise.
type control struct {
	edge    *Edge
	log     *logging.Logger
	store   *platform.Store
	checker *platform.Checker
	udp     *net.UDPConn
	srv     *http.Server
	fetch   *http.Client

	events chan func()
	look   chan struct{} // a target has become suspicious

	replica   *replica.Replica
	packer    peer.Packer
	firstCtx  context.Context // of all that asks for the first copy
	stopFirst context.CancelFunc
	reader    replica.Reader
	fleet     *peer.Fleet
	fleetTold int                   // revision of it that the forwarder has; see tellFleet
	peers     map[string]*neighbour // by name
	// unregistered are the keys of members without a registration that are heard.
	unregistered map[string]bool
	readAt       time.Duration // when the next read of the store is due
	readBusy     bool
	era          atomic.Int64 // of the copy
	settling     replica.Settling
	readDone     time.Duration
	fetchBusy    bool
	askTurn      int           // which balancer to ask next
	fulls        chan struct{} // holds one for each full copy that is being sent
	first        *replica.FirstCopy
	sourcesTold  time.Duration // when this balancer last wrote them; see tellSourcesIfDue
	version      int64         // of the catalogue in force
	lease        lease
	leaving      bool
	alarmDue     bool          // a suspicion is to be told
	alarmed      time.Duration // when the last one was
	outcomesTold time.Duration // see outcomesIfDue
	ticks        int
	storeLost    bool
}

// neighbour is another balancer as its heartbeats show it.
type neighbour struct {
	last  peer.Heartbeat
	heard time.Duration
}

func newControl(e *Edge) (*control, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.boot.Control))
	if err != nil {
		return nil, errors.Wrapf(err, "control: listen on %s", e.boot.Control)
	}
	c := &control{
		edge:    e,
		log:     e.log,
		store:   platform.NewStore(e.boot.Store),
		checker: platform.NewChecker(),
		udp:     udp,
		fetch:   newFetchClient(),
		events:  make(chan func(), eventQueue),
		look:    make(chan struct{}, 1),
		replica: replica.New(platform.Significant),
		fleet:   peer.NewFleet(e.member()),
		peers:   map[string]*neighbour{},
		fulls:   make(chan struct{}, fullCopies(e.member())),
		first:   replica.NewFirstCopy(e.boot.Control, rand.Float64()),

		unregistered: map[string]bool{},
	}
	return c, c.serve()
}

func (c *control) close() {
	_ = c.udp.Close()
	_ = c.srv.Close()
}

func (c *control) now() time.Duration { return c.edge.now() }

// post hands f to the control goroutine. It is for other goroutines.
func (c *control) post(f func()) { c.events <- f }

// offer is post for what may be lost.
func (c *control) offer(f func()) {
	select {
	case c.events <- f:
	default:
		c.edge.counts.heartbeatsLost.Add(1)
	}
}

func (c *control) run(ctx context.Context) {
	go c.receive()
	c.firstCtx, c.stopFirst = context.WithCancel(ctx)
	defer c.stopFirst()
	go c.lookUpSources(c.firstCtx)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	c.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			f()
		case <-c.look:
			c.checkSuspects(ctx, c.now())
		case <-t.C:
			c.tick(ctx)
		}
	}
}

// tellFleet tells the forwarder which balancers of its data centre there are, once a copy
// of the store says so.
func (c *control) tellFleet() {
	revision := c.fleet.Revision()
	if !c.replica.Loaded() || revision == c.fleetTold {
		return
	}
	c.fleetTold = revision
	var others []string
	for _, a := range c.fleet.Near() {
		others = append(others, a.String())
	}
	c.edge.mu.Lock()
	defer c.edge.mu.Unlock()
	c.edge.forward.SetBalancers(c.edge.boot.Control.String(), others)
}

func (c *control) tick(ctx context.Context) {
	now := c.now()
	c.ticks++
	c.readIfDue(ctx, now)
	c.fetchIfOld(ctx, now)
	age := c.replica.Age(now)
	c.edge.proven.Store(int64(now - age))
	c.era.Store(c.replica.Position().Era)
	c.edge.times.age.RecordDuration(age)
	c.settleIfDue(now)
	c.lease.renewIfDue(ctx, c, now)
	c.tellFleet()
	e := c.edge
	e.mu.Lock()
	e.forward.SetListCompleteAt(c.settling.Proven(now, now-age))
	if c.fleet.Small() {
		e.forward.SetFlowSpread(1)
		e.forward.SetPeerLoads(c.peerLoads(now))
	} else {
		e.forward.SetFlowSpread(len(c.fleet.Near()) + 1)
	}
	e.forward.SetPeerOutcomes(c.peerOutcomes(now), len(c.fleet.Near())+1)
	e.forward.Tick(now)
	grades := e.forward.OutlierChanges()
	e.mu.Unlock()
	c.logGrades(grades)
	c.checkSuspects(ctx, now)
	c.yieldIfOutnumbered(now)
	if c.ticks%lossTicks == 0 {
		c.forgetUnregistered()
		c.tellSourcesIfDue(ctx, now)
		c.log.ReportLost()
	}
	c.alarmIfDue(now)
	c.outcomesIfDue(now)
	c.heartbeat(now)
}
