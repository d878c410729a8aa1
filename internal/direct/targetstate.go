package direct

import (
	"time"

	"rosedale.dev/rosedale/internal/revision"
	"rosedale.dev/rosedale/internal/slowstart"
)

// target is a Target with what this balancer knows of it.
type target struct {
	Target
	centre     *centre // where it is; follows DataCenter
	group      *group  // those of its service there
	coldUntil  time.Duration
	limit      slowstart.Limit   // of openings while it is cold
	limitFleet int               // the fleet that the limit is of
	drainSince time.Duration     // when it was heard to drain
	departed   bool              // its registration was removed
	left       bool              // after it had said that it would leave
	endedAt    time.Duration     // when it was found dead or its registration went
	shadowed   bool              // an older target has the same cookie
	since      revision.Revision // at which its start was learnt, if an earlier one was known
	unusable   bool              // its registration has become unusable; see DisableTarget

	flows int // open flows that pass this balancer
	busy  int // requests under way that pass this balancer
	peers Load

	record      record  // of the requests that pass this balancer
	peerOutcome Outcome // of those that pass others, as far as they tell
	extra       float64 // load that it seems to have more; see grade
	failing     bool    // as told last

	progress   time.Duration // last packet that shows it alive
	stalls     int           // repeats and unanswered openings since then
	overdue    bool          // it owes an answer for longer than usual
	avoidUntil time.Duration // until when a suspicion keeps new flows away
	told       bool          // another balancer suspected it first
	testified  bool          // another balancer's callers wait there in vain
	waited     bool          // this balancer's did when it was found dead

	verify   bool // check it without further evidence
	witness  bool // the check is of this balancer's own link
	checking bool
	checked  time.Duration // start of the last check
	failed   int           // checks in a row without an answer
	finding  Finding       // of the last check
	dead     bool          // confirmed by checks
	lostAt   time.Duration // start of the last check that confirmed it
}

// Load is what flows hold at one target.
type Load struct {
	Flows int // open flows
	Busy  int // requests under way
}

// Plus returns the sum of two loads.
func (l Load) Plus(x Load) Load { return Load{l.Flows + x.Flows, l.Busy + x.Busy} }

// placeable reports whether new flows could be told apart and sent to the target.
func (t *target) placeable() bool { return !t.shadowed && !t.unusable }

// replaced reports whether the last check found that the target as it registered
// itself is not at its address.
func (t *target) replaced() bool { return t.finding == Gone || t.finding == Restarted }

// eligible reports whether new flows may go to the target.
func (t *target) eligible(now time.Duration) bool {
	return !t.departed && !t.Draining && !t.dead && t.placeable() && now >= t.avoidUntil
}

// registered reports whether new flows may go to the target if none is eligible.
// One whose address refuses connections is not there, whatever the list says.
func (t *target) registered(time.Duration) bool {
	return !t.departed && !t.Draining && t.placeable() && !t.replaced()
}

// lateDrain is how long after its announcement was heard a draining target may
// still get new flows, and a lapsed one: news takes up to 1.3 s, and the bound is 3 s.
const lateDrain = 1200 * time.Millisecond

// leaving reports whether new flows may go to the target if all others are
// leaving too.
func (t *target) leaving(now time.Duration) bool {
	return !t.departed && t.Draining && t.placeable() && !t.replaced() && now-t.drainSince < lateDrain
}

// lapsed reports whether new flows may go to the target if no registered one is
// left: its own has just gone, though it had not said that it would leave.
//
// Failure: registrations run out while the store is away, and are all gone when it
// is back. It shows as callers who are told that there is no target, for a second or
// two, until living targets have registered again: 33 openings of one outage.
func (t *target) lapsed(now time.Duration) bool {
	return t.departed && !t.left && !t.dead && t.placeable() && !t.replaced() && now-t.endedAt < lateDrain
}

// unverified reports whether the target's registration has lapsed and no check has begun
// since that tells whether its flows are lost.
//
// Failure: registrations run out while the store is away, or behind a cut, and every
// balancer of a large fleet checks every target. It shows as connections that crowd out
// callers' openings. Gain: as only balancers with a flow there check, and others once one
// comes, 850 targets got 86,000 instead of 176,000 connections within a minute in which
// their registrations ran out twice, and callers were served as before.
func (t *target) unverified() bool {
	return t.departed && !t.left && !t.dead && t.checked < t.endedAt
}

// cleared reports whether nothing speaks against the target any more.
func (t *target) cleared() bool {
	return !t.dead && !t.verify && !t.overdue && !t.checking && t.stalls == 0 && t.failed == 0
}

// clear ends all suspicion.
func (t *target) clear() {
	t.stalls = 0
	t.overdue = false
	t.avoidUntil = 0
	t.told = false
	t.testified = false
	t.failed = 0
	t.finding = Alive
	t.dead = false
}
