package edge

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/internal/revision"
	"rosedale.dev/rosedale/platform"
)

// applyCopy takes a whole copy of the store and puts what is new in force.
func (c *control) applyCopy(items []replica.Item, position revision.Revision, proven time.Duration, source string) {
	before, loaded := c.replica.Position(), c.replica.Loaded()
	known := c.now() - c.replica.Age(c.now())
	news := c.replica.Replace(items, position, proven)
	newEra := loaded && c.replica.Position().Era != before.Era
	if newEra {
		news = c.beginEra(before, known, news, source)
	}
	c.apply(news, source)
	if newEra {
		c.lease.verify(c, c.now())
	}
	c.firstCopyIsThere(source)
}

// beginEra notes that the store has come back from an older copy, and returns the news
// that count at once; the others are put off until the store has settled.
func (c *control) beginEra(before revision.Revision, known time.Duration, news []replica.Item, source string) []replica.Item {
	now := c.now()
	c.settling.Begin(now, c.settleTime(), known)
	var out []replica.Item
	for _, i := range news {
		if c.knowsNewer(i) {
			c.settling.Defer(i.Key)
			continue
		}
		out = append(out, i)
	}
	c.edge.counts.eras.Add(1)
	c.log.Warn("store came back from an older copy", zap.Stringer("before", before), zap.Stringer("position", c.replica.Position()),
		zap.String("source", source), zap.Duration("age", now-known), zap.Int("changes", len(out)), zap.Int("heldChanges", len(news)-len(out)),
		zap.Duration("settles", c.settling.Left(now)))
	return out
}

// knowsNewer reports whether more is known than an item says, or its absence, of a store
// that has come back from an older copy. This balancer's own registration has to be written
// again in any case.
func (c *control) knowsNewer(i replica.Item) bool {
	switch {
	case i.Key == c.edge.registration():
		return false
	case i.Deleted:
		return true
	case !strings.HasPrefix(i.Key, platform.TargetPrefix):
		return false
	}
	t, err := platform.ParseTarget(i.Key, i.Value)
	if err != nil {
		return false
	}
	c.edge.mu.Lock()
	defer c.edge.mu.Unlock()
	return c.edge.forward.KnowsNewer(t)
}

// settleIfDue puts in force what was put off, as the copy has it now.
func (c *control) settleIfDue(now time.Duration) {
	keys := c.settling.Settled(now)
	if len(keys) == 0 {
		return
	}
	var items []replica.Item
	for _, k := range keys {
		i, ok := c.replica.Get(k)
		if !ok {
			i = replica.Item{Key: k, Revision: c.replica.Position().Number, Deleted: true}
		}
		items = append(items, i)
	}
	c.log.Info("store has settled", zap.Stringer("position", c.replica.Position()), zap.Int("heldChanges", len(items)))
	c.apply(items, "store")
}

// settleLike takes from a peer's heartbeat that the store has yet to settle. Only a
// balancer that has just started needs to be told: others saw the store come back.
func (c *control) settleLike(now time.Duration, h peer.Heartbeat) {
	if now > c.settleTime() || h.Settling <= 0 || h.Era != c.replica.Position().Era || c.settling.Left(now) > 0 {
		return
	}
	left := min(h.Settling, c.settleTime())
	c.settling.Begin(now, left, 0)
	c.log.Info("store has yet to settle, by a peer", zap.String("peer", h.From), zap.Int64("era", h.Era), zap.Duration("settles", left))
}

func (c *control) settleTime() time.Duration { return replica.SettleTime(c.edge.boot.Heartbeat) }
