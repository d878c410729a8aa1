package edge

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/revision"
	"rosedale.dev/rosedale/platform"
)

const (
	// copyWait is how long a request for a full copy waits for this balancer's replica and
	// for a free slot: about the time that listing the store takes.
	copyWait = 300 * time.Millisecond
	// sourcesInterval is the minimum interval between two writes of the sources, and the
	// delay of the first one. Balancers that start together have registered by then.
	sourcesInterval = 5 * time.Second
)

// lookUpSources reads the bootstrap sources of this data centre from the store, and
// starts getting the first copy from them or from the store. It runs on its own
// goroutine.
func (c *control) lookUpSources(ctx context.Context) {
	var s peer.BootstrapSources
	var err error
	if !c.edge.without.Has(direct.StartSources) {
		s, err = c.readSources(ctx)
	}
	c.post(func() {
		if c.replica.Loaded() {
			return // a seed has answered before the store
		}
		now := c.now()
		if err != nil {
			c.log.Info("no bootstrap sources for the first copy", zap.Bool("bootstrap", c.edge.boot.Bootstrap), zap.String("reason", err.Error()))
		}
		if err != nil && c.edge.boot.Bootstrap {
			c.firstCopy.Bootstrap(now, c.edge.boot.Seeds)
		} else {
			c.firstCopy.SetSources(now, s.Balancers, s.Size)
		}
		c.readIfDue(ctx, now)
		c.askSources(ctx)
	})
}

func (c *control) readSources(ctx context.Context) (peer.BootstrapSources, error) {
	b, err := c.store.GetStale(ctx, platform.SourcesPrefix+c.edge.boot.DataCenter)
	if err != nil {
		return peer.BootstrapSources{}, err
	}
	return peer.DecodeBootstrapSources(b)
}

// askSources requests a copy from one source after the other until there is a replica.
func (c *control) askSources(ctx context.Context) {
	if c.replica.Loaded() || !c.firstCopy.HasSources() || ctx.Err() != nil {
		return
	}
	if !c.copyTooLarge && !c.copyArrives() {
		c.askSource(ctx)
	}
	time.AfterFunc(c.firstCopy.Pause(), func() { c.post(func() { c.askSources(ctx) }) })
}

// copyArrives reports whether parts of a copy are arriving. Another one beside it would share
// the link.
func (c *control) copyArrives() bool {
	at := c.copyArrived.Load()
	return at > 0 && c.now()-time.Duration(at) < c.firstCopy.Pause()
}

// askSource requests a copy from the next source, if any.
func (c *control) askSource(ctx context.Context) {
	from, ok := c.firstCopy.NextSource()
	if !ok {
		return
	}
	requestedAt := c.now()
	go func() {
		ch, err := c.requestChanges(ctx, from, revision.Revision{}, func() { c.copyArrived.Store(int64(c.now())) })
		c.post(func() { c.handleSourceAnswer(ctx, ch, requestedAt, from, err) })
	}()
}

// handleSourceAnswer applies a source's answer. If it failed, another source is asked.
func (c *control) handleSourceAnswer(ctx context.Context, ch *peer.Changes, requestedAt time.Duration, from netip.AddrPort, err error) {
	if c.replica.Loaded() {
		return // another source has answered before
	}
	c.handleFetched(ch, requestedAt, from, err)
	if !c.replica.Loaded() && c.firstCopy.Failed() {
		c.askSource(ctx)
	}
}

// writeSourcesIfDue writes this data centre's bootstrap sources into the store if they
// have changed. Only the first balancer in rank does so.
func (c *control) writeSourcesIfDue(ctx context.Context, now time.Duration) {
	if !c.replica.Loaded() || c.leaving || c.fleet.Rank() != 0 || now-c.sourcesWritten < sourcesInterval {
		return
	}
	want := c.fleet.BootstrapSources()
	key := platform.SourcesPrefix + c.edge.boot.DataCenter
	if i, ok := c.replica.Get(key); ok {
		if have, err := peer.DecodeBootstrapSources(i.Value); err == nil && have.UpToDate(want) {
			return
		}
	}
	c.sourcesWritten = now
	go func() {
		if err := c.writeSources(ctx, key, want); err != nil {
			c.log.Warn("bootstrap sources not written", zap.Int("size", want.Size), zap.Error(err))
			return
		}
		c.log.Info("bootstrap sources written", zap.Int("size", want.Size), zap.Stringers("balancers", want.Balancers))
	}()
}

func (c *control) writeSources(ctx context.Context, key string, s peer.BootstrapSources) error {
	b, err := peer.Encode(s)
	if err != nil {
		return err
	}
	return errors.Wrap(c.store.Put(ctx, key, b, 0), "sources")
}
