package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/internal/revision"
	"rosedale.dev/rosedale/platform"
)

// listing is the outcome of one read of the store.
type listing struct {
	full     bool
	items    []replica.Item
	position revision.Revision
	asked    time.Duration // when the read began: the copy is at least so new
	err      error
}

// readIfDue reads the store if this balancer is a reader.
func (c *control) readIfDue(ctx context.Context, now time.Duration) {
	if c.readBusy || now < c.readAt || c.leaving || !c.mayRead(now) {
		return
	}
	full := !c.replica.Loaded()
	c.readBusy = true
	position := c.replica.Position()
	if full {
		ctx = c.firstCtx
	}
	go func() {
		l := c.read(ctx, now, position, full)
		c.post(func() { c.readEnded(l) })
	}()
}

// mayRead reports whether this balancer is to read the store now, or to list it for its
// first copy.
func (c *control) mayRead(now time.Duration) bool {
	if !c.replica.Loaded() {
		return c.first.MayList(now)
	}
	place := c.first.Place(now, replica.Place{Centre: c.fleet.DataCenterRank(), Rank: c.fleet.Rank()})
	return c.reader.Decide(place, c.replica.Age(now), c.served(now))
}

// wideLink is the speed in Mbit/s from which on a large catalogue, 0.4 MB, is
// read in 30 ms. VMs with such a link read the store for the others.
const wideLink = 100

// firstCopyIsThere ends what still asks for the first copy, as there is one now.
//
// Failure: after a failure of all, VMs with 10 Mbit/s read a catalogue of 0.4 MB
// for 0.3 s and more, while openings wait. It shows as late answers long after
// the VMs are back. What peers pass on is a tenth as long, and the rest of a first
// listing would only fill the link.
func (c *control) firstCopyIsThere(source string) {
	if c.firstCtx.Err() != nil {
		return // there was one before
	}
	c.stopFirst()
	now := c.now()
	c.log.Info("first copy", zap.String("source", source), zap.Duration("after", now), zap.Stringer("position", c.replica.Position()), zap.Duration("age", c.replica.Age(now)))
}

// read runs on a goroutine of its own.
func (c *control) read(ctx context.Context, now time.Duration, position revision.Revision, full bool) listing {
	l := listing{asked: now, full: full}
	if !full {
		l.items, l.position, l.err = c.store.Watch(ctx, position, 0)
		if !errors.Is(l.err, platform.ErrCompacted) && !errors.Is(l.err, platform.ErrNewEra) {
			return l
		}
	}
	l.full = true
	l.items, l.position, l.err = c.store.List(ctx, "")
	return l
}

func (c *control) readEnded(l listing) {
	now := c.now()
	c.readBusy = false
	if l.full && l.err != nil && c.replica.Loaded() {
		return // a peer was faster
	}
	if l.err == nil && l.position.Era < c.replica.Position().Era {
		l.err = errors.Errorf("store: answer of era %d, the copy is of era %d", l.position.Era, c.replica.Position().Era)
	}
	c.readAt = max(l.asked, now-replica.ReadInterval) + c.reader.Done(l.err == nil)
	c.dependency(l)
	if l.err != nil {
		c.edge.counts.readFailures.Add(1)
		return
	}
	c.readDone = now
	if l.full {
		c.noteOutdated(l)
		c.applyCopy(l.items, l.position, l.asked, "store")
		return
	}
	c.applyChanges(c.replica.Apply(l.items, l.position, l.asked), "store", l.asked)
}

// noteOutdated logs a listing that comes too late to change anything.
func (c *control) noteOutdated(l listing) {
	if !c.replica.Outdated(l.position) {
		return
	}
	c.edge.counts.listingsOutdated.Add(1)
	c.log.Warn("listing of the store is older than the copy and changes nothing", zap.Stringer("listing", l.position),
		zap.Stringer("copy", c.replica.Position()), zap.Int("items", len(l.items)))
}

// applyChanges puts news in force and measures how long that took since it was
// asked for.
func (c *control) applyChanges(items []replica.Item, source string, asked time.Duration) {
	c.apply(items, source)
	if len(items) > 0 {
		c.edge.times.change.RecordDuration(c.now() - asked)
	}
}

// dependency logs when the store is lost and when it is back.
func (c *control) dependency(l listing) {
	if lost := l.err != nil; lost != c.storeLost {
		c.storeLost = lost
		if lost {
			c.log.Warn("store lost", zap.Duration("age", c.replica.Age(c.now())), zap.Error(l.err))
		} else {
			c.log.Info("store regained", zap.Duration("age", c.replica.Age(c.now())), zap.Stringer("position", l.position),
				zap.Stringer("copy", c.replica.Position()), zap.Bool("listed", l.full))
		}
	}
}
