package edge

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/readfail"
	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/platform"
)

const (
	// peerSilent is the silence after which a balancer counts as inactive.
	peerSilent = time.Second
	// peerRetention is how long a silent balancer is remembered. For this time the status
	// lists it, and the outcomes that it has reported count.
	peerRetention = time.Minute
	// loadRetention is how long the loads reported by a silent balancer count.
	loadRetention = time.Second
	// unprovenAge is the age of the replica above which changes are fetched from any
	// balancer whose history starts too late to prove this replica current, as after a
	// listing of the store. Up to that age they are fetched from such a balancer only if it
	// reads the store. The age is above the 0.9 s that reads and heartbeats take, and below
	// that at which this balancer would read the store itself.
	unprovenAge = time.Second
)

// receive reads heartbeats until the socket is closed or cannot be read any more. It runs on
// its own goroutine.
func (c *control) receive() {
	buf := make([]byte, peer.MaxMessage+1)
	var failures readfail.Streak
	for {
		n, waited, err := c.udp.read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !c.edge.readFailed(&failures, "heartbeats", err) {
				return
			}
			continue
		}
		failures.Succeeded()
		var h peer.Heartbeat
		if err := peer.Decode(buf[:n], &h); err != nil {
			c.edge.counts.invalidHeartbeats.Add(1)
			continue
		}
		arrived := c.now() - waited
		c.tryPost(func() { c.handleHeartbeat(context.Background(), h, arrived) })
	}
}

// handleHeartbeat handles a heartbeat that arrived at the given time, which may be long ago
// if this process was paused.
func (c *control) handleHeartbeat(ctx context.Context, h peer.Heartbeat, arrived time.Duration) {
	now := c.now()
	p := c.peers[h.From]
	isNew := p == nil || now-p.lastReceived > peerSilent
	switch {
	case h.Leaving && (isNew || !p.last.Leaving):
		c.log.Info("balancer is stopping", zap.String("peer", h.From))
	case isNew:
		c.log.Info("heartbeat from a new or returned balancer", zap.String("peer", h.From), zap.Stringer("position", h.Revision()), zap.Int64("version", h.Version))
	}
	if p == nil {
		p = &peerState{}
		c.peers[h.From] = p
	}
	p.last, p.lastReceived = h, now
	if h.DataCenter == c.edge.boot.DataCenter {
		c.stepBack.Heard(now)
	}
	c.settleFromPeer(now, h)
	c.noteAnnounced(now, h)
	if c.isBehind(now, h, arrived) && !c.reader.Succeeding(now) && c.mayFetch(now) {
		c.fetchFromAny(ctx, now, append([]source{sourceOf(h)}, c.sourcesAhead(now)...))
	}
	c.applyFindings(now, h)
}

// isBehind evaluates a peer's report of its replica, which arrived at the given time, and
// reports whether to fetch changes from the peer. If it is unproven whether this replica
// lacks changes, it fetches them from a reader, or from any peer if no reader has confirmed
// this replica for some time.
func (c *control) isBehind(now time.Duration, h peer.Heartbeat, arrived time.Duration) bool {
	if h.Position == 0 {
		return false
	}
	switch c.replica.Confirm(h.Revision(), h.LastChange, h.History, arrived-h.Age) {
	case replica.Behind:
		return true
	case replica.Unproven:
		return h.Reading || c.replica.Age(now) > unprovenAge
	}
	return false
}

// applyFindings applies a peer's findings: the targets that it suspects or found dead.
func (c *control) applyFindings(now time.Duration, h peer.Heartbeat) {
	for i, id := range h.Suspected {
		id := direct.TargetID(id)
		dead := slices.Contains(h.Dead, i)
		c.edge.mu.Lock()
		var changed bool
		var lost []direct.Segment
		if c.edge.forward.SameStart(id, h.Revision()) {
			changed = c.edge.forward.PeerSuspects(now, id)
			if dead {
				lost = c.edge.forward.PeerFoundDead(now, id)
			}
		}
		due := c.edge.forward.ChecksDue()
		c.edge.mu.Unlock()
		if due {
			c.checkSoon()
		}
		if changed || len(lost) > 0 {
			c.log.Info("target suspected by a peer", zap.Stringer("target", id), zap.String("peer", h.From), zap.Bool("dead", dead), zap.Int("lostFlows", len(lost)))
		}
		c.resetFlows(now, lost, direct.ResetSilent, id)
	}
}

