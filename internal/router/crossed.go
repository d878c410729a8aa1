package router

import (
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
)

// acceptedByOther ends an opening that is under way here, or was refused, when another target
// already has this very flow, which its acknowledgement of the caller's first
// numbers shows.
//
// Failure: views differ, another balancer delivered that target's SYN-ACK as
// home, and this one retried at a second target. It shows as an answer of the
// first one with numbers of this opening. The caller has its connection there;
// the second target never saw more than the opening packet and is reset.
// A caller that has its connection ignores a refusal.
func (c *call) acceptedByOther(e *flow.Entry, id uint32) bool {
	plain := !c.seg.IsAccept() && !c.seg.IsReset() && c.seg.HasAck()
	undecided := e.State == flow.Opening || e.State == flow.Queued || e.State == flow.Refused
	if e.Target == id || !plain || !undecided || c.seg.Ack-e.Seq-1 >= maxUnacked {
		return false
	}
	if c.isBare() && c.seg.Ack == e.Seq+1 {
		return false // an answer to a repeated opening packet
	}
	c.decide(FlowCrossed, e)
	c.abandon(e)
	c.r.remove(e.Key)
	return true
}

// crossed drops an answer of a target that is not the flow's.
//
// Failure: a port is used again, or an opening was retried, while packets of
// the former target are on their way; the caller would take them for its own
// answer. They show as coming from another target than the recorded one. Balancers that
// learned from them are corrected.
//
// Failure: the former home gave the caller a connection to another target than this one,
// which has yet to hear of it. It shows as a reset by this one's target, to which the
// correction sends the caller's packets. So nobody is corrected to a target whose
// acceptance the caller has not confirmed.
//
// A reset may reject another balancer's probe, which the correction ends.
func (c *call) crossed(e *flow.Entry, id uint32) {
	if c.seg.IsAccept() {
		c.rejectAccept(e, true, id)
		return
	}
	c.decide(DropCrossedAnswer, e)
	if e.Target == 0 || e.State == flow.Accepted || c.seg.IsReset() && e.State != flow.Open {
		return
	}
	hop := geneve.Hop{Kind: geneve.Correct, Count: 1, Target: c.v.Targets[e.Target].Addr}
	c.toOthers(hop, c.seg.Raw)
}
