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
	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/platform"
)

const (
	// peerSilent is how long a balancer that sends no heartbeat counts as there.
	peerSilent = time.Second
	// peerForgotten is how long it is remembered for the log.
	peerForgotten = time.Minute
	// loadMemory is how long the loads of a silent balancer count.
	loadMemory = time.Second
	// unprovenAge is the age of the copy from which on it is taken from a balancer
	// that has just listed the store: above the 0.9 s that reads and heartbeats take,
	// and below the age at which this balancer would read the store itself.
	unprovenAge = time.Second
)

// receive reads heartbeats until the socket is closed.
func (c *control) receive() {
	buf := make([]byte, peer.MaxMessage+1)
	for {
		n, _, err := c.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.edge.counts.readErrors.Add(1)
			continue
		}
		var h peer.Heartbeat
		if err := peer.Decode(buf[:n], &h); err != nil {
			c.edge.counts.badHeartbeats.Add(1)
			continue
		}
		c.offer(func() { c.heard(context.Background(), h) })
	}
}

func (c *control) heard(ctx context.Context, h peer.Heartbeat) {
	now := c.now()
	n := c.peers[h.From]
	if n != nil && h.Leaving && !n.last.Leaving {
		c.log.Info("balancer leaves", zap.String("peer", h.From))
	}
	if n == nil || now-n.heard > peerSilent {
		c.log.Info("balancer heard", zap.String("peer", h.From), zap.Stringer("position", h.Revision()), zap.Int64("version", h.Version))
	}
	if n == nil {
		n = &neighbour{}
		c.peers[h.From] = n
	}
	n.last, n.heard = h, now
	c.settleLike(now, h)
	if c.lacks(now, h) && !c.reader.Succeeding() {
		c.fetchChanges(ctx, h.Control, h.Era, h.History)
	}
	c.found(now, h)
}

// lacks takes what a balancer says of its copy, and reports whether this one's had
// better be brought up to it. One that may lack something takes it from a reader, or
// from anybody if no reader has confirmed it for a while.
func (c *control) lacks(now time.Duration, h peer.Heartbeat) bool {
	if h.Position == 0 {
		return false
	}
	switch c.replica.Confirm(h.Revision(), h.LastChange, h.History, now-h.Age) {
	case replica.Behind:
		return true
	case replica.Unproven:
		return h.Reading || c.replica.Age(now) > unprovenAge
	}
	return false
}

// found takes over findings about targets.
func (c *control) found(now time.Duration, h peer.Heartbeat) {
	for i, id := range h.Suspected {
		id := direct.TargetID(id)
		dead := slices.Contains(h.Dead, i)
		c.edge.mu.Lock()
		var news bool
		var lost []direct.Segment
		if c.edge.forward.SameStart(id, h.Revision()) {
			news = c.edge.forward.PeerSuspects(now, id)
			if dead {
				lost = c.edge.forward.PeerFoundDead(now, id)
			}
		}
		due := c.edge.forward.ChecksDue()
		c.edge.mu.Unlock()
		if due {
			c.lookSoon()
		}
		if news || len(lost) > 0 {
			c.log.Info("target suspected by a peer", zap.Stringer("target", id), zap.String("peer", h.From), zap.Bool("dead", dead), zap.Int("lostFlows", len(lost)))
		}
		c.resetFlows(now, lost, direct.ResetSilent, id)
	}
}

// stays reports whether a balancer is heard and does not stop.
func (n *neighbour) stays(now time.Duration) bool {
	return now-n.heard <= peerSilent && !n.last.Leaving
}

// served reports whether a balancer that comes before this one reads the store. One whose
// copy is of an earlier era, or that knows no eras as its version is older, proves nothing
// to this one.
func (c *control) served(now time.Duration) bool {
	for name, n := range c.peers {
		if now-n.heard > peerForgotten {
			delete(c.peers, name)
			continue
		}
		if n.stays(now) && n.last.Reading && n.last.Era >= c.replica.Position().Era && c.fleet.Before(name) {
			return true
		}
	}
	return false
}

// peerLoads sums what the flows of the other balancers hold. It is to be called with
// the forwarder locked.
func (c *control) peerLoads(now time.Duration) map[direct.TargetID]direct.Load {
	out := map[direct.TargetID]direct.Load{}
	for _, n := range c.peers {
		if now-n.heard > loadMemory {
			continue
		}
		for _, u := range n.last.Loads {
			id := direct.TargetID(u.ID)
			if !c.edge.forward.SameStart(id, n.last.Revision()) {
				continue
			}
			out[id] = out[id].Plus(direct.Load{Flows: u.Flows, Busy: u.Busy})
		}
	}
	return out
}

// peerOutcomes sums how the requests of the other balancers of this data centre
// ended. What a balancer told fades like its own counts. It is to be called with the
// forwarder locked.
func (c *control) peerOutcomes(now time.Duration) map[direct.TargetID]direct.Outcome {
	out := map[direct.TargetID]direct.Outcome{}
	for _, n := range c.peers {
		if n.last.DataCenter != c.edge.boot.DataCenter {
			continue
		}
		for _, o := range n.last.Outcomes {
			id := direct.TargetID(o.ID)
			if !c.edge.forward.SameStart(id, n.last.Revision()) {
				continue
			}
			out[id] = out[id].Plus(o.Outcome().Decayed(now - n.heard))
		}
	}
	return out
}

// applyMember takes another balancer's registration.
func (c *control) applyMember(i replica.Item) {
	if i.Deleted {
		c.removeMember(i.Key)
		return
	}
	delete(c.unregistered, i.Key)
	m, err := peer.DecodeMember(i.Value)
	if err != nil {
		c.edge.counts.badItems.Add(1)
		c.log.Error("member's registration is not usable: it counts as removed", zap.String("member", i.Key), c.revision(i), zap.Error(err))
		c.removeMember(i.Key)
		return
	}
	c.fleet.Put(i.Key, m)
}

// removeMember takes the end of a registration.
//
// Failure: the store takes away a registration whose balancer lives, and turns
// that balancer away. It shows as a copy that gets old on it, as nobody sends it
// heartbeats. Who hears it goes on telling it what is new.
func (c *control) removeMember(key string) {
	if c.hears(key) {
		c.unregistered[key] = true
		return
	}
	c.fleet.Remove(key)
	if key == c.edge.registration() {
		c.lease.revoked(c, c.now())
	}
}

// hears reports whether heartbeats of the balancer with a registration's key
// arrive.
func (c *control) hears(key string) bool {
	n := c.peers[strings.TrimPrefix(key, platform.MemberPrefix)]
	return n != nil && n.stays(c.now())
}

// forgetUnregistered ends the membership of balancers that have lost their
// registration and are no longer heard.
func (c *control) forgetUnregistered() {
	for key := range c.unregistered {
		if !c.hears(key) {
			delete(c.unregistered, key)
			c.fleet.Remove(key)
		}
	}
}
