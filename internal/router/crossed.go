package router

import (
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
)

// acceptedElsewhere ends an opening that is pending or refused here when
// another target already has the flow, as its acknowledgement of the caller's
// first sequence numbers shows. It reports whether it did.
//
// While views differ, another balancer may deliver that target's SYN-ACK as
// home while this one retries at a second target. The caller then has its
// connection at the first target. The second one never got more than the
// opening packet and is reset. A caller with a connection ignores a refusal.
func (c *call) acceptedElsewhere(e *flow.Entry, id uint32) bool {
	acknowledges := !c.seg.IsAccept() && !c.seg.IsReset() && c.seg.HasAck()
	undecided := e.State == flow.Opening || e.State == flow.Queued || e.State == flow.Refused
	if e.Target == id || !acknowledges || !undecided || c.seg.Ack-e.Seq-1 >= maxUnacked {
		return false
	}
	if c.isBareAck() && c.seg.Ack == e.Seq+1 {
		return false // an answer to a retransmitted opening packet
	}
	c.report(FlowCrossed, e)
	c.abandon(e)
	c.r.remove(e.Key)
	return true
}

// connectedByOther reports whether an answer of the target of a pending opening shows that the
// caller is connected there, as it acknowledges the caller's payload. While views differ, another
// balancer may deliver the SYN-ACK as home.
func (c *call) connectedByOther(e *flow.Entry) bool {
	unacked := c.seg.Ack - e.Seq - 1
	return e.State == flow.Opening && c.seg.HasAck() && !c.isBareAck() && unacked > 0 && unacked < maxUnacked
}

// continueOpening handles an answer that connectedByOther reports as one of an established
// connection.
func (c *call) continueOpening(e *flow.Entry) {
	if o := c.r.openings[e.Key]; o != nil {
		c.r.removeOpening(e.Key, o)
	}
	e.State = flow.Open
	c.deliverAnswer(e)
}

// dropCrossed drops an answer of a target other than the recorded one. Such an
// answer is called crossed.
//
// When a port is reused or an opening is retried, packets of the former target
// may still be in transit, and the caller would accept them as answers of its
// new flow. Balancers that learned the wrong target from them are corrected.
//
// No correction is sent while the recorded target's SYN-ACK is not
// acknowledged by the caller. The former home may have given the caller a
// connection to another target before the handover reaches this balancer; a
// correction would send the caller's packets to this one's target, which would
// reset the flow.
//
// A reset may be the rejection of another balancer's probe; the correction
// ends that probe. It repeats the number that the probed packet acknowledges.
// If that is the number after the recorded SYN-ACK, the caller has confirmed
// that SYN-ACK to another balancer.
func (c *call) dropCrossed(e *flow.Entry, id uint32) {
	if c.seg.IsAccept() {
		c.rejectAccept(e, true, id)
		return
	}
	c.report(DropCrossedAnswer, e)
	if e.Target == 0 || !c.mayCorrect(e) {
		return
	}
	hop := geneve.Hop{Kind: geneve.Correct, Count: 1, Target: c.v.Targets[e.Target].Addr}
	c.sendToPeers(hop, c.seg.Raw)
}

// mayCorrect reports whether the dropped answer of another target is followed by
// corrections to the recorded one.
func (c *call) mayCorrect(e *flow.Entry) bool {
	switch {
	case e.State == flow.Accepted:
		return c.seg.IsReset() && c.seg.Seq == e.Seq+1
	case c.seg.IsReset():
		return e.State == flow.Open
	}
	return true
}
