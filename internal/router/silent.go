package router

import (
	"time"

	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

const (
	// quietTicks is the time in ticks without an answer at this balancer after
	// which it passes a caller's payload through the flow's home, which compares
	// the observations of all balancers.
	quietTicks = uint32(2 * time.Second / flow.TickLength)
	// minCallerCopies is the number of copies of one segment from the caller
	// after which the home retransmits it as well.
	minCallerCopies = 2
	// minUnanswered is the number of unanswered copies of one segment, from
	// the caller and the home, after which a flow counts as silent.
	minUnanswered = 6
	// retransmitInterval is the minimum time between two of the home's copies.
	// It is longer than usual delays of acknowledgements and bursts of packet
	// loss.
	retransmitInterval = 300 * time.Millisecond
	// objectionWait is the time for other balancers to report a recent answer.
	objectionWait = 300 * time.Millisecond
	// minSilentPayload is the minimum payload in bytes of the segments that are
	// observed. It excludes keepalive and window probes, which repeat a
	// sequence number although they are answered.
	minSilentPayload = 2
	// maxRetransmissions is the maximum number of flows whose segments are
	// observed at a time.
	maxRetransmissions = 1 << 14
	// maxSuspects is the maximum number of flows of which a home retransmits
	// segments at a time.
	maxSuspects = 1 << 8
)

// retransmission is a segment that its caller retransmits.
type retransmission struct {
	seq, ack     uint32
	callerCopies int // copies from the caller
	firstAt      time.Duration
	lastAt       time.Duration
	packet       []byte // set once the home retransmits the segment
	homeCopies   int    // copies from the home
	homeCopyAt   time.Duration
	askedAt      time.Duration // 0 until the other balancers are asked
}

// silentAtHome handles a packet of a flow that another balancer knows but has
// forwarded no recent answer of. mu is not held.
func (c *call) silentAtHome() {
	if !c.isHome() && c.hop.Count < openingHops {
		c.forwardToHome()
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	e, ok := c.load()
	if !ok {
		id, known := c.v.TargetIDs[TargetKey{c.addr.Service, c.hop.Target}]
		if !known {
			c.r.Increment(DropForeignTarget)
			return
		}
		e = flow.Entry{Key: c.key, Target: id, State: flow.Open, LastAnswer: tick(c.now)}
		c.acquire(&e)
		c.report(FlowAdopted, &e)
	}
	if !c.forwardByEntry(&e) {
		e, ok = c.load() // forwardByEntry may have removed a crossed entry
		c.probeAfterAsking(e, ok && !isMarker(e.State))
	}
}

// resetSilent records a caller's packet and resets both ends of its flow if
// the flow is silent. It reports whether it did.
//
// A flow becomes silent when something between the two ends has lost the
// connection's state and drops its packets, while new connections work. The
// caller then sends one segment repeatedly with the same sequence and
// acknowledgement numbers, of which one would change if it were answered. The
// reset makes the caller reconnect instead of hanging. Since a paused target
// keeps its flows, the flow is reset only if the target has answered other
// flows in the meantime, or after DeadAfter. Health reports are not consulted.
//
// An answer may be forwarded here and lost on its way to the caller, which
// then retransmits its segment seconds later. Answers of the flow itself
// restart the count, so that they are not mistaken for answers to other flows and
// a live flow is not reset.
//
// Segments may be lost between the home and the target, and answers after
// another balancer forwarded them. The home therefore retransmits the segment
// itself, and asks the other balancers, before it resets a flow.
func (c *call) resetSilent(e *flow.Entry) bool {
	if c.seg.PayloadLen < minSilentPayload || e.State == flow.Closing {
		return false
	}
	s := c.r.retransmissions[e.Key]
	if s == nil && len(c.r.retransmissions) >= maxRetransmissions {
		return false
	}
	if s == nil || s.seq != c.seg.Seq || s.ack != c.seg.Ack || e.LastAnswer >= tick(s.firstAt) {
		c.forgetRetransmission()
		c.r.retransmissions[e.Key] = &retransmission{seq: c.seg.Seq, ack: c.seg.Ack, callerCopies: 1, firstAt: c.now, lastAt: c.now}
		return false
	}
	s.callerCopies++
	s.lastAt = c.now
	if s.callerCopies >= minCallerCopies && s.packet == nil && len(c.r.suspects) < maxSuspects {
		s.packet = append([]byte(nil), c.seg.Raw...)
		s.homeCopyAt = c.now
		c.r.suspects[e.Key] = s
	}
	return c.resetIfSilent(s, e)
}

// resetIfSilent resets both ends of a flow that meets all conditions of a
// silent one, after asking the other balancers.
func (c *call) resetIfSilent(s *retransmission, e *flow.Entry) bool {
	if s.callerCopies < minCallerCopies || s.callerCopies+s.homeCopies < minUnanswered || !c.silentLongEnough(s, e.Target) {
		return false
	}
	if s.askedAt == 0 && c.askPeers(e) {
		s.askedAt = c.now
		return false
	}
	if c.now-s.askedAt < objectionWait {
		return false
	}
	c.report(ResetSilent, e)
	c.out.sendToCaller(packet.ResetTo(&c.seg))
	c.out.sendToTarget(c.v, e.Target, packet.ResetAlong(&c.seg))
	c.endFlow(e)
	return true
}

func (c *call) silentLongEnough(s *retransmission, target uint32) bool {
	age := c.now - s.firstAt
	answersOthers := time.Duration(c.v.Targets[target].Answered.Load()) > s.firstAt
	return age >= c.r.settings.DeadAfter || age >= c.r.settings.SilentAfter && answersOthers
}

// askPeers asks all other balancers whether they forwarded a recent answer of
// the flow. It returns false if there are none.
func (c *call) askPeers(e *flow.Entry) bool {
	c.report(AskSilent, e)
	hop := geneve.Hop{Kind: geneve.Silent, Count: 1, Flags: geneve.FlagAsked, Target: c.v.Targets[e.Target].Addr}
	c.sendToPeers(hop, packet.Build(c.seg.Src, c.seg.Dst, c.seg.Seq, c.seg.Ack, c.seg.Flags, nil))
	return len(c.v.Nodes) > 1
}

// sendToPeers sends a packet to all other balancers.
func (c *call) sendToPeers(hop geneve.Hop, p []byte) {
	for i := range c.v.Nodes {
		if i != c.v.Self {
			c.out.sendToPeer(c.v, i, c.addr.Service, hop, p)
		}
	}
}

// reportRecentAnswer reports to a flow's home that the target answered recently,
// if this balancer has forwarded such an answer.
func (c *call) reportRecentAnswer() {
	e, ok := c.load()
	if !ok || c.isHome() || e.Target != c.v.TargetIDs[TargetKey{c.addr.Service, c.hop.Target}] {
		return
	}
	if e.State != flow.Open && e.State != flow.Learned || tick(c.now)-e.LastAnswer > quietTicks {
		return
	}
	hop := geneve.Hop{Kind: geneve.Silent, Count: c.hop.Count + 1, Flags: geneve.FlagAnswered}
	c.out.sendToPeer(c.v, c.home, c.addr.Service, hop, c.seg.Raw)
}

// handleObjection handles a peer's report of a recent answer of the flow's
// target.
func (c *call) handleObjection() {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.report(SilenceObjected, nil)
	c.forgetRetransmission()
}

// forgetRetransmission restarts the count of a flow's unanswered copies.
func (c *call) forgetRetransmission() {
	delete(c.r.retransmissions, c.key)
	delete(c.r.suspects, c.key)
}

// retransmitSuspects retransmits the segments of flows that may be silent, from
// half of SilentAfter on.
func (r *Router) retransmitSuspects(now time.Duration, v *View, out *Output) {
	var due []flow.Key
	for k, s := range r.suspects {
		if now-s.homeCopyAt >= retransmitInterval && now-s.firstAt >= r.settings.SilentAfter/2 {
			due = append(due, k)
		}
	}
	sortKeys(due)
	for _, k := range due {
		r.retransmitOne(now, v, k, out)
	}
}

func (r *Router) retransmitOne(now time.Duration, v *View, k flow.Key, out *Output) {
	s := r.suspects[k]
	c := call{r: r, v: v, now: now, out: out, key: k, keyHash: k.Hash()}
	e, ok := c.load()
	a, served := v.addressByID(k.Address)
	if !ok || !served || !isLive(e.State) || e.LastAnswer >= tick(s.firstAt) || c.seg.Decode(s.packet) != nil {
		c.forgetRetransmission()
		return
	}
	c.addr = &a.Address
	c.findHome(c.seg.Src, c.seg.Dst)
	if !c.isHome() {
		c.forgetRetransmission()
		return
	}
	s.homeCopyAt = now
	if c.resetIfSilent(s, &e) || s.callerCopies+s.homeCopies >= minUnanswered {
		return
	}
	s.homeCopies++
	r.Increment(SilentRepeated)
	out.sendToTarget(v, e.Target, s.packet)
}
