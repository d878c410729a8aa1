package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/platform"
)

// listing is the outcome of one read of the store.
type listing struct {
	full     bool
	items    []replica.Item
	position int64
	asked    time.Duration // when the read began: the copy is at least so new
	err      error
}

// readIfDue reads the store if this balancer is a reader.
func (c *control) readIfDue(ctx context.Context, now time.Duration) {
	if c.readBusy || now < c.readAt || c.leaving {
		return
	}
	rank, served := c.rank(now)
	if c.replica.Loaded() && !c.reader.Decide(rank, c.replica.Age(now), served) {
		return
	}
	c.readBusy = true
	position := c.replica.Position()
	full := !c.replica.Loaded()
	go func() {
		l := c.read(ctx, now, position, full)
		c.post(func() { c.readEnded(l) })
	}()
}

// read runs on a goroutine of its own.
func (c *control) read(ctx context.Context, now time.Duration, position int64, full bool) listing {
	l := listing{asked: now, full: full}
	if !full {
		l.items, l.position, l.err = c.store.Watch(ctx, position, 0)
		if !errors.Is(l.err, platform.ErrCompacted) {
			return l
		}
	}
	l.full = true
	l.items, l.position, l.err = c.readAll(ctx)
	return l
}

// readAll reads everything at once: a start after a failure of all is a race.
func (c *control) readAll(ctx context.Context) ([]replica.Item, int64, error) {
	var g errgroup.Group
	var targets, members []replica.Item
	var catalogue *replica.Item
	var position, at int64
	g.Go(func() (err error) {
		targets, position, err = c.store.List(ctx, platform.TargetPrefix)
		return err
	})
	g.Go(func() (err error) {
		members, at, err = c.store.List(ctx, platform.MemberPrefix)
		return err
	})
	g.Go(func() (err error) {
		catalogue, _, err = c.store.Get(ctx, platform.CatalogueKey)
		return err
	})
	if err := g.Wait(); err != nil {
		return nil, 0, err
	}
	if catalogue != nil {
		targets = append(targets, *catalogue)
	}
	return append(targets, members...), min(position, at), nil
}

// listed are the prefixes of a full listing whose missing items are gone.
var listed = []string{platform.TargetPrefix, platform.MemberPrefix}

func (c *control) readEnded(l listing) {
	now := c.now()
	c.readBusy = false
	c.readOK = l.err == nil
	c.readAt = max(l.asked, now-replica.ReadInterval) + c.reader.Done(c.readOK)
	c.dependency(l.err)
	if l.err != nil {
		c.edge.counts.readFailures.Add(1)
		return
	}
	c.readDone = now
	if l.full {
		c.apply(c.replica.Replace(listed, l.items, l.position, l.asked), "store")
		return
	}
	c.apply(c.replica.Apply(l.items, l.position, l.asked), "store")
}

// dependency logs when the store is lost and when it is back.
func (c *control) dependency(err error) {
	if lost := err != nil; lost != c.storeLost {
		c.storeLost = lost
		if lost {
			c.log.Warn("store lost", zap.Duration("age", c.replica.Age(c.now())), zap.Error(err))
		} else {
			c.log.Info("store regained", zap.Duration("age", c.replica.Age(c.now())))
		}
	}
}
