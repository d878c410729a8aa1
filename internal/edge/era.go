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

// applyCopy replaces the replica by a full copy of the store and puts the changes into
// force.
func (c *control) applyCopy(items []replica.Item, position revision.Revision, proven time.Duration, source string) {
	before, loaded := c.replica.Position(), c.replica.Loaded()
	provenBefore := c.now() - c.replica.Age(c.now())
	changes := c.replica.Replace(items, position, proven)
	newEra := loaded && c.replica.Position().Era != before.Era
	if newEra {
		changes = c.beginEra(before, provenBefore, changes, source)
	}
	c.apply(changes, source)
	if newEra {
		c.lease.verify(c, c.now())
	}
	c.endFirstCopy(source)
}

// beginEra starts settling after a restore of the store from an older copy. It returns
// the changes that apply at once. The others are deferred until the store has settled.
// before is the replica's position before the restore, and provenBefore is when it was
// last known to be current.
func (c *control) beginEra(before revision.Revision, provenBefore time.Duration, changes []replica.Item, source string) []replica.Item {
	now := c.now()
	c.settling.Begin(now, c.settleTime(), provenBefore)
	var out []replica.Item
	for _, i := range changes {
		if c.knowsNewer(i) {
			c.settling.Defer(i.Key)
			continue
		}
		out = append(out, i)
	}
	c.edge.counts.erasBegun.Add(1)
	c.log.Warn("store came back from an older copy", zap.Stringer("before", before), zap.Stringer("position", c.replica.Position()),
		zap.String("source", source), zap.Duration("age", now-provenBefore), zap.Int("changes", len(out)), zap.Int("heldChanges", len(changes)-len(out)),
		zap.Duration("settles", c.settling.Left(now)))
	return out
}

// knowsNewer reports whether this balancer knows a newer state than an item, or an item's
// absence, in a store that was restored from an older copy. The absence of this
// balancer's own registration always applies, as it has to be written again.
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

// applyDeferredIfDue applies the deferred changes, as they are in the replica by then,
// once the store has settled and the replica shows it.
func (c *control) applyDeferredIfDue(now time.Duration) {
	keys := c.settling.Settled(now, now-c.replica.Age(now))
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

// settleFromPeer starts settling if a peer's heartbeat reports it. Only a balancer that
// has just started needs this, as the others have noticed the restore themselves.
func (c *control) settleFromPeer(now time.Duration, h peer.Heartbeat) {
	if now > c.settleTime() || h.Settling <= 0 || h.Era != c.replica.Position().Era || c.settling.Left(now) > 0 {
		return
	}
	left := min(h.Settling, c.settleTime())
	c.settling.Begin(now, left, replica.Never)
	c.log.Info("store is still settling according to a peer", zap.String("peer", h.From), zap.Int64("era", h.Era), zap.Duration("settles", left))
}

func (c *control) settleTime() time.Duration { return replica.SettleTime(c.edge.boot.Heartbeat) }
