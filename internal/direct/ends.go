package direct

import (
	"math"
	"time"
)

const (
	// endsTimeConstant is that with which earlier ends count less.
	endsTimeConstant = 5 * time.Second
	// minUnseenEnds is the number of unseen ends, weighted by age, from which on a gate may stop
	// limiting. A balancer with two places that sees no end has five.
	minUnseenEnds = 4
	// minUnseenForChecks is that number from which on requests whose end is not seen cause checks.
	// A gate that sees the ends, at targets that are slow for long, causes none.
	minUnseenForChecks = 1
	// unseenShare and seenAgainShare are the shares of unseen ends at which a gate stops limiting
	// and begins again.
	unseenShare    = 0.5
	seenAgainShare = 0.25
	// placeTimeoutFactor times the median for which places are held, and tailMargin times the tail
	// of the response times, is how long a request keeps its place at a saturated gate if its end
	// is not seen.
	placeTimeoutFactor = 6
)

// ends counts how requests give their places back. If the network spreads the packets of a flow
// over balancers, a balancer sees the beginning of a request and not its end. Each place is then
// kept for maxBusyTime, and the limit would delay and reject callers while targets are idle.
type ends struct {
	seen, unseen float64 // weighted by age
	total        uint64  // of unseen ends
	unlimited    bool    // most ends are unseen, so that places say nothing
	at           time.Duration
}

// update lets earlier ends count less and decides whether the gate limits.
func (e *ends) update(now time.Duration) {
	left := math.Exp(-float64(max(now-e.at, 0)) / float64(endsTimeConstant))
	e.at = now
	e.seen *= left
	e.unseen *= left
	switch share := e.unseen / (e.seen + e.unseen); {
	case !e.unlimited:
		e.unlimited = e.unseen >= minUnseenEnds && share >= unseenShare
	case e.seen >= minUnseenEnds:
		e.unlimited = share > seenAgainShare
	}
}

// limits reports whether the gate limits requests.
func (g *serviceGate) limits() bool { return g.active && !g.ends.unlimited }

// countEnd counts an end of a request that a packet shows. If its place has expired before, the
// end was counted as unseen, which is taken back.
func (fl *flow) countEnd() {
	switch g := fl.place.gate; {
	case g != nil:
		g.ends.seen++
	case fl.expiredAt != nil:
		fl.expiredAt.ends.seen++
		fl.expiredAt.ends.unseen = max(fl.expiredAt.ends.unseen-1, 0)
	}
	fl.expiredAt = nil
}

// expirePlaces gives places of saturated gates back whose requests have probably ended unseen.
//
// Such a place hinders other requests only while places are short. Where a balancer had two places
// and sees the ends of most requests, a few of the others held both of them for maxBusyTime each,
// and openings waited and were rejected while all targets were idle.
//
// Life shown right after a request was sent says little: a target may have died since.
func (f *Forwarder) expirePlaces(now time.Duration) {
	if !f.shortOfPlaces(now) {
		return
	}
	q := &f.busyRequests
	for _, w := range q.list[q.head:] {
		if w.since > now-minAnswerTimeout {
			return
		}
		fl := w.flow
		g := fl.place.gate
		if g == nil || fl.removed || fl.requestedAt != w.since || !g.limits() || !g.Saturated(now) {
			continue
		}
		timeout := f.placeTimeout(fl)
		switch {
		case now-w.since <= timeout:
		case fl.place.target.showsLifeSince(w.since + timeout/2):
			f.expirePlace(fl)
		case g.waiting > 0 && g.ends.unseen >= minUnseenForChecks:
			f.requestLife(fl.place.target)
		}
	}
}

// requestLife makes a target without evidence against it due for a check, whose answer gives back
// the places of requests that have ended unseen.
//
// While these hold all places, no packet shows life of their targets, and openings would wait for
// as long as checkPause beside idle targets.
func (f *Forwarder) requestLife(t *target) {
	if t.dead || t.stalls > 0 || t.failedChecks > 0 {
		return
	}
	t.lifeWanted = true
	f.requestCheck(t)
}

// shortOfPlaces reports whether a limit of some gate was reached recently.
func (f *Forwarder) shortOfPlaces(now time.Duration) bool {
	for _, g := range f.gates {
		if g.limits() && g.Saturated(now) {
			return true
		}
	}
	return false
}

// placeTimeout returns how long a request keeps its place at a saturated gate if its end is not
// seen. A request that takes longer after all is beyond the limit for the rest of its time.
//
// Until the route's response time is known, it is the route's goal: a balancer that had just
// started learnt nothing, as requests with unseen ends held its two places for most of the time.
func (f *Forwarder) placeTimeout(fl *flow) time.Duration {
	b := f.baselineOf(fl.key.Address)
	if b.samples < minSamples {
		return f.goalOrBusyTime(fl)
	}
	g := fl.place.gate
	longest := max(float64(minAnswerTimeout), placeTimeoutFactor*max(b.medianTime, g.heldTime), tailMargin*b.tailTime)
	return min(time.Duration(longest*g.service.saturationRatio()), maxBusyTime)
}

// goalOrBusyTime returns the goal of the flow's route, or maxBusyTime if that is shorter or there is
// no goal.
func (f *Forwarder) goalOrBusyTime(fl *flow) time.Duration {
	if f.catalogue == nil {
		return maxBusyTime
	}
	if goal := f.catalogue.Routes[fl.key.Address].Goal; goal > 0 {
		return min(goal, maxBusyTime)
	}
	return maxBusyTime
}

// learnHeldTime updates the median of the times for which places are held until the end of their
// request is seen. It includes the time from an opening to its request.
func (g *serviceGate) learnHeldTime(held time.Duration) {
	x := max(float64(held), float64(minLongTermTime))
	if g.heldTime == 0 {
		g.heldTime = x
	}
	g.heldTime = moveMedian(g.heldTime, x, medianStep)
}

// showsLifeSince reports whether the target has shown life since a time and there is no evidence
// against it. An answered check counts too: while requests with unseen ends hold all places of a
// balancer, no packet may show life of their targets.
func (t *target) showsLifeSince(since time.Duration) bool {
	return max(t.lastAlive, t.answeredAt) > since && !t.dead && t.stalls == 0 && t.failedChecks == 0
}

// expirePlace gives back the place of a flow of which nothing has been seen for long. This counts
// as an unseen end only if the target has shown life meanwhile and there is no evidence against it:
// requests at a target that has died or cannot be reached have no end. Nor has a flow that was
// opened ahead of its first request.
func (f *Forwarder) expirePlace(fl *flow) {
	if g := fl.place.gate; g != nil && (fl.pending || !fl.open) && fl.place.target.showsLifeSince(fl.requestedAt) {
		g.ends.unseen++
		g.ends.total++
		fl.expiredAt = g
	}
	f.abandonPlace(fl)
}
