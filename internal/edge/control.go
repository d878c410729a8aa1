package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/internal/stepback"
	"rosedale.dev/rosedale/platform"
)

const (
	// tickInterval is the interval of checks, of expiry and, in small fleets, of heartbeats
	// to the balancers of the own data centre.
	tickInterval = 100 * time.Millisecond
	// maintenanceTicks is the interval, in ticks, of the line that reports the number of
	// omitted log lines, and of other infrequent work.
	maintenanceTicks = 10
	// releaseInterval is the interval at which held packets are considered for release in
	// addition to each packet and tick, while there are any. It bounds the delay of waits that
	// end without a packet: pauses between the requests of small shares, and longest waits.
	releaseInterval = 5 * time.Millisecond
	// eventQueue is the capacity of the queue of the control goroutine. Heartbeats that
	// do not fit are dropped, as the next one repeats their content.
	eventQueue = 256
)

// control owns all control state. From run on its methods are called on one goroutine, the
// control goroutine, unless their comments say otherwise or they touch none of that state.
type control struct {
	edge    *Edge
	log     *logging.Logger
	store   *platform.Store
	checker *platform.Checker
	udp     *heartbeatConn
	srv     *http.Server
	fetch   *http.Client

	events   chan func()
	checkNow chan struct{} // signalled when a target has become due for a check
	heldNow  chan struct{} // signalled when packets are held after a time without any

	replica       *replica.Replica
	packer        peer.Packer
	firstCopyCtx  context.Context // of requests to the store and the sources for the first copy
	stopFirstCopy context.CancelFunc
	reader        replica.Reader
	fleet         *peer.Fleet
	fleetRevision int                   // revision of the fleet that the forwarder has; see updateFleet
	peers         map[string]*peerState // by name
	// unregistered holds the keys of balancers that send heartbeats although their
	// registration is gone.
	unregistered   map[string]bool
	readAt         time.Duration // when the next read of the store is due
	era            atomic.Int64  // of the replica
	settling       replica.Settling
	readDone       time.Duration // when the last successful read ended
	fetches        replica.Fetches
	underWay       map[int]*peerRequest // by replica.Fetch.ID
	wantsCopy      bool                 // the last changes of a peer were too large
	copyTooLarge   bool                 // so was a full copy
	lag            replica.Lag
	lagLogged      bool          // the present lag has been logged
	oldTurn        int           // selects the balancer to ask next while the replica is old
	answerBytes    atomic.Int64  // size of the answers on their way to peers
	copySlots      chan struct{} // has an element for each requested full copy being sent
	firstCopy      *replica.FirstCopy
	copyArrived    atomic.Int64  // when a part of a first copy arrived last, as time.Duration
	sourcesWritten time.Duration // when this balancer last wrote the sources; see writeSourcesIfDue
	version        int64         // of the catalogue in force
	lease          lease
	leaving        bool
	// stopAnnouncements is the number of announcements of the planned stop still to be sent.
	stopAnnouncements int
	alarmDue          bool          // a new suspicion or a dead target has to be reported
	alarmSent         time.Duration // when the last alarm was sent
	outcomesSent      time.Duration // see sendOutcomesIfDue
	stepBack          stepback.Decider
	ticks             int
	failedReads       failedReads
	listings          replica.Listings
	listing           listingJob // used by the read under way
	read              *storeRead // under way, or nil
	arrivals          arrivals
}

// peerState is the state of another balancer according to its heartbeats.
type peerState struct {
	last         peer.Heartbeat
	lastReceived time.Duration
}

func newControl(e *Edge) (*control, error) {
	udp, err := listenHeartbeats(e.boot.Control, e.log.Logger)
	if err != nil {
		return nil, err
	}
	c := &control{
		edge:      e,
		log:       e.log,
		store:     platform.NewStore(e.boot.Store),
		checker:   platform.NewChecker(),
		udp:       udp,
		fetch:     newFetchClient(),
		events:    make(chan func(), eventQueue),
		checkNow:  make(chan struct{}, 1),
		heldNow:   make(chan struct{}, 1),
		replica:   replica.New(platform.Significant),
		readDone:  replica.Never,
		fleet:     peer.NewFleet(e.member()),
		peers:     map[string]*peerState{},
		copySlots: make(chan struct{}, maxCopies(e.member())),
		firstCopy: replica.NewFirstCopy(e.boot.Control, rand.Float64()),

		unregistered: map[string]bool{},
		underWay:     map[int]*peerRequest{},
	}
	c.replica.LimitLog(logBytes(e.boot.MemoryMB))
	c.stepBack.Start(c.now())
	return c, c.serve()
}

func (c *control) close() {
	_ = c.udp.Close()
	_ = c.srv.Close()
}

func (c *control) now() time.Duration { return c.edge.now() }

// post runs f on the control goroutine. It may be called from any goroutine.
func (c *control) post(f func()) { c.events <- f }

// tryPost is like post, but drops f if the queue is full.
func (c *control) tryPost(f func()) {
	select {
	case c.events <- f:
	default:
		c.edge.counts.heartbeatsLost.Add(1)
	}
}

func (c *control) run(ctx context.Context) {
	go c.receive()
	c.firstCopyCtx, c.stopFirstCopy = context.WithCancel(ctx)
	defer c.stopFirstCopy()
	go c.lookUpSources(c.firstCopyCtx)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	release := time.NewTimer(releaseInterval)
	defer release.Stop()
	c.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			f()
		case <-c.checkNow:
			c.checkSuspects(ctx, c.now())
		case <-c.heldNow:
			release.Reset(releaseInterval)
		case <-release.C:
			if c.releaseHeld() {
				release.Reset(releaseInterval)
			}
		case <-t.C:
			c.tick(ctx)
		}
	}
}

// updateFleet passes the balancers of this data centre to the forwarder once there is a
// replica.
func (c *control) updateFleet() {
	revision := c.fleet.Revision()
	if !c.replica.Loaded() || revision == c.fleetRevision {
		return
	}
	c.fleetRevision = revision
	var others []string
	for _, a := range c.fleet.Near() {
		others = append(others, a.String())
	}
	c.edge.mu.Lock()
	defer c.edge.mu.Unlock()
	c.edge.forward.SetBalancers(c.edge.boot.Control.String(), others)
}

// tick does the periodic work of the control goroutine.
func (c *control) tick(ctx context.Context) {
	now := c.now()
	c.ticks++
	c.readIfDue(ctx, now)
	c.fetchIfOld(ctx, now)
	c.catchUp(ctx, now)
	age := c.replica.Age(now)
	c.edge.proven.Store(int64(now - age))
	c.era.Store(c.replica.Position().Era)
	c.reportLag(now)
	c.edge.logBytes.Store(int64(c.replica.LogBytes()))
	c.edge.times.age.RecordDuration(age)
	c.applyDeferredIfDue(now)
	c.lease.renewIfDue(ctx, c, now)
	c.updateFleet()
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
	outlierChanges := e.forward.OutlierChanges()
	released := e.takeReleased(now)
	e.mu.Unlock()
	e.packets.sendReleased(now, released)
	c.logOutliers(outlierChanges)
	c.checkSuspects(ctx, now)
	c.yieldIfOutnumbered(now)
	c.updateStepBack(ctx, now)
	if c.ticks%maintenanceTicks == 0 {
		c.forgetUnregistered()
		c.writeSourcesIfDue(ctx, now)
		c.logSaturation()
		c.log.ReportLost()
	}
	c.sendAlarmIfDue(now)
	c.sendOutcomesIfDue(now)
	c.announceStopIfDue(now)
	c.heartbeat(now)
}
