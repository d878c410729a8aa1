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
	// farTicks is the interval of heartbeats to other data centres in a small fleet, and
	// wideTicks that of all regular heartbeats in a large one, in ticks.
	farTicks  = 3
	wideTicks = 2
	// alarmInterval is the minimum interval between alarms. It batches suspicions:
	// otherwise 32 targets that crash at once would cause 32 datagrams from each balancer
	// to each other one.
	alarmInterval = tickInterval / 2
	// outcomeInterval is the minimum interval between updates about failed requests in
	// large fleets. With it, each of 24 balancers of a data centre receives at most 80 such
	// updates per second.
	outcomeInterval = 3 * tickInterval
	// stopAnnouncements is how often a planned stop is announced in a large fleet, at the stop
	// and at the ticks after it. Datagrams may be lost, and most balancers send no regular
	// heartbeats that would repeat the announcement.
	stopAnnouncements = 4
)

// heartbeat sends this balancer's heartbeat to the recipients of this tick.
func (c *control) heartbeat(now time.Duration) {
	c.sendHeartbeat(now, c.recipients())
}

// sendAlarmIfDue sends new suspicions at once to all balancers of this data centre and to
// the relays of the others.
//
// Without this, each of 24 balancers of a data centre lost a request on each of its flows
// before it suspected a target itself: 450 of 3,860 requests were late in the 2 s in
// which 20 of 150 targets fell silent.
func (c *control) sendAlarmIfDue(now time.Duration) {
	if !c.alarmDue || now-c.alarmSent < alarmInterval || c.edge.without.Has(direct.Alarms) {
		return
	}
	c.alarmDue, c.alarmSent = false, now
	c.sendHeartbeat(now, c.nearAndRelays())
}

// sendOutcomesIfDue sends the outcomes of requests to failing targets to the other
// balancers of this data centre in a large fleet, where few balancers send regular
// heartbeats. In a small one the regular heartbeats of each contain its outcomes.
//
// Guards against a target that fails part of its requests. If each of 24 balancers sends
// it one request in five seconds, none of them alone has enough data to detect that.
func (c *control) sendOutcomesIfDue(now time.Duration) {
	if c.fleet.Small() || now-c.outcomesSent < outcomeInterval {
		return
	}
	c.edge.mu.Lock()
	due := c.edge.forward.BadSeen() && len(c.edge.forward.Outcomes(now)) > 0
	c.edge.mu.Unlock()
	if due {
		c.outcomesSent = now
		c.sendHeartbeat(now, c.fleet.Near())
	}
}

// announceStopIfDue announces a planned stop. In a large fleet it goes to all balancers of this
// data centre and to the relays of the others, as often as stopAnnouncements says. In a small
// one the regular heartbeats repeat it.
//
// In a large fleet most balancers send no regular heartbeats. Without the announcements, others
// would take a stopping balancer for a live one or a lost one.
func (c *control) announceStopIfDue(now time.Duration) {
	if c.stopAnnouncements == 0 {
		return
	}
	c.stopAnnouncements--
	if c.fleet.Small() {
		c.stopAnnouncements = 0
		c.heartbeat(now)
		return
	}
	c.sendHeartbeat(now, c.nearAndRelays())
}

func (c *control) sendHeartbeat(now time.Duration, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	b, err := encodeHeartbeat(c.newHeartbeat(now))
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

// encodeHeartbeat encodes a heartbeat. If it is too long it omits the outcomes, and then the
// loads, without which peers only balance less well. If it stayed too long, peers would take this
// balancer for lost.
func encodeHeartbeat(h peer.Heartbeat) ([]byte, error) {
	b, err := peer.Encode(h)
	if err != nil || len(b) <= peer.MaxMessage {
		return b, err
	}
	h.Outcomes = nil
	b, err = peer.Encode(h)
	if err != nil || len(b) <= peer.MaxMessage {
		return b, err
	}
	h.Loads = nil
	return peer.Encode(h)
}

// newHeartbeat returns the heartbeat for the current state.
func (c *control) newHeartbeat(now time.Duration) peer.Heartbeat {
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
		h.Reading = c.reader.Succeeding(now) && now-c.readDone < peerSilent
		h.Arriving = c.arrivals.underWay(now, c.readDone)
	}
	e := c.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.fleet.Small() {
		h.Loads = peer.TargetLoads(e.forward.Loads())
	}
	h.Outcomes = peer.TargetOutcomes(e.forward.Outcomes(now))
	h.Suspected, h.Dead = findings(e.forward)
	return h
}

// findings returns the targets that failed their last check, and the indexes among them
// of those that were found dead. The forwarder's lock must be held.
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

// everyone returns all other balancers.
func (c *control) everyone() []netip.AddrPort { return slices.Concat(c.fleet.Near(), c.fleet.Far()) }

// nearAndRelays returns the balancers of this data centre and the relays of the others, which tell
// theirs.
func (c *control) nearAndRelays() []netip.AddrPort {
	return slices.Concat(c.fleet.Near(), c.fleet.Relays())
}

// recipients returns the balancers that get a heartbeat in this tick. In a small fleet all
// balancers send heartbeats to all others. In a large one only readers, and the first
// balancer in rank of each data centre, send them to their data centre. Readers also send
// them to the relays of the other data centres.
func (c *control) recipients() []netip.AddrPort {
	if c.fleet.Small() {
		if c.ticks%farTicks == 0 {
			return c.everyone()
		}
		return c.fleet.Near()
	}
	switch {
	case c.ticks%wideTicks != 0:
		return nil
	case c.reader.Reading():
		return c.nearAndRelays()
	case c.fleet.Rank() == 0:
		return c.fleet.Near()
	}
	return nil
}
