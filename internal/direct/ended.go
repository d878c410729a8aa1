package direct

import "time"

// recheckPause is the minimum time between two checks of a dead target that are triggered by
// packets of its flows. It equals the callers' first retransmission timeout.
const recheckPause = 200 * time.Millisecond

// resetReason returns why a flow has to be reset, if its target is certainly gone. The caller
// can then try elsewhere at once instead of retransmitting until its deadline. first is when
// the flow's first packet was seen here.
//
// A target that was found dead may have started again under its identifier, and another
// balancer that knows may have opened a flow there. A balancer without that update must not
// reset the flow. So a flow first seen after the target was found dead is kept until a check
// that began later finds the target dead too, or a later complete list lacks the target.
func (f *Forwarder) resetReason(now time.Duration, t *target, k FlowKey, first time.Duration) (Reason, bool) {
	unlisted := f.listCompleteAt > first+listMargin
	switch {
	case t.left && now-t.lastAlive > minSilence && (first < t.endedAt || unlisted):
		return ResetGone, true
	case !t.dead || !f.canResetPending(t, k):
		return 0, false
	case first < t.deadCheckAt || t.departed && unlisted:
		return ResetSilent, true
	}
	return 0, false
}

// resetLeft returns the flows to reset at once because their target has left: of callers that wait
// for an answer, and idle ones, whose next request would be lost (see markDead). If the target
// showed life just now, they are kept until their next packet; see resetReason.
func (f *Forwarder) resetLeft(now time.Duration, t *target) []Segment {
	if t.flows == 0 || now-t.lastAlive <= minSilence {
		return nil
	}
	var out []Segment
	for _, fl := range f.flowsOf(t) {
		if !fl.open || fl.ended {
			continue
		}
		out = append(out, fl.segment())
		if fl.held != nil {
			f.cancelHeld(fl.key, fl.held)
		}
		f.closeFlow(fl) // it stays in the table, so that further packets of it are reset as well
	}
	f.counts[ResetGone] += uint64(len(out))
	return out
}
