// Package control runs the one goroutine that owns all control state: the
// member list, the catalogue, targets' health. It feeds the decision packages
// with messages, results and the time, sends what they answer, and publishes
// each new view to the data path.
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
	routerTick = 20 * time.Millisecond
	groupTick  = 100 * time.Millisecond
	slowTick   = 500 * time.Millisecond
)

// Loop is the control state of a daemon. Only Run's goroutine touches it;
// others go through Do.
type Loop struct {
	set    settings.Settings
	log    *zap.Logger
	router *router.Router
	plane  *forward.Plane
	link   *link.Link // nil for a single VM
	store  store.Store

	group   *member.Group
	cat     *converge.Catalogue
	health  *health.Table
	checker *health.Checker
	names   *interner
	held    *heldTable
	events  chan func(now time.Duration)

	lastTick  time.Duration
	groupAt   time.Duration
	slowAt    time.Duration
	rebuild   bool
	sync      bool          // a complete catalogue was seen
	shards    map[int]bool  // of the store, listed since the start
	syncAt    time.Duration // of the last exchange of all member records
	memberAt  time.Duration // of the last change of the member list
	leaving   bool
	servingAt time.Duration
	reader    *reader
	checkers  map[uint32]bool   // members whose findings count
	checks    map[uint32]*check // by target hash
	catalogAt time.Duration
	heldBack  []string // errors of entries held back, as last logged
	retired   map[uint32]retired
	streamed  map[uint32]uint32      // targets of stream addresses, identifier to hash
	moves     []outgoing             // handovers to send
	seen      map[string]wire.Status // as last logged
	Count     Counts
}

// New returns a Loop. The link and the store may be nil.
func New(set settings.Settings, log *zap.Logger, r *router.Router, p *forward.Plane, l *link.Link, s store.Store) *Loop {
	seed := randomSeed(set.Name)
	self := wire.Record{
		Name:        set.Name,
		DataCenter:  set.DataCenter,
		Data:        set.Data.Listen,
		Control:     set.Control.Listen,
		Admin:       set.Admin.Listen,
		Incarnation: uint64(time.Now().UnixMilli()),
		Status:      wire.Starting,
	}
	lp := &Loop{
		set: set, log: log, router: r, plane: p, link: l, store: s,
		group:   member.New(set.Member(), self, seeds(set), seed),
		cat:     converge.New(set.Name, seed),
		health:  health.NewTable(),
		checker: health.NewChecker(),
		names:   newInterner(),
		held:    newHeldTable(),
		events:  make(chan func(time.Duration), 1024),
		retired: map[uint32]retired{},
		shards:  map[int]bool{},
		seen:    map[string]wire.Status{},
		rebuild: true,
	}
	lp.publish(0)
	return lp
}

func seeds(set settings.Settings) []wire.Record {
	var out []wire.Record
	for _, m := range set.Members {
		if m.Name != set.Name {
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

// post hands a result to the control goroutine from another one.
func (l *Loop) post(ctx context.Context, f func(now time.Duration)) {
	select {
	case l.events <- f:
	case <-ctx.Done():
	}
}

// Run is the control goroutine. It returns when ctx ends.
func (l *Loop) Run(ctx context.Context) {
	t := time.NewTicker(routerTick)
	defer t.Stop()
	var in <-chan link.Incoming
	if l.link != nil {
		in = l.link.Messages()
	}
	l.startCatalogue(ctx)
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
			l.memberAt = l.plane.Now()
		}
		if l.rebuild || changed {
			l.publish(l.plane.Now())
			l.sendMoved(ctx)
		}
	}
}

func (l *Loop) tick(ctx context.Context, now time.Duration) {
	if now-l.lastTick > time.Duration(l.set.Control.PauseLimit) && l.lastTick > 0 {
		l.Count.Pauses.Add(1)
		l.log.Warn("paused", zap.Duration("for", now-l.lastTick))
		l.group.Resume(now)
	}
	l.lastTick = now
	if l.group.Settled(now) {
		l.router.Alive(now)
	}
	l.plane.Tick()
	if now-l.groupAt >= groupTick {
		l.groupAt = now
		l.send(ctx, now, l.group.Tick(now))
	}
	if now-l.slowAt >= slowTick {
		l.slowAt = now
		l.slow(ctx, now)
	}
}

// slow does what need not happen at every tick.
func (l *Loop) slow(ctx context.Context, now time.Duration) {
	l.router.SetPeerExcess(l.held.ahead(now, l.names, len(l.reachable())))
	l.updateReader(ctx)
	l.checkTargets(ctx, now)
	l.reportLoads(now)
	l.becomeReady(now)
}

func (l *Loop) peerAddrs() []netip.Addr {
	var out []netip.Addr
	for _, r := range l.group.Members() {
		out = append(out, r.Data.Addr())
	}
	for _, m := range l.set.Members {
		if m.Source.IsValid() {
			out = append(out, m.Source)
		}
	}
	return out
}
