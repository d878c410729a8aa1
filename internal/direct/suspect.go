package direct

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectStalls is the number of retransmissions without any sign of life from which on a
	// target gets no new flows. A single one may be due to a lost packet.
	suspectStalls = 2
	// suspicionTime is how long a suspicion keeps new flows away without new evidence. It
	// covers two checks and the pause before the next one.
	suspicionTime = 1500 * time.Millisecond
	// checkPause is the minimum time between the starts of two checks of one target, as each
	// takes one of its slots. confirmPause, recheckPause and lifePause are the exceptions.
	checkPause = time.Second
	// lifePause is that time while openings wait for places that a sign of life would give back:
	// half of a goal of 0.5 s.
	lifePause = 250 * time.Millisecond
	// confirmPause is that time after a first failed check, because the second one decides.
	confirmPause = 50 * time.Millisecond
	// confirmChecks is the number of consecutive unanswered checks after which a target may
	// be marked dead.
	confirmChecks = 2
	// maxChecks is the maximum number of concurrent checks. Each takes about 0.3 ms of CPU
	// time, and 5 ms on the smallest VM.
	maxChecks = 16
	// aliveWindow is how recent the signs of life of other targets must be; otherwise this
	// balancer's own link may be the cause.
	aliveWindow = 500 * time.Millisecond
	// aliveRatio is how many other targets of the data centre must have shown life for each
	// other one that is suspected too.
	aliveRatio = 2
	// minSilence is how long a target must have shown no life before retransmissions count
	// against it. Callers retransmit after 200 ms without an acknowledgement.
	minSilence = 150 * time.Millisecond
)

// recordStall records a retransmission or an unanswered opening as evidence against the
// flow's target.
//
// When a target loses power or is cut off, retransmissions on all its flows show it seconds
// before its registration expires. The first one causes a check, and two without a sign of life
// in between keep new flows away. Only failed checks reset its open flows, as those of a living
// target have to be kept.
func (f *Forwarder) recordStall(now time.Duration, fl *flow) {
	t := fl.target
	if now-t.lastAlive < minSilence {
		return
	}
	t.stalls++
	if t.stalls >= suspectStalls && f.showedLife && now-f.lastAlive < aliveWindow {
		t.suspect(now)
	}
	f.addSuspect(t)
	f.checksDue = true
}

// suspect keeps new flows away from a target for a while.
func (t *target) suspect(now time.Duration) {
	t.avoidUntil = now + suspicionTime
	t.expireShares()
}

// addSuspect makes TargetsToCheck consider a target.
func (f *Forwarder) addSuspect(t *target) { f.suspects[t] = true }

// requestCheck makes a target due for a check without further evidence.
func (f *Forwarder) requestCheck(t *target) {
	t.checkWanted = true
	f.addSuspect(t)
	f.checksDue = true
}

// sortedByID returns a set of targets sorted by identifier, so that decisions are
// deterministic.
func sortedByID(set map[*target]bool) []*target {
	return slices.SortedFunc(maps.Keys(set), func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
}

// TargetsToCheck returns the targets to check now and counts a check of each as running.
func (f *Forwarder) TargetsToCheck(now time.Duration) []Target {
	var out []Target
	for _, t := range sortedByID(f.suspects) {
		if f.checksRunning >= maxChecks {
			break
		}
		if t.unsuspected() {
			delete(f.suspects, t)
			continue
		}
		if !t.dueForCheck(now) {
			continue
		}
		t.checkRunning = true
		f.checksRunning++
		t.checkWanted, t.lifeWanted = false, false
		t.overdue = false
		t.checkedAt = now
		out = append(out, t.Target)
	}
	return out
}

// dueForCheck reports whether the target has to be checked and the pause since its previous
// check is over.
func (t *target) dueForCheck(now time.Duration) bool {
	pause := checkPause
	switch {
	case t.dead && t.checkWanted:
		pause = recheckPause
	case t.failedChecks == 1:
		pause = confirmPause
	case t.lifeWanted:
		pause = lifePause
	}
	switch {
	case t.checkRunning || now-t.checkedAt < pause:
		return false
	case t.departed && t.dead:
		return false
	}
	return t.dead || t.checkWanted || t.overdue || t.stalls > 0 || t.refusesFlows()
}

// othersAlive reports whether most other targets of this data centre are alive.
//
// If this balancer's own link is congested, as while it loads a large catalogue over
// 10 Mbit/s, retransmissions and failed checks occur for many living targets at once, whose
// flows must not be reset.
func (f *Forwarder) othersAlive(now time.Duration, t *target) bool {
	live, suspected := 0, 0
	for _, o := range f.targets {
		switch {
		case o == t || o.departed || o.dead || o.DataCenter != f.dataCenter:
		case o.stalls > 0 || o.failedChecks > 0:
			suspected++
		case o.showedLife && now-o.lastAlive < aliveWindow:
			live++
		}
	}
	return live > 0 && live >= aliveRatio*suspected
}

// PeerSuspects handles another balancer's suspicion of a target. It reports whether the
// target was not suspected before.
//
// A network cut between data centres makes targets unreachable from one side only, and the
// other side must not reset the flows of living targets. So the suspicion of a peer only
// keeps new flows away for a while. A balancer with flows at the target checks it and counts
// the peer's check as its own first one.
func (f *Forwarder) PeerSuspects(now time.Duration, id TargetID) bool {
	t := f.targets[id]
	if t == nil || t.dead || t.departed || now-t.lastAlive < minSilence {
		return false
	}
	isNew := now >= t.avoidUntil
	t.suspect(now)
	t.peerSuspected = true
	if t.flows > 0 && t.failedChecks == 0 && now-t.checkedAt > checkPause {
		t.failedChecks = 1
		f.requestCheck(t)
	}
	return isNew
}

// Suspected returns the targets that failed this balancer's latest check of them. Peers count that as
// a failed check of their own, so that targets which may still work are not reported.
func (f *Forwarder) Suspected() []TargetID {
	var out []TargetID
	for t := range f.suspects {
		if t.failedCheck() && !t.departed {
			out = append(out, t.ID)
		}
	}
	return out
}