// isActive reports whether a balancer sends heartbeats and is not stopping.
func (p *peerState) isActive(now time.Duration) bool {
	return now-p.lastReceived <= peerSilent && !p.last.Leaving
}

// hasActiveReader reports whether a balancer earlier in the order of readers reads the
// store, or a response of the store arrives there. A balancer whose replica is of an earlier era, or whose older version does not
// support eras, proves nothing to this one and is not counted. It also forgets balancers
// that have been silent for longer than peerRetention.
func (c *control) hasActiveReader(now time.Duration) bool {
	for name, p := range c.peers {
		if now-p.lastReceived > peerRetention {
			delete(c.peers, name)
			continue
		}
		if p.isActive(now) && (p.last.Reading || p.last.Arriving) && p.last.Era >= c.replica.Position().Era && c.fleet.Before(name) {
			return true
		}
	}
	return false
}

// peerLoads sums the loads of targets by the flows of the other balancers. The
// forwarder's lock must be held.
func (c *control) peerLoads(now time.Duration) map[direct.TargetID]direct.Load {
	out := map[direct.TargetID]direct.Load{}
	for _, p := range c.peers {
		if now-p.lastReceived > loadRetention {
			continue
		}
		for _, l := range p.last.Loads {
			id := direct.TargetID(l.ID)
			if !c.edge.forward.SameStart(id, p.last.Revision()) {
				continue
			}
			out[id] = out[id].Plus(direct.Load{Flows: l.Flows, Busy: l.Busy})
		}
	}
	return out
}

// peerOutcomes sums the outcomes of requests of the other balancers of this data centre.
// Reported outcomes decay like this balancer's own counts. The forwarder's lock must be
// held.
func (c *control) peerOutcomes(now time.Duration) map[direct.TargetID]direct.Outcome {
	out := map[direct.TargetID]direct.Outcome{}
	for _, p := range c.peers {
		if p.last.DataCenter != c.edge.boot.DataCenter {
			continue
		}
		for _, o := range p.last.Outcomes {
			id := direct.TargetID(o.ID)
			if !c.edge.forward.SameStart(id, p.last.Revision()) {
				continue
			}
			out[id] = out[id].Plus(o.Outcome().Decayed(now - p.lastReceived))
		}
	}
	return out
}

// applyMember applies a balancer's registration or its removal. The balancer may be this
// one.
func (c *control) applyMember(i replica.Item) {
	if i.Deleted {
		c.removeMember(i.Key)
		return
	}
	delete(c.unregistered, i.Key)
	m, err := peer.DecodeMember(i.Value)
	if err != nil {
		c.edge.counts.invalidItems.Add(1)
		c.log.Error("member's registration is not usable: it counts as removed", zap.String("member", i.Key), c.revision(i), zap.Error(err))
		c.removeMember(i.Key)
		return
	}
	c.fleet.Put(i.Key, m)
}

// removeMember handles the removal of a registration.
//
// Guards against a store that removes the registration of a live balancer and rejects
// that balancer. Without heartbeats from others its replica would get old. Balancers that
// still get its heartbeats therefore keep sending updates to it.
func (c *control) removeMember(key string) {
	if c.isMemberActive(key) {
		c.unregistered[key] = true
		return
	}
	c.fleet.Remove(key)
	if key == c.edge.registration() {
		c.lease.revoked(c, c.now())
	}
}

// isMemberActive reports whether the balancer with the given registration key sends
// heartbeats and is not stopping.
func (c *control) isMemberActive(key string) bool {
	p := c.peers[strings.TrimPrefix(key, platform.MemberPrefix)]
	return p != nil && p.isActive(c.now())
}

// forgetUnregistered removes balancers that have lost their registration and are inactive.
func (c *control) forgetUnregistered() {
	for key := range c.unregistered {
		if !c.isMemberActive(key) {
			delete(c.unregistered, key)
			c.fleet.Remove(key)
		}
	}
}
