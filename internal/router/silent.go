package router

import (
	"time"

	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

const (
	// quietTicks without an answer seen here make a balancer pass payload
	// through the flow's home, where the pieces come together.
	quietTicks = uint32(2 * time.Second / flow.TickLength)
	// minRepeats of one segment by its caller make the home repeat it too.
	minRepeats = 2
	// minUnanswered copies of one segment, the caller's and the home's, make a flow silent.
	minUnanswered = 6
	// repeatPause lies between two of the home's copies: twice a TCP's delayed answer,
	// and a loss of several packets in a row is over.
	repeatPause = 300 * time.Millisecond
	// objectionWait is how long the other balancers have to tell of an answer.
	objectionWait = 300 * time.Millisecond
	// minSilentPayload leaves out keepalive and window probes, which repeat
	// a sequence number although they are answered.
	minSilentPayload = 2
	maxSilences      = 1 << 14
	// maxSuspects bounds the flows that a home repeats segments of at once.
	maxSuspects = 1 << 8
)

// silence follows one segment that a caller repeats.
type silence struct {
	seq, ack uint32
	count    int // copies by the caller
	first    time.Duration
	last     time.Duration
	packet   []byte // kept while the home repeats the segment, nil before
	copies   int    // by the home
	copiedAt time.Duration
	askedAt  time.Duration // 0 before the others are asked
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
			c.r.Increment(DropForeignTarget)
			return
		}
		e = flow.Entry{Key: c.key, Target: id, State: flow.Open, LastAnswer: tick(c.now)}
		c.r.hold(&e, c.addr.Service, c.addr.Unit())
		c.decide(FlowAdopted, &e)
	}
	if !c.placeKnown(&e) {
		c.probeUnknown(0)
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
//
// Segments get lost behind the home, and answers after they passed another balancer: the
// home repeats the segment itself, and asks the others, before it resets a flow.
func (c *call) resetSilent(e *flow.Entry) bool {
	if c.seg.PayloadLen < minSilentPayload || e.State == flow.Closing {
		return false
	}
	s := c.r.silences[e.Key]
	if s == nil && len(c.r.silences) >= maxSilences {
		return false
	}
	if s == nil || s.seq != c.seg.Seq || s.ack != c.seg.Ack || e.LastAnswer >= tick(s.first) {
		c.forgetSilence()
		c.r.silences[e.Key] = &silence{seq: c.seg.Seq, ack: c.seg.Ack, count: 1, first: c.now, last: c.now}
		return false
	}
	s.count++
	s.last = c.now
	if s.count >= minRepeats && s.packet == nil && len(c.r.suspects) < maxSuspects {
		s.packet = append([]byte(nil), c.seg.Raw...)
		s.copiedAt = c.now
		c.r.suspects[e.Key] = s
	}
	return c.judgeSilence(s, e)
}

// judgeSilence resets both ends of a flow whose silence is shown, and asks the other
// balancers before it does.
func (c *call) judgeSilence(s *silence, e *flow.Entry) bool {
	if s.count < minRepeats || s.count+s.copies < minUnanswered || !c.silentLongEnough(s, e.Target) {
		return false
	}
	if s.askedAt == 0 && c.askOthers(e) {
		s.askedAt = c.now
		return false
	}
	if c.now-s.askedAt < objectionWait {
		return false
	}
	c.decide(ResetSilent, e)
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

// askOthers asks all other balancers for an answer of the flow that passed them, and
// reports whether there are any.
func (c *call) askOthers(e *flow.Entry) bool {
	c.decide(AskSilent, e)
	hop := geneve.Hop{Kind: geneve.Silent, Count: 1, Flags: geneve.FlagAsked, Target: c.v.Targets[e.Target].Addr}
	c.toOthers(hop, packet.Build(c.seg.Src, c.seg.Dst, c.seg.Seq, c.seg.Ack, c.seg.Flags, nil))
	return len(c.v.Nodes) > 1
}

// toOthers sends a packet to all other balancers.
func (c *call) toOthers(hop geneve.Hop, p []byte) {
	for i := range c.v.Nodes {
		if i != c.v.Self {
			c.out.peer(c.v, i, c.addr.Service, hop, p)
		}
	}
}

// objectToSilence tells a flow's home that its target answered lately.
func (c *call) objectToSilence() {
	e, ok := c.load()
	if !ok || c.isHome() || e.Target != c.v.TargetIDs[TargetKey{c.addr.Service, c.hop.Target}] {
		return
	}
	if e.State != flow.Open && e.State != flow.Learned || tick(c.now)-e.LastAnswer > quietTicks {
		return
	}
	hop := geneve.Hop{Kind: geneve.Silent, Count: c.hop.Count + 1, Flags: geneve.FlagAnswered}
	c.out.peer(c.v, c.home, c.addr.Service, hop, c.seg.Raw)
}

// heedObjection takes another balancer's word that a flow's target answers.
func (c *call) heedObjection() {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.decide(SilenceObjected, nil)
	c.forgetSilence()
}

// forgetSilence begins the count of a flow's unanswered copies anew.
func (c *call) forgetSilence() {
	delete(c.r.silences, c.key)
	delete(c.r.suspects, c.key)
}

// repeatSilent repeats the segments of flows that may be silent.
func (r *Router) repeatSilent(now time.Duration, v *View, out *Output) {
	var due []flow.Key
	for k, s := range r.suspects {
		if now-s.copiedAt >= repeatPause && now-s.first >= r.set.SilentAfter/2 {
			due = append(due, k)
		}
	}
	sortKeys(due)
	for _, k := range due {
		r.repeatOne(now, v, k, out)
	}
}

func (r *Router) repeatOne(now time.Duration, v *View, k flow.Key, out *Output) {
	s := r.suspects[k]
	c := call{r: r, v: v, now: now, out: out, key: k, hash: k.Hash()}
	e, ok := c.load()
	a, served := v.addressByID(k.Address)
	if !ok || !served || !isLive(e.State) || e.LastAnswer >= tick(s.first) || c.seg.Decode(s.packet) != nil {
		c.forgetSilence()
		return
	}
	c.addr = &a.Address
	c.locate(c.seg.Src, c.seg.Dst)
	if !c.isHome() {
		c.forgetSilence()
		return
	}
	s.copiedAt = now
	if c.judgeSilence(s, &e) || s.count+s.copies >= minUnanswered {
		return
	}
	s.copies++
	r.Increment(SilentRepeated)
	out.target(v, e.Target, s.packet)
}
