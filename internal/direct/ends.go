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
	// unseenShare and seenAgainShare are the shares of unseen ends at which a gate stops limiting
	// and begins again.
	unseenShare    = 0.5
	seenAgainShare = 0.25
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

// expirePlace gives back the place of a flow of which nothing has been seen for long. This counts
// as an unseen end only if the target has shown life meanwhile and there is no evidence against it:
// requests at a target that has died or cannot be reached have no end.
func (f *Forwarder) expirePlace(fl *flow) {
	t := fl.place.target
	if g := fl.place.gate; g != nil && t.lastAlive > fl.requestedAt && !t.dead && t.stalls == 0 && t.failedChecks == 0 {
		g.ends.unseen++
		g.ends.total++
		fl.expiredAt = g
	}
	f.abandonPlace(fl)
}
