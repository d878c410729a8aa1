package direct

import (
	"time"

	"rosedale.dev/rosedale/internal/revision"
	"rosedale.dev/rosedale/internal/slowstart"
)

// never stands for the time of an event before all others.
const never = -time.Hour

// target is a Target together with this balancer's view of it.
type target struct {
	Target
	centre       *centre // where it is; follows DataCenter
	group        *group  // of its service in that data centre
	coldUntil    time.Duration
	coldLimit    slowstart.Limit // on openings while it is cold
	limitVersion int             // Forwarder.fleetVersion of coldLimit
	// drainingSince is when its draining state was learnt, or never if it was draining when the
	// target was learnt of, possibly for long.
	drainingSince time.Duration
	departed      bool              // its registration was removed
	left          bool              // its registration was removed after it announced that it leaves
	endedAt       time.Duration     // when it was marked dead or its registration was removed
	listedAt      time.Duration     // when the last complete list that had it was read, if departed
	cookieTaken   bool              // another target has the same cookie; see claimCookie
	startRevision revision.Revision // at which its start was learnt, if an earlier one was known
	invalid       bool              // its registration has become invalid; see DisableTarget

	flows    int // open flows through this balancer
	busy     int // requests in flight through this balancer
	peerLoad Load
	places   int // flows through this balancer that hold a place; see place

	record      record  // of requests through this balancer
	peerOutcome Outcome // of requests through peers, as reported
	extraLoad   float64 // load added for failed requests; see updateScore
	failing     bool    // state in the latest OutlierChange

	lastAlive       time.Duration // latest sign of life in packets, at first when it was added
	showedLife      bool          // there was one
	stalls          int           // retransmissions and unanswered openings since lastAlive or an answered check
	overdue         bool          // a request has exceeded its timeout
	avoidUntil      time.Duration // end of the suspicion, which keeps new flows away
	peerSuspected   bool          // a peer has suspected it
	peerCallersWait bool          // callers of a peer wait for its answers
	callersWaited   bool          // callers of this balancer waited for it when it was marked dead

	checkWanted  bool // check it without further evidence
	lifeWanted   bool // places would be given back by a sign of life
	linkProbe    bool // the check is one of this balancer's own link
	checkRunning bool
	checkedAt    time.Duration // start of the latest check
	answeredAt   time.Duration // start of the latest check that was answered
	failedChecks int           // consecutive failed checks; a peer's may be the first, and Hung counts as two
	finding      Finding       // of the latest check
	dead         bool          // confirmed by checks
	deadCheckAt  time.Duration // start of the latest check that confirmed it dead
}

// Load counts the flows and requests at one target.
type Load struct {
	Flows int // open flows
	Busy  int // requests in flight
}

// Plus returns the sum of two loads.
func (l Load) Plus(x Load) Load { return Load{l.Flows + x.Flows, l.Busy + x.Busy} }

// placeable reports whether the target has a cookie of its own and a valid registration,
// which new flows need.
func (t *target) placeable() bool { return !t.cookieTaken && !t.invalid }

// replaced reports whether the latest check showed that the registered start of the target is
// not at its address.
func (t *target) replaced() bool { return t.gone() || t.finding == Restarted }

// eligible reports whether new flows may go to the target.
func (t *target) eligible(now time.Duration) bool {
	return !t.departed && !t.Draining && !t.dead && t.placeable() && now >= t.avoidUntil
}

// registered reports whether new flows may go to the target if none is eligible. A target that
// the latest check did not find at its address is excluded; see replaced.
func (t *target) registered(time.Duration) bool {
	return !t.departed && !t.Draining && t.placeable() && !t.replaced()
}

// lateOpeningWindow is how long a draining target may get new flows after its announcement
// arrived here, and an expired one after its removal. Updates take up to 1.3 s, and a target
// must get no new flows from 3 s after its announcement on.
const lateOpeningWindow = 1200 * time.Millisecond

// leaving reports whether new flows may go to the target if all others are leaving too.
func (t *target) leaving(now time.Duration) bool {
	return !t.departed && t.Draining && t.placeable() && !t.replaced() && now-t.drainingSince < lateOpeningWindow
}

// expired reports whether new flows may go to the target if no registered one is left, or if
// its group has expired together: its registration was removed recently, without an
// announcement that it leaves.
//
// Registrations run out while the store is unavailable and are all gone when it is back.
// Without this, openings would be refused for a second or two, until living targets have
// registered again; in one outage this affected 33 openings.
func (t *target) expired(now time.Duration) bool {
	return t.departed && !t.left && !t.dead && t.placeable() && !t.replaced() && now-t.endedAt < lateOpeningWindow
}

// uncheckedSinceExpiry reports whether the target's registration has expired and no check has
// begun since then to show whether its flows are lost.
//
// When registrations run out because of a store outage or a network cut, checks by every
// balancer of a large fleet at every target would crowd out callers' openings. Only balancers
// with a flow at the target check it, and others once a packet of one arrives. This reduced
// the connections to 850 targets from 176,000 to 86,000 within a minute in which their
// registrations ran out twice, without effect on callers.
func (t *target) uncheckedSinceExpiry() bool {
	return t.departed && !t.left && !t.dead && t.checkedAt < t.endedAt
}

// unsuspected reports whether there is no evidence against the target and no check is running
// or due.
func (t *target) unsuspected() bool {
	return !t.dead && !t.checkWanted && !t.overdue && !t.checkRunning && t.stalls == 0 && t.failedChecks == 0 && !t.refusesFlows()
}

// clearSuspicion resets all evidence against the target.
func (t *target) clearSuspicion() {
	if t.dead || t.avoidUntil > 0 {
		t.expireShares()
	}
	t.stalls = 0
	t.overdue = false
	t.avoidUntil = 0
	t.peerSuspected = false
	t.peerCallersWait = false
	t.failedChecks = 0
	t.finding = Alive
	t.dead = false
}
