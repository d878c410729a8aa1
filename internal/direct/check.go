package direct

import "time"

// Finding is the result of a check.
type Finding uint8

// The results of a check. Any answer shows that the target is alive, whatever health it
// reports, because health answers may be false.
const (
	Alive  Finding = iota // an answer arrived, or the check was inconclusive
	Gone                  // the address refuses connections
	Silent                // no connection was set up, possibly due to the path
	// Restarted means that another start of the target answered.
	Restarted
	// Hung means that the connection was accepted, but no answer came for longer than a full
	// queue usually takes. It may work on its requests for longer, so that only its new flows are
	// kept away as long as it is registered.
	Hung
	// AddressReused means that another target answered. An address is given to another target
	// only after the end of the one that had it.
	AddressReused
)

// String returns the name used in logs and status.
func (x Finding) String() string {
	return [...]string{"alive", "gone", "silent", "restarted", "hung", "address_reused"}[x]
}

// unanswered reports whether a check got no answer, which is no evidence against the target
// while its flows make progress.
func (x Finding) unanswered() bool { return x == Silent || x == Hung }

// CheckResult holds the consequences of a check.
type CheckResult struct {
	// Notify requests that a new suspicion or a dead target be reported to peers.
	Notify bool
	// Resets are the flows to reset at once because their target is dead.
	Resets []Segment
}

// Checked handles the result of this balancer's check of one start of a target. The result is
// ignored if the target has started again meanwhile.
func (f *Forwarder) Checked(now time.Duration, of Start, x Finding) CheckResult {
	t := f.targets[of.ID]
	if t == nil || t.Start() != of {
		return CheckResult{}
	}
	if t.checkRunning {
		t.checkRunning = false
		f.checksRunning--
	}
	if f.takeLinkProbe(t, x) {
		return CheckResult{}
	}
	if x == Alive || x.unanswered() && t.lastAlive > t.checkedAt {
		t.clearSuspicion()
		if x == Alive {
			t.answeredAt = t.checkedAt
			t.recordLife(now)
		}
		return CheckResult{}
	}
	f.addSuspect(t)
	if f.mayStillWork(now, t, x) {
		t.clearSuspicion() // its machine responds
		t.finding = x
		t.suspect(now)
		t.avoidUntil += now - t.checkedAt // the next check may take as long
		return CheckResult{}
	}
	result := CheckResult{Notify: t.finding == Alive && !t.peerSuspected}
	t.finding = x
	t.suspect(now)
	t.failedChecks++
	if x == Hung {
		t.failedChecks = max(t.failedChecks, confirmChecks) // a hung check takes as long as two others
	}
	switch {
	case x == Restarted:
		// The next registration decides which flows are lost.
	case t.gone():
		result.Resets = f.markDead(now, t)
	case !f.othersAlive(now, t) && !f.ownLinkWorks(now, t):
		f.probeOwnLink(now, t)
	case t.failedChecks >= confirmChecks && t.silenceConfirmed():
		result.Resets = f.markDead(now, t)
	}
	if t.dead {
		t.deadCheckAt = t.checkedAt
	}
	result.Notify = result.Notify || len(result.Resets) > 0 && t.callersWaited
	return result
}

// mayStillWork reports whether a target may be at work on its requests although its machine has refused
// the check or left it unanswered.
func (f *Forwarder) mayStillWork(now time.Duration, t *target, x Finding) bool {
	switch x {
	case Gone:
		foundBefore := t.dead && t.gone()
		return !foundBefore && !f.hasEnded(now, t)
	case Hung:
		return !f.registrationEnded(now, t)
	}
	return false
}

// hasEnded reports whether a target that refuses connections has ended along with its flows.
//
// A target that announced its end closes its listening socket first and then works off the
// requests it has accepted, however long these take. Neither refused checks nor silence tell
// that from its end; the removal of its registration does.
func (f *Forwarder) hasEnded(now time.Duration, t *target) bool {
	return !f.mayBeLeaving(now, t) || f.registrationEnded(now, t)
}

// mayBeLeaving reports whether the target leaves, or may have announced that and closed its
// listening socket since the list of targets was last complete. It serves for the drain time after its
// announcement, so that a list that is younger would have it.
func (f *Forwarder) mayBeLeaving(now time.Duration, t *target) bool {
	return t.Draining || f.drainTime > 0 && f.lapses.known && now-f.readyAt(t) >= f.drainTime
}

// readyAt returns when a target that has not announced its end was last known to be registered.
func (f *Forwarder) readyAt(t *target) time.Duration {
	if t.departed {
		return t.listedAt
	}
	return f.listCompleteAt
}

// registrationEnded reports whether the registration was removed for another reason than an
// outage of the store: the target has left, or has written no heartbeats.
func (f *Forwarder) registrationEnded(now time.Duration, t *target) bool {
	return t.left || t.departed && !f.lapses.possible(now)
}

// refuses reports whether the target refuses connections, which does not show that it has ended.
func (t *target) refuses() bool { return t.finding == Gone && !t.dead }

// refusesFlows reports whether there are flows at a target that refuses connections. It is
// checked again until its end is known.
func (t *target) refusesFlows() bool { return t.refuses() && t.flows > 0 }

// failedCheck reports whether the latest check counts against the target; see mayStillWork.
func (t *target) failedCheck() bool {
	return t.finding != Alive && (t.dead || t.finding != Gone && t.finding != Hung)
}

// gone reports whether the latest check has shown that no process of the target is left.
func (t *target) gone() bool { return t.finding == Gone || t.finding == AddressReused }

// silenceConfirmed reports whether there is evidence against the target besides failed
// checks: waiting flows or an expired registration. An unanswered check alone does not
// suffice, because the health check may hang while the target's flows are served.
func (t *target) silenceConfirmed() bool { return t.stalls > 0 || t.peerCallersWait || t.departed }
