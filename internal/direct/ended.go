package direct

import "time"

// recheckPause is the least time between two checks of a dead target that are asked
// for by flows it may hold: as long as callers wait before they repeat.
const recheckPause = 200 * time.Millisecond

// ended says why a flow ends, if its target is certainly gone: its caller gets a
// reset at once and can try elsewhere, instead of repeating until its deadline. first
// is when the flow's first packet was seen here.
//
// Failure: a target that was found dead has started again under its identifier, and
// another balancer that knows has opened a flow there. It shows as a flow of a living
// target that is reset by a balancer without the news. So a flow first seen after the
// target was found dead goes on, until a check that began later finds it dead too, or
// a list that was complete later lacks it.
func (f *Forwarder) ended(now time.Duration, t *target, k FlowKey, first time.Duration) (Reason, bool) {
	unlisted := f.proven > first+lapseMargin
	switch {
	case t.left && now-t.progress > quiet && (first < t.endedAt || unlisted):
		return ResetGone, true
	case !t.dead || !f.hopeless(t, k):
		return 0, false
	case first < t.lostAt || t.departed && unlisted:
		return ResetSilent, true
	}
	return 0, false
}
