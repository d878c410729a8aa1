package edge

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/platform"
)

// maxTargetLines is the number of simultaneous changes up to which each change of a target
// gets a log line of its own. More changes come from a listing, which gets a single line:
// its lines would hit the rate limit of the log and displace the others of that second.
const maxTargetLines = 50

// apply puts changes of the replica into force: targets and evacuations first, then the
// catalogue, and the other balancers last, as no packet waits for these.
func (c *control) apply(items []replica.Item, source string) {
	now := c.now()
	listing := len(items) > maxTargetLines
	if listing {
		c.log.Info("listing", zap.Int("items", len(items)), zap.String("source", source), zap.Stringer("position", c.replica.Position()))
	}
	c.edge.counts.changes.Add(uint64(len(items)))
	var catalogue *replica.Item
	var members []replica.Item
	for _, i := range items {
		c.settling.Release(i.Key)
		switch {
		case i.Key == platform.CatalogueKey:
			catalogue = &i
		case strings.HasPrefix(i.Key, platform.EvacuationPrefix):
			c.applyEvacuation(now, i, source)
		case strings.HasPrefix(i.Key, platform.TargetPrefix):
			c.applyTarget(now, i, source, !listing)
		case strings.HasPrefix(i.Key, platform.MemberPrefix):
			members = append(members, i)
		}
	}
	if c.replica.Loaded() {
		// Packets of open flows need no catalogue. Decoding a large one takes 80 ms on a
		// small VM.
		c.edge.packets.start()
	}
	if catalogue != nil {
		c.applyCatalogue(*catalogue, source)
	}
	if c.version > 0 {
		c.edge.becomeReady()
	}
	for _, i := range members {
		c.applyMember(i)
	}
	// Until it knows the other balancers, the forwarder uses a small share of the targets.
	c.updateFleet()
}

// applyCatalogue puts a version of the catalogue into force.
//
// Guards against a store that was restored from an older copy and returns the catalogue
// of that time. Callers would find removed routes open and added ones closed until the
// operator writes the catalogue again. The operator's versions only increase, so a lower
// version is ignored.
func (c *control) applyCatalogue(i replica.Item, source string) {
	if i.Deleted {
		c.log.Error("catalogue was removed; the last version stays in force", c.revision(i))
		return
	}
	cat, err := platform.ParseCatalogue(i.Value)
	if err != nil {
		c.edge.counts.invalidItems.Add(1)
		c.log.Error("catalogue is not usable; the last version stays in force", c.revision(i), zap.Error(err))
		return
	}
	if cat.Version < c.version {
		c.edge.counts.cataloguesOlder.Add(1)
		c.log.Warn("catalogue is older than the one in force, which stays", zap.Int64("version", cat.Version),
			zap.Int64("inForce", c.version), c.revision(i), zap.String("source", source))
		return
	}
	c.edge.mu.Lock()
	c.edge.forward.SetCatalogue(cat)
	c.edge.mu.Unlock()
	c.edge.gates.update()
	c.log.Info("catalogue in force", zap.Int64("version", cat.Version), zap.Int64("before", c.version),
		c.revision(i), zap.String("source", source), zap.Int("routes", len(cat.Routes)))
	c.version = cat.Version
}

// revision returns the log field for an item's revision, with the era of the replica.
func (c *control) revision(i replica.Item) zap.Field {
	return zap.Stringer("revision", c.replica.Position().At(i.Revision))
}

// applyTarget applies a target's registration or its removal. logged is whether to log
// it.
func (c *control) applyTarget(now time.Duration, i replica.Item, source string, logged bool) {
	id, err := platform.ParseTargetID(i.Key)
	if err != nil {
		c.edge.counts.invalidItems.Add(1)
		c.log.Error("target's key is not usable", zap.String("key", i.Key), c.revision(i), zap.Error(err))
		return
	}
	if i.Deleted {
		c.removeTarget(now, id, i, source, logged)
		return
	}
	t, err := platform.ParseTarget(i.Key, i.Value)
	if err != nil {
		c.disableTarget(id, i, source, err)
		return
	}
	t.Revision = c.replica.Position().At(i.Revision)
	c.edge.mu.Lock()
	lost := c.edge.forward.PutTarget(now, t)
	inCatalogue := c.edge.forward.HasService(t.Service)
	c.edge.mu.Unlock()
	c.resetFlows(now, lost, direct.ResetRestarted, id)
	if c.version > 0 && !inCatalogue {
		c.log.Warn("target's service is not in the catalogue: it gets no flows until it is", zap.Stringer("target", id),
			c.revision(i), zap.String("service", t.Service), zap.Int64("version", c.version))
	}
	if logged {
		c.log.Info("target", zap.Stringer("target", id), zap.Stringer("born", t.Born), c.revision(i), zap.String("source", source),
			zap.String("service", t.Service), zap.Stringer("address", t.Addr), zap.String("at", t.DataCenter),
			zap.Bool("draining", t.Draining), zap.Duration("cold", t.ColdLeft), zap.Int("lostFlows", len(lost)))
	}
}

// disableTarget handles an invalid registration of a target.
func (c *control) disableTarget(id direct.TargetID, i replica.Item, source string, why error) {
	c.edge.counts.invalidItems.Add(1)
	c.edge.mu.Lock()
	c.edge.forward.DisableTarget(id)
	c.edge.mu.Unlock()
	c.log.Error("target's registration is not usable: it gets no new flows, open ones stay", zap.Stringer("target", id),
		c.revision(i), zap.String("source", source), zap.Error(why))
}

func (c *control) removeTarget(now time.Duration, id direct.TargetID, i replica.Item, source string, logged bool) {
	c.edge.mu.Lock()
	lost := c.edge.forward.RemoveTarget(now, id)
	c.edge.mu.Unlock()
	c.resetFlows(now, lost, direct.ResetGone, id)
	if logged {
		c.log.Info("target gone", zap.Stringer("target", id), c.revision(i), zap.String("source", source), zap.Int("lostFlows", len(lost)))
	}
}
