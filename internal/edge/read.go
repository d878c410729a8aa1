package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/replica"
)

// readIfDue reads the store if this balancer is a reader, or lists it if it needs its first
// copy and may do so.
func (c *control) readIfDue(ctx context.Context, now time.Duration) {
	if c.reader.Busy() || now < c.readAt || c.leaving || !c.mayRead(now) {
		return
	}
	c.reader.Started(now)
	r := c.newRead(now)
	c.read = r
	c.arrivals.announce.Store(c.replica.Loaded() && c.replica.Age(now) >= replica.TakeoverAge)
	if r.first {
		ctx = c.firstCopyCtx
	}
	go func() {
		res := r.run(ctx)
		c.post(func() { c.handleRead(res) })
	}()
}

// newRead returns the read of the store that is due now.
func (c *control) newRead(now time.Duration) *storeRead {
	c.listing.dropOutdated(c.replica.Position())
	return &storeRead{
		store:     c.store,
		now:       c.now,
		startedAt: now,
		first:     !c.replica.Loaded(),
		position:  c.replica.Position(),
		age:       c.replica.Age(now),
		patience:  replica.ListBeside(c.replica.Age(now)),
		mayList:   c.listings.May(now),
		listing:   &c.listing,
		listed:    func() { c.post(c.readIfListed) },
		arrived:   c.noteArrival,
		size:      c.replica.Bytes(),
		outdated:  make(chan struct{}),
	}
}

// endOutdatedRead ends the read under way if the replica has moved on from its position, by a
// peer's answer. The rest of the store's response would only occupy the link.
func (c *control) endOutdatedRead() {
	if c.read != nil && c.read.position != c.replica.Position() {
		close(c.read.outdated)
		c.read = nil
	}
}

// readIfListed makes the next read due if a listing has ended that no read waits for.
func (c *control) readIfListed() {
	if !c.reader.Busy() && c.listing.done != nil {
		c.readAt = c.now()
	}
}

// mayRead reports whether this balancer should read the store, or list it for its first
// copy.
func (c *control) mayRead(now time.Duration) bool {
	if !c.replica.Loaded() {
		return c.firstCopy.MayList(now)
	}
	place := c.firstCopy.Place(now, replica.Place{DataCenterRank: c.fleet.DataCenterRank(), Rank: c.fleet.Rank()})
	return c.reader.Decide(place, c.replica.Age(now), c.hasActiveReader(now), c.fetches.Awaits(now))
}

// wideLink is the link speed, in Mbit/s, from which on a balancer ranks before those with
// slower links, so that it reads the store for them. At this speed a large catalogue,
// 0.4 MB, takes 30 ms.
const wideLink = 100

// endFirstCopy cancels the requests to the store and to the sources for the first copy that
// are still in progress, once there is one.
//
// Guards against slow first listings after a loss of all balancers: VMs with 10 Mbit/s
// read a catalogue of 0.4 MB for 0.3 s and more while openings wait. Answers would be
// late long after the VMs are back. A copy from a peer has a tenth of the size, and the
// rest of a first listing would only occupy the link.
func (c *control) endFirstCopy(source string) {
	if c.firstCopyCtx.Err() != nil {
		return // not the first one
	}
	c.stopFirstCopy()
	now := c.now()
	c.log.Info("first copy", zap.String("source", source), zap.Duration("after", now), zap.Stringer("position", c.replica.Position()), zap.Duration("age", c.replica.Age(now)))
}

func (c *control) handleRead(res readResult) {
	now := c.now()
	c.read = nil
	switch {
	case res.first && res.err != nil && c.replica.Loaded():
		c.reader.Abandoned() // a peer has provided a copy in the meantime
		return
	case errors.Is(res.err, errOutdated):
		c.edge.counts.readsOutdated.Add(1)
		c.reader.Abandoned()
		c.readAt = max(now, res.startedAt+replica.ReadInterval)
		return
	}
	if res.err == nil && res.position.Era < c.replica.Position().Era {
		res.err = errors.Errorf("store: answer is of era %d, but the replica is of era %d", res.position.Era, c.replica.Position().Era)
	}
	if res.full {
		c.listings.Done(res.startedAt, isRefused(res.err))
	}
	c.readAt = max(now, res.startedAt+c.reader.Done(res.err == nil))
	c.noteRead(res)
	if res.err != nil {
		return
	}
	c.readDone = now
	c.wantsCopy, c.copyTooLarge = false, false
	c.edge.times.read.RecordDuration(now - res.startedAt)
	c.noteListing(res)
	if res.full {
		c.noteOutdated(res)
		c.applyCopy(res.items, res.position, res.provenAt, "store")
		return
	}
	c.applyChanges(c.replica.Apply(res.items, res.position, res.provenAt), "store", res.startedAt)
}

// noteOutdated logs a listing that arrives too late to change anything.
func (c *control) noteOutdated(res readResult) {
	if !c.replica.Outdated(res.position) {
		return
	}
	c.edge.counts.listingsOutdated.Add(1)
	c.log.Warn("listing of the store is older than the copy and changes nothing", zap.Stringer("listing", res.position),
		zap.Stringer("copy", c.replica.Position()), zap.Int("items", len(res.items)))
}

// applyChanges puts changes into force and records the time since they were requested.
func (c *control) applyChanges(items []replica.Item, source string, requestedAt time.Duration) {
	c.apply(items, source)
	if len(items) > 0 {
		c.edge.times.change.RecordDuration(c.now() - requestedAt)
	}
}
