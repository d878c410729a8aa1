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
	// copyHold is how long a source that starts itself keeps those waiting that ask
	// for its copy: about what it takes to list the store.
	copyHold = 300 * time.Millisecond
	// sourcesPause is the least time between two writes of the sources, and before the
	// first one: those that start together have registered by then.
	sourcesPause = 5 * time.Second
)

// lookUpSources asks the store who hands out copies in this data centre, and has the
// first copy taken from there or from the store. It runs on a goroutine of its own.
func (c *control) lookUpSources(ctx context.Context) {
	var s peer.BootstrapSources
	var err error
	if !c.edge.without.Has(direct.StartSources) {
		s, err = c.readSources(ctx)
	}
	c.post(func() {
		if c.replica.Loaded() {
			return // seeds were faster than the store
		}
		now := c.now()
		if err != nil {
			c.log.Info("no sources for the first copy", zap.Bool("bootstrap", c.edge.boot.Bootstrap), zap.String("reason", err.Error()))
		}
		if err != nil && c.edge.boot.Bootstrap {
			c.first.Bootstrap(now, c.edge.boot.Seeds)
		} else {
			c.first.SetSources(now, s.Balancers, s.Size)
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

// askSources asks one source after the other for its copy until there is one here.
func (c *control) askSources(ctx context.Context) {
	if c.replica.Loaded() || !c.first.HasSources() || ctx.Err() != nil {
		return
	}
	c.askSource(ctx)
	time.AfterFunc(c.first.Pause(), func() { c.post(func() { c.askSources(ctx) }) })
}

// askSource asks the next source, if one is to be asked.
func (c *control) askSource(ctx context.Context) {
	from, ok := c.first.NextSource()
	if !ok {
		return
	}
	asked := c.now()
	go func() {
		ch, err := c.fetchFromPeer(ctx, from, revision.Revision{})
		c.post(func() { c.sourceAnswered(ctx, ch, asked, from, err) })
	}()
}

// sourceAnswered takes a source's answer. If that is no copy, another one is asked.
func (c *control) sourceAnswered(ctx context.Context, ch *peer.Changes, asked time.Duration, from netip.AddrPort, err error) {
	if c.replica.Loaded() {
		return // another one was faster
	}
	c.fetched(ch, asked, from, err)
	if !c.replica.Loaded() && c.first.Failed() {
		c.askSource(ctx)
	}
}

// tellSourcesIfDue writes this data centre's sources into the store if they have changed.
// The first one in rank does so.
func (c *control) tellSourcesIfDue(ctx context.Context, now time.Duration) {
	if !c.replica.Loaded() || c.leaving || c.fleet.Rank() != 0 || now-c.sourcesTold < sourcesPause {
		return
	}
	want := c.fleet.BootstrapSources()
	key := platform.SourcesPrefix + c.edge.boot.DataCenter
	if i, ok := c.replica.Get(key); ok {
		if have, err := peer.DecodeBootstrapSources(i.Value); err == nil && have.UpToDate(want) {
			return
		}
	}
	c.sourcesTold = now
	go func() {
		if err := c.writeSources(ctx, key, want); err != nil {
			c.log.Warn("sources not told", zap.Int("size", want.Size), zap.Error(err))
			return
		}
		c.log.Info("sources told", zap.Int("size", want.Size), zap.Stringers("balancers", want.Balancers))
	}()
}

func (c *control) writeSources(ctx context.Context, key string, s peer.BootstrapSources) error {
	b, err := peer.Encode(s)
	if err != nil {
		return err
	}
	return errors.Wrap(c.store.Put(ctx, key, b, 0), "sources")
}
