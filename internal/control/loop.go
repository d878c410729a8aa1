// Package control runs the single goroutine that owns all control state of rosedaled:
// the member list, the catalogue and the health of targets. It passes messages, check
// results and the time to the packages that make the decisions, sends the messages that
// they return, and publishes each new view to the data path.
package control

import (
	"context"
	"hash/fnv"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/converge"
	"rosedale.dev/rosedale/internal/forward"
	"rosedale.dev/rosedale/internal/health"
	"rosedale.dev/rosedale/internal/link"
	"rosedale.dev/rosedale/internal/member"
	"rosedale.dev/rosedale/internal/router"
	"rosedale.dev/rosedale/internal/settings"
	"rosedale.dev/rosedale/internal/store"
	"rosedale.dev/rosedale/internal/wire"
)

const (
	routerInterval = 20 * time.Millisecond  // between two ticks of the data path
	groupInterval  = 100 * time.Millisecond // between two ticks of the member list
	slowInterval   = 500 * time.Millisecond // between two calls of tickSlow
)

// Loop holds the control state of a daemon. Only the goroutine of Run accesses it; others
// use Do.
type Loop struct {
	config settings.Settings
	log    *zap.Logger
	router *router.Router
	plane  *forward.Plane
	link   *link.Link // nil for a single VM
	store  store.Store

	group          *member.Group
	catalogueState *converge.Catalogue
	health         *health.Table
	checker        *health.Checker
	ids            *interner
	connections    *connectionTable // of peers
	events         chan func(now time.Duration)

	lastTick           time.Duration
	lastGroupTick      time.Duration
	lastSlowTick       time.Duration
	rebuildView        bool
	catalogueComplete  bool          // the catalogue was read completely, or equal to a peer's
	listedShards       map[int]bool  // shards of the store listed since the start
	lastMemberSync     time.Duration // time of the last exchange of all member records
	membersChangedAt   time.Duration // time of the last change of the member list
	leaving            bool
	servingAt          time.Duration // when this member announced that it serves
	reader             *reader
	checkers           map[uint32]bool   // members whose findings are used
	checks             map[uint32]*check // by target hash
	catalogueChangedAt time.Duration
	heldBack           []string                // errors of entries held back, as last logged
	knownServices      map[uint32]knownService // by number of the service
	streamTargets      map[uint32]uint32       // hashes of targets of stream addresses, by identifier
	handovers          []outgoing              // to send
	loggedStatus       map[string]wire.Status  // of members, as last logged
	Count              Counts
}

// New returns a Loop. The link and the store may be nil.
func New(config settings.Settings, log *zap.Logger, r *router.Router, p *forward.Plane, l *link.Link, s store.Store) *Loop {
	seed := randomSeed(config.Name)
	self := wire.Record{
		Name:        config.Name,
		DataCenter:  config.DataCenter,
		Data:        config.Data.Listen,
		Control:     config.Control.Listen,
		Admin:       config.Admin.Listen,
		Incarnation: uint64(time.Now().UnixMilli()),
		Status:      wire.Starting,
	}
	lp := &Loop{
		config: config, log: log, router: r, plane: p, link: l, store: s,
		group:          member.New(config.Member(), self, seeds(config), seed),
		catalogueState: converge.New(config.Name, seed),
		health:         health.NewTable(),
		checker:        health.NewChecker(),
		ids:            newInterner(),
		connections:    newConnectionTable(),
		events:         make(chan func(time.Duration), 1024),
		knownServices:  map[uint32]knownService{},
		listedShards:   map[int]bool{},
		loggedStatus:   map[string]wire.Status{},
		rebuildView:    true,
	}
	lp.publish(0)
	return lp
}

func seeds(config settings.Settings) []wire.Record {
	var out []wire.Record
	for _, m := range config.Members {
		if m.Name != config.Name {
			out = append(out, wire.Record{Name: m.Name, DataCenter: m.DataCenter, Data: m.Data, Control: m.Control})
		}
	}
	return out
}

func randomSeed(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64() ^ uint64(time.Now().UnixNano())
}

// Do runs f on the control goroutine and waits for it.
func (l *Loop) Do(ctx context.Context, f func(now time.Duration)) error {
	done := make(chan struct{})
	select {
	case l.events <- func(now time.Duration) { f(now); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post queues f to run on the control goroutine, without waiting for it.
func (l *Loop) post(ctx context.Context, f func(now time.Duration)) {
	select {
	case l.events <- f:
	case <-ctx.Done():
	}
}

// Run is the control goroutine. It returns when ctx ends.
func (l *Loop) Run(ctx context.Context) {
	t := time.NewTicker(routerInterval)
	defer t.Stop()
	var in <-chan link.Incoming
	if l.link != nil {
		in = l.link.Messages()
	}
	l.startFolderWatch(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-in:
			l.receive(ctx, l.plane.Now(), m)
		case f := <-l.events:
			f(l.plane.Now())
		case <-t.C:
			l.tick(ctx, l.plane.Now())
		}
		changed := l.group.Changed()
		if changed {
			l.membersChangedAt = l.plane.Now()
		}
		if l.rebuildView || changed {
			l.publish(l.plane.Now())
			l.sendHandovers(ctx)
		}
	}
}

func (l *Loop) tick(ctx context.Context, now time.Duration) {
	if now-l.lastTick > time.Duration(l.config.Control.PauseLimit) && l.lastTick > 0 {
		l.Count.Pauses.Add(1)
		l.log.Warn("paused", zap.Duration("for", now-l.lastTick))
		l.group.Resume(now)
	}
	l.lastTick = now
	if l.group.CaughtUp(now) {
		l.router.Alive(now)
	}
	l.plane.Tick()
	if now-l.lastGroupTick >= groupInterval {
		l.lastGroupTick = now
		l.send(ctx, now, l.group.Tick(now))
	}
	if now-l.lastSlowTick >= slowInterval {
		l.lastSlowTick = now
		l.tickSlow(ctx, now)
	}
}

// tickSlow does the periodic work that is not needed at every tick.
func (l *Loop) tickSlow(ctx context.Context, now time.Duration) {
	l.router.SetPeerExcess(l.connections.peerExcess(now, l.ids, len(l.reachable())))
	l.updateReader(ctx)
	l.checkTargets(ctx, now)
	l.reportLoads(now)
	l.startServing(now)
}

// peerAddrs returns the addresses from which balancers send packets.
func (l *Loop) peerAddrs() []netip.Addr {
	var out []netip.Addr
	for _, r := range l.group.Members() {
		out = append(out, r.Data.Addr())
	}
	for _, m := range l.config.Members {
		if m.Source.IsValid() {
			out = append(out, m.Source)
		}
	}
	return out
}
