package edge

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/peer"
)

const (
	// farTicks and wideTicks pace heartbeats to other data centres, and within
	// a large data centre, in ticks.
	farTicks  = 3
	wideTicks = 2
	// alarmPause takes suspicions together: 32 targets that crash at once would
	// else be 32 datagrams from each balancer to each other.
	alarmPause = tickInterval / 2
	// outcomePause takes requests that ended badly together, in large fleets: 24
	// balancers of a data centre then hear 80 heartbeats a second each at most.
	outcomePause = 3 * tickInterval
)

// heartbeat tells others what this balancer knows.
func (c *control) heartbeat(now time.Duration) {
	c.tell(now, c.audience())
}

// alarmIfDue tells new suspicions at once to all balancers of this data centre, and to
// those of others that speak for theirs.
//
// Gain: without it each of 24 balancers of a data centre lost a request on each
// of its flows to find out for itself; 450 of 3,860 requests were late in the 2 s
// in which 20 of 150 targets fell silent.
func (c *control) alarmIfDue(now time.Duration) {
	if !c.alarmDue || now-c.alarmed < alarmPause || c.edge.without.Has(direct.Alarms) {
		return
	}
	c.alarmDue, c.alarmed = false, now
	c.tell(now, slices.Concat(c.fleet.Near(), c.fleet.Relays()))
}

// outcomesIfDue tells the balancers near by of a large data centre how requests
// to failing targets end. In small fleets every heartbeat does.
//
// Failure: a target fails part of its requests. Of 24 balancers each has one
// request to it in five seconds, and none knows enough.
func (c *control) outcomesIfDue(now time.Duration) {
	if c.fleet.Small() || now-c.outcomesTold < outcomePause {
		return
	}
	c.edge.mu.Lock()
	due := c.edge.forward.BadSeen() && len(c.edge.forward.Outcomes(now)) > 0
	c.edge.mu.Unlock()
	if due {
		c.outcomesTold = now
		c.tell(now, c.fleet.Near())
	}
}

func (c *control) tell(now time.Duration, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	b, err := encodeShort(c.state(now))
	if err != nil {
		c.log.Error("heartbeat", zap.Error(err))
		return
	}
	for _, a := range to {
		if _, err := c.udp.WriteToUDPAddrPort(b, a); err != nil {
			c.edge.counts.sendErrors.Add(1)
		}
		c.edge.counts.heartbeatsSent.Add(1)
	}
}

// encodeShort encodes a heartbeat. What does not fit is left out, outcomes first:
// without them others only place worse.
func encodeShort(h peer.Heartbeat) ([]byte, error) {
	b, err := peer.Encode(h)
	if err != nil || len(b) <= peer.MaxMessage {
		return b, err
	}
	h.Outcomes = nil
	return peer.Encode(h)
}

// state returns what a heartbeat says.
func (c *control) state(now time.Duration) peer.Heartbeat {
	h := peer.Heartbeat{
		From:       c.edge.boot.VM,
		DataCenter: c.edge.boot.DataCenter,
		Control:    c.edge.boot.Control,
		Version:    c.version,
		Leaving:    c.leaving,
	}
	if c.replica.Loaded() {
		h.Position, h.Era = c.replica.Position().Number, c.replica.Position().Era
		h.Settling = c.settling.Left(now)
		h.LastChange = c.replica.LastChange()
		h.History = c.replica.History()
		h.Age = c.replica.Age(now)
		h.Reading = c.reader.Succeeding() && now-c.readDone < peerSilent
	}
	e := c.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.fleet.Small() {
		h.Loads = peer.Uses(e.forward.Loads())
	}
	h.Outcomes = peer.TargetOutcomes(e.forward.Outcomes(now))
	h.Suspected, h.Dead = findings(e.forward)
	return h
}

// findings returns the targets that failed their last check, and the places among them
// of those that were found dead. It is to be called with the forwarder locked.
func findings(f *direct.Forwarder) (suspected []uint64, dead []int) {
	found := f.FoundDead()
	for i, id := range f.Suspected() {
		if i == peer.MaxSuspected {
			break
		}
		suspected = append(suspected, uint64(id))
		if slices.Contains(found, id) {
			dead = append(dead, i)
		}
	}
	return suspected, dead
}

// audience returns who gets a heartbeat in this tick.
func (c *control) audience() []netip.AddrPort {
	if c.fleet.Small() {
		if c.ticks%farTicks == 0 {
			return slices.Concat(c.fleet.Near(), c.fleet.Far())
		}
		return c.fleet.Near()
	}
	switch {
	case c.ticks%wideTicks != 0:
		return nil
	case c.reader.Reading():
		return slices.Concat(c.fleet.Near(), c.fleet.Relays())
	case c.fleet.Rank() == 0:
		return c.fleet.Near()
	}
	return nil
}
