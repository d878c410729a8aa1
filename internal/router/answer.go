package router

import (
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
)

// answerSlow handles a target's packet that the fast path left: acceptances,
// ends, resets, and answers of flows that this balancer does not know.
func (c *call) answerSlow(id uint32) {
	if c.has && c.hop.Kind == geneve.Correct {
		c.correct(id)
		return
	}
	if c.isHome() || c.hop.Count >= openingHops {
		c.r.mu.Lock()
		defer c.r.mu.Unlock()
		c.answerAtHome(id)
		return
	}
	c.learn(id)
	c.r.Increment(HomeForwarded)
	hop := geneve.Hop{Kind: geneve.Answer, Count: c.hop.Count + 1, Flags: c.hop.Flags & geneve.FlagRecorded, Target: c.v.Targets[id].Addr}
	if c.seg.IsReset() && c.recordedAt(id) {
		hop.Flags |= geneve.FlagRecorded
	}
	c.out.peer(c.v, c.home, c.addr.Service, hop, c.seg.Raw)
}

// recordedAt reports whether the flow is on record here at a target.
func (c *call) recordedAt(id uint32) bool {
	e, ok := c.load()
	return ok && e.Target == id && (isLive(e.State) || e.State == flow.Closing)
}

// learn records the target of a passing answer. The answer itself goes to the
// home, which corrects the record if it has another target.
func (c *call) learn(id uint32) {
	if c.has || c.seg.IsAccept() || c.seg.IsReset() {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	now := tick(c.now)
	e, ok := c.load()
	if e.Flags&flow.Counted != 0 || c.r.openings[c.key] != nil || e.State == flow.Accepted {
		return // decided here: only the home's word changes it
	}
	if c.onlyHints(&e, ok, id) {
		return
	}
	if !ok || e.State == flow.Hinted {
		c.r.Increment(FlowLearned)
		e = flow.Entry{Key: c.key, Target: id, State: flow.Learned}
	}
	if e.Target != id {
		// A later flow of the same ports, or a stray of an earlier one: the
		// home that gets this answer next corrects the latter.
		e = flow.Entry{Key: c.key, Target: id, State: flow.Learned}
	}
	e.LastPacket, e.LastAnswer = now, now
	if c.seg.HasAck() {
		e.Seq = c.seg.Ack
	}
	if c.seg.IsFin() {
		e.State = flow.Closing
	}
	c.r.store(e)
}

// onlyHints reports whether an answer does not show that the target has the
// flow, and keeps it as a hint.
//
// Failure: a target's SYN-ACK is lost, it answers the repeated opening packet
// with a bare acknowledgement, and the opening goes to another target. It shows
// as a balancer that sends the caller's payload to the target left behind. A
// bare acknowledgement counts only when a later one differs: the flow moved on.
func (c *call) onlyHints(e *flow.Entry, known bool, id uint32) bool {
	if !c.isBare() {
		return false
	}
	hinted := known && e.State == flow.Hinted
	if known && !hinted {
		return e.Target != id
	}
	if hinted && e.Target == id && e.Seq != c.seg.Ack {
		return false
	}
	c.r.store(flow.Entry{Key: c.key, Target: id, State: flow.Hinted, Seq: c.seg.Ack, LastPacket: tick(c.now)})
	return true
}

// isBare reports whether an answer carries neither payload nor an end.
func (c *call) isBare() bool { return c.seg.PayloadLen == 0 && !c.seg.IsFin() }

// correct replaces a learned target, or the candidate of a probe, by the home's. It never
// touches a flow that this balancer decided itself.
func (c *call) correct(id uint32) {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	e, ok := c.load()
	if !ok || e.Flags&flow.Counted != 0 || e.State != flow.Learned && e.State != flow.Probing {
		return
	}
	c.decide(FlowCorrected, &e)
	if e.State == flow.Probing {
		c.endProbe(&e, id)
		return
	}
	e.Target = id
	c.r.store(e)
}

func (c *call) answerAtHome(id uint32) {
	e, ok := c.load()
	ok = ok && e.State != flow.Spilled && e.State != flow.Hinted
	if ok && c.hop.Flags&geneve.FlagFormer != 0 && e.State != flow.Handed && !c.accepts(&e, id) {
		ok = false
		c.hop.Flags |= geneve.FlagCrossed // so that nobody adopts it
	}
	if c.seg.IsAccept() && c.acceptOfAnother(&e, ok, id) {
		return
	}
	switch {
	case !ok || e.State == flow.Handed || c.acceptedByOther(&e, id) || c.foundAtOther(&e, id):
		c.adoptAnswer(id)
	case e.Target != id:
		c.crossed(&e, id)
	default:
		c.answerOfTarget(&e)
	}
}

// answerOfTarget handles an answer of a flow's recorded target.
func (c *call) answerOfTarget(e *flow.Entry) {
	now := tick(c.now)
	e.LastPacket, e.LastAnswer = now, now
	if e.Answers < 255 {
		e.Answers++
	}
	switch {
	case c.seg.IsReset():
		c.targetReset(e)
	case c.seg.IsAccept():
		c.accepted(e)
	case e.State == flow.Probing && !c.answersProbe(e):
		c.decide(DropCrossedAnswer, e)
	case e.State == flow.Opening:
		// A challenge to the opening from an older flow of the same ports:
		// the caller answers it with a reset that clears the way.
		c.out.caller(c.seg.Raw)
	default:
		c.answered(e)
	}
}

func (c *call) answered(e *flow.Entry) {
	if e.State == flow.Accepted && c.isBare() {
		// It may answer a repeated opening packet: the caller has not confirmed.
		c.r.store(*e)
		c.out.caller(c.seg.Raw)
		return
	}
	switch e.State {
	case flow.Accepted, flow.Learned, flow.Probing:
		e.State = flow.Open
		delete(c.r.probes, e.Key)
	}
	if c.seg.HasAck() {
		e.Seq = c.seg.Ack
	}
	c.out.caller(c.seg.Raw)
	if c.seg.IsFin() {
		c.end(e)
		return
	}
	if e.State == flow.Open && c.showsLife() {
		c.r.hold(e, c.addr.Service, c.addr.Unit())
	}
	c.r.store(*e)
}

func (c *call) accepted(e *flow.Entry) {
	if e.State == flow.Opening {
		e.State = flow.Accepted
		e.Seq = c.seg.Seq
		c.r.Increment(FlowOpened)
		c.r.pools[c.addr.Service].Accepted(e.Target)
		if o := c.r.openings[e.Key]; o != nil {
			c.r.finish(e.Key, o)
		}
	}
	c.r.store(*e)
	c.out.caller(c.seg.Raw)
}

// targetReset handles a reset from the recorded target.
func (c *call) targetReset(e *flow.Entry) {
	switch e.State {
	case flow.Opening:
		c.shed(e)
	case flow.Probing:
		c.probeRejected(e)
	default:
		if c.refusesOpening() {
			c.decide(DropLateRefusal, e)
			return
		}
		c.decide(ResetByTarget, e)
		c.out.caller(c.seg.Raw)
		c.end(e)
	}
}

// refusesOpening reports whether a reset answers an opening packet: it then
// has no number of its own (RFC 9293, section 3.10.7.1).
//
// Failure: a target refuses one copy of an opening packet and accepts a later
// one, and the refusal arrives last. It shows as a live flow that is taken for
// ended: its slot is given away, and a further copy of the opening packet opens
// it at another target. The caller ignores such a reset once it was accepted.
func (c *call) refusesOpening() bool { return c.seg.Seq == 0 && c.seg.HasAck() }

// shed handles a target that refuses an opening: it goes to another target.
func (c *call) shed(e *flow.Entry) {
	o := c.r.openings[e.Key]
	if o == nil {
		c.r.remove(e.Key)
		return
	}
	c.r.pools[c.addr.Service].Shed(c.now, e.Target)
	c.r.release(e, c.addr.Service, c.addr.Unit())
	c.r.retryShed(c.now, c.v, e, o, c.out)
	c.admitWaiting(c.addr.Service)
}

// adoptAnswer handles an answer of a flow that its home does not know, since
// another balancer was home when it opened: the target has the flow.
//
// A reset passes only for a flow that some balancer has on record at the target: it may be
// a candidate's rejection of another balancer's probe. Others go along the flow's order to
// the balancer that probes.
func (c *call) adoptAnswer(id uint32) {
	if c.seg.IsReset() && c.hop.Flags&geneve.FlagRecorded == 0 {
		if !c.askFormerHome(id, 0) {
			c.decide(DropUnknownReset, nil)
		}
		return
	}
	c.out.caller(c.seg.Raw)
	if c.seg.IsReset() {
		c.decide(ResetByTarget, nil)
		return
	}
	if c.isBare() && !c.seg.IsAccept() {
		return // which does not show that the target has the flow
	}
	e := flow.Entry{Key: c.key, Target: id, Seq: c.seg.Ack, LastPacket: tick(c.now), LastAnswer: tick(c.now), State: flow.Open}
	if c.seg.IsAccept() {
		e.State = flow.Accepted
		e.Seq = c.seg.Seq
	}
	if c.seg.IsFin() {
		e.State = flow.Closing
	} else if c.isHome() && (c.seg.IsAccept() || c.showsLife()) {
		c.r.hold(&e, c.addr.Service, c.addr.Unit())
	}
	c.decide(FlowAdopted, &e)
	if !c.r.store(e) {
		c.r.release(&e, c.addr.Service, c.addr.Unit())
		c.r.Increment(DropTableFull)
	}
}
