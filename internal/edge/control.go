package edge

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/platform"
)

const (
	// tickInterval paces heartbeats to balancers near by, checks and expiry.
	tickInterval = 100 * time.Millisecond
	// maxTargetLines is the number of changes at once of which each has a line of
	// its own. More of them are a listing, which has one line for all: its lines
	// would be left out by their bound and hide the others of that second.
	maxTargetLines = 50
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
	log     *Logger
	store   *platform.Store
	checker *platform.Checker
	udp     *net.UDPConn
	srv     *http.Server
	fetch   *http.Client

	events chan func()
	look   chan struct{} // a target has become suspicious

	replica  *replica.Replica
	packer   peer.Packer
	stopRead context.CancelFunc // of the first read, while it runs
	reader   replica.Reader
	fleet    *peer.Fleet
	peers    map[string]*neighbour // by name
	// unregistered are the keys of members without a registration that are heard.
	unregistered map[string]bool
	readAt       time.Duration // when the next read of the store is due
	readBusy     bool
	readDone     time.Duration
	fetchBusy    bool
	askTurn      int          // which balancer to ask next
	fulls        atomic.Int64 // full copies being sent
	version      int64        // of the catalogue in force
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
		fetch:   &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableCompression: true, IdleConnTimeout: time.Minute}},
		events:  make(chan func(), eventQueue),
		look:    make(chan struct{}, 1),
		replica: replica.New(platform.Significant),
		fleet:   peer.NewFleet(e.member()),
		peers:   map[string]*neighbour{},

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

func (c *control) tick(ctx context.Context) {
	now := c.now()
	c.ticks++
	c.readIfDue(ctx, now)
	c.fetchIfOld(ctx, now)
	age := c.replica.Age(now)
	c.edge.proven.Store(int64(now - age))
	c.edge.times.age.RecordDuration(age)
	c.lease.renewIfDue(ctx, c, now)
	e := c.edge
	e.mu.Lock()
	e.forward.SetProven(now - age)
	if c.fleet.Small() {
		e.forward.SetHomes(1)
		e.forward.SetPeerLoads(c.peerLoads(now))
	} else {
		e.forward.SetHomes(len(c.fleet.Near()) + 1)
	}
	e.forward.SetPeerOutcomes(c.peerOutcomes(now), len(c.fleet.Near())+1)
	e.forward.Tick(now)
	grades := e.forward.GradeNews()
	e.mu.Unlock()
	c.logGrades(grades)
	c.checkSuspects(ctx, now)
	c.yieldIfOutnumbered(now)
	if c.ticks%lossTicks == 0 {
		c.forgetUnregistered()
		c.log.reportLost()
	}
	c.alarmIfDue(now)
	c.outcomesIfDue(now)
	c.heartbeat(now)
}

// apply puts changes of the copy in force.
func (c *control) apply(items []replica.Item, source string) {
	now := c.now()
	listing := len(items) > maxTargetLines
	if listing {
		c.log.Info("listing", zap.Int("items", len(items)), zap.String("source", source), zap.Int64("position", c.replica.Position()))
	}
	c.edge.counts.changes.Add(uint64(len(items)))
	var catalogue *replica.Item
	for _, i := range items {
		switch {
		case i.Key == platform.CatalogueKey:
			catalogue = &i
		case strings.HasPrefix(i.Key, platform.TargetPrefix):
			c.applyTarget(now, i, source, !listing)
		case strings.HasPrefix(i.Key, platform.MemberPrefix):
			c.applyMember(i)
		}
	}
	if c.replica.Loaded() {
		// Packets of open flows need no catalogue, which takes 80 ms to decode
		// if it is large and the VM small.
		c.edge.packets.begin()
	}
	if catalogue != nil {
		c.applyCatalogue(*catalogue, source)
	}
	if c.version > 0 {
		c.edge.becomeReady()
	}
}

func (c *control) applyCatalogue(i replica.Item, source string) {
	if i.Deleted {
		c.log.Error("catalogue was removed; the last version stays in force", zap.Int64("revision", i.Revision))
		return
	}
	cat, err := platform.ParseCatalogue(i.Value)
	if err != nil {
		c.edge.counts.badItems.Add(1)
		c.log.Error("catalogue is not usable; the last version stays in force", zap.Int64("revision", i.Revision), zap.Error(err))
		return
	}
	c.edge.mu.Lock()
	c.edge.forward.SetCatalogue(cat)
	c.edge.mu.Unlock()
	c.log.Info("catalogue in force", zap.Int64("version", cat.Version), zap.Int64("before", c.version),
		zap.Int64("revision", i.Revision), zap.String("source", source), zap.Int("routes", len(cat.Routes)))
	c.version = cat.Version
}

// applyTarget takes a target's registration or its end; tell has it logged.
func (c *control) applyTarget(now time.Duration, i replica.Item, source string, tell bool) {
	if i.Deleted {
		c.removeTarget(now, i, source, tell)
		return
	}
	t, err := platform.ParseTarget(i.Key, i.Value)
	if err != nil {
		c.edge.counts.badItems.Add(1)
		c.log.Error("target's registration is not usable; what is known of it stays", zap.String("key", i.Key), zap.Int64("revision", i.Revision), zap.Error(err))
		return
	}
	c.edge.mu.Lock()
	c.edge.forward.PutTarget(now, t)
	c.edge.mu.Unlock()
	if tell {
		c.log.Info("target", zap.Stringer("target", t.ID), zap.Int64("revision", i.Revision), zap.String("source", source),
			zap.String("service", t.Service), zap.Stringer("address", t.Addr), zap.String("at", t.DataCenter),
			zap.Bool("draining", t.Draining), zap.Duration("cold", t.ColdLeft))
	}
}

func (c *control) removeTarget(now time.Duration, i replica.Item, source string, tell bool) {
	id, err := platform.ParseTargetID(i.Key)
	if err != nil {
		c.edge.counts.badItems.Add(1)
		c.log.Error("target's key is not usable", zap.String("key", i.Key), zap.Error(err))
		return
	}
	c.edge.mu.Lock()
	c.edge.forward.RemoveTarget(now, id)
	c.edge.mu.Unlock()
	if tell {
		c.log.Info("target gone", zap.Stringer("target", id), zap.Int64("revision", i.Revision), zap.String("source", source))
	}
}
