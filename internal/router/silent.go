package router

import (
	"time"

	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/packet"
)

const (
	// quietTicks without an answer seen here make a balancer pass payload
	// through the flow's home, where the pieces come together.
	quietTicks = uint32(2 * time.Second / flow.TickLength)
	// minRepeats of one segment make a flow silent: SilentAfter apart, they are
	// the fourth or fifth of a TCP's retransmissions.
	minRepeats = 2
	// minSilentPayload leaves out keepalive and window probes, which repeat
	// a sequence number although they are answered.
	minSilentPayload = 2
	maxSilences      = 1 << 14
)

// silence follows one segment that a caller repeats.
type silence struct {
	seq, ack uint32
	count    int
	first    time.Duration
	last     time.Duration
}

// silentAtHome handles a packet that another balancer knows but has seen no
// answer to. mu is not held.
func (c *call) silentAtHome() {
	if !c.isHome() && c.hop.Count < openingHops {
		c.toHome()
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	e, ok := c.load()
	if !ok {
		id, known := c.v.TargetIDs[TargetKey{c.addr.Service, c.hop.Target}]
		if !known {
			c.r.Note(DropForeignTarget)
			return
		}
		e = flow.Entry{Key: c.key, Target: id, State: flow.Open, Answered: tick(c.now)}
		c.r.hold(&e, c.addr.Service, c.addr.Unit())
		c.r.Note(FlowAdopted)
	}
	if !c.placeKnown(&e) {
		c.probeUnknown()
	}
}

// resetSilent notes a caller's packet and, when its flow has gone silent,
// resets both ends.
//
// Failure: something between the two ends forgot the connection and drops its
// packets, while new connections work. It shows as one segment repeated with
// the same sequence and acknowledgement numbers: a flow that is answered moves
// on in one of them. The target must have answered other flows meanwhile, or
// DeadAfter must pass: a target that is paused keeps its flows. The caller then
// reconnects rather than hangs. Health reports are not consulted.
//
// Failure: an answer passes here and is lost on its way to the caller, who repeats its
// segment seconds later. It shows as a reset of a flow that both ends hold, as its own
// answer is taken for one to another flow. Answers of the flow itself begin the count anew.
func (c *call) resetSilent(e *flow.Entry) bool {
	if c.seg.PayloadLen < minSilentPayload || e.State == flow.Closing {
		return false
	}
	s := c.r.silences[e.Key]
	if s == nil && len(c.r.silences) >= maxSilences {
		return false
	}
	if s == nil || s.seq != c.seg.Seq || s.ack != c.seg.Ack || e.Answered >= tick(s.first) {
		c.r.silences[e.Key] = &silence{seq: c.seg.Seq, ack: c.seg.Ack, count: 1, first: c.now, last: c.now}
		return false
	}
	s.count++
	s.last = c.now
	if s.count < minRepeats || !c.silentLongEnough(s, e.Target) {
		return false
	}
	c.r.Note(ResetSilent)
	c.out.caller(packet.ResetTo(&c.seg))
	c.out.target(c.v, e.Target, packet.ResetAlong(&c.seg))
	c.end(e)
	return true
}

func (c *call) silentLongEnough(s *silence, target uint32) bool {
	age := c.now - s.first
	answersOthers := time.Duration(c.v.Targets[target].Answered.Load()) > s.first
	return age >= c.r.set.DeadAfter || age >= c.r.set.SilentAfter && answersOthers
}
