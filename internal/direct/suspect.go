package direct

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectStalls is the number of repeats without any sign of life from
	// which on a target gets no new flow: one may be a lost packet.
	suspectStalls = 2
	// avoidTime is how long a suspicion keeps new flows away without new
	// evidence. It outlasts two checks and the pause before the next one.
	avoidTime = 1500 * time.Millisecond
	// checkPause is the least time between two checks of one target: each
	// takes a slot of it.
	checkPause = time.Second
	// confirmPause is that time after a check that found no answer: the second
	// one decides.
	confirmPause = 50 * time.Millisecond
	// confirmChecks is the number of checks in a row without an answer after
	// which a target counts as dead.
	confirmChecks = 2
	// maxChecks bounds the checks under way: each takes about 0.3 ms of a
	// processor, 5 ms on the smallest VM.
	maxChecks = 16
	// othersAlive is how recently other targets must have shown life: else it
	// is this balancer's own link that is silent.
	othersAlive = 500 * time.Millisecond
	// othersShare is how many other targets near by must show life for each one
	// that is suspected too.
	othersShare = 2
	// quiet is how long a target must not have shown life before repeats count
	// against it: callers repeat after 200 ms without an acknowledgement.
	quiet = 150 * time.Millisecond
)

// unanswered notes a repeat: the target has not acknowledged for 200 ms.
//
// Failure: a target loses power or is cut off. It shows as repeats on all its
// flows, seconds before its registration lapses. Two repeats without a sign of
// life in between keep new flows away and have the target checked; only failed
// checks reset its open flows, as a target that lives must keep them.
func (f *Forwarder) unanswered(now time.Duration, fl *flow) {
	t := fl.target
	if now-t.progress < quiet {
		return
	}
	t.stalls++
	if t.stalls >= suspectStalls && now-f.progress < othersAlive {
		t.avoidUntil = now + avoidTime
	}
	f.suspect(t)
	f.due = true
}

// suspect has Suspects look at a target.
func (f *Forwarder) suspect(t *target) { f.suspects[t] = true }

// wantCheck has a target checked without further evidence, and soon.
func (f *Forwarder) wantCheck(t *target) {
	t.verify = true
	f.suspect(t)
	f.due = true
}

// inOrder returns a set of targets by identifier, so that the same events always
// lead to the same decisions.
func inOrder(set map[*target]bool) []*target {
	return slices.SortedFunc(maps.Keys(set), func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
}

// TargetsToCheck returns the targets to check now.
func (f *Forwarder) TargetsToCheck(now time.Duration) []Target {
	var out []Target
	for _, t := range inOrder(f.suspects) {
		if f.checking >= maxChecks {
			break
		}
		if t.cleared() {
			delete(f.suspects, t)
			continue
		}
		if !t.suspicious(now) {
			continue
		}
		t.checking = true
		f.checking++
		t.verify = false
		t.overdue = false
		t.checked = now
		out = append(out, t.Target)
	}
	return out
}

func (t *target) suspicious(now time.Duration) bool {
	pause := checkPause
	switch {
	case t.dead && t.verify:
		pause = recheckPause
	case t.failed == 1 || t.finding == Gone && !t.dead:
		pause = confirmPause
	}
	switch {
	case t.checking || now-t.checked < pause:
		return false
	case t.departed && t.dead:
		return false
	}
	return t.dead || t.verify || t.overdue || t.stalls > 0
}

// Finding is the outcome of a check.
type Finding uint8

// The findings. Any answer shows life, whatever it says of the target's health:
// health answers may be false.
const (
	Alive  Finding = iota
	Gone           // nothing listens at its address, or another target does
	Silent         // no connection in time, which may be the path's fault
	// Restarted means that another start of the target answers there.
	Restarted
	// Hung means that the connection was accepted, and no answer came for longer than a
	// full queue takes.
	Hung
)

// String returns the name in logs.
func (x Finding) String() string {
	return [...]string{"alive", "gone", "silent", "restarted", "hung"}[x]
}

// unanswered reports whether a check found nobody, which proves nothing while the target's
// flows go on.
func (x Finding) unanswered() bool { return x == Silent || x == Hung }

// CheckResult is what a check has changed.
type CheckResult struct {
	// Notify tells that others should hear of a new suspicion or a dead target.
	Notify bool
	// Resets are the flows to reset at once: they wait for a dead target.
	Resets []Segment
}

// Checked takes the outcome of this balancer's own check of one start of a target.
// An outcome that comes when another start is known says nothing of that one.
func (f *Forwarder) Checked(now time.Duration, of Start, x Finding) CheckResult {
	t := f.targets[of.ID]
	if t == nil || t.Start() != of {
		return CheckResult{}
	}
	if t.checking {
		t.checking = false
		f.checking--
	}
	if f.witnessed(t, x) {
		return CheckResult{}
	}
	if x == Alive || x.unanswered() && t.progress > t.checked {
		t.clear()
		return CheckResult{}
	}
	f.suspect(t)
	v := CheckResult{Notify: t.finding == Alive && !t.told}
	t.finding = x
	t.failed++
	if x == Hung {
		t.failed = max(t.failed, confirmChecks) // it took as long as two others
	}
	t.avoidUntil = now + avoidTime
	switch {
	case x == Restarted:
		// Its registration will follow, and says which of its flows are lost.
	case x == Gone && f.hasEnded(now, t):
		v.Resets = f.bury(now, t)
	case !f.othersLive(now, t) && !f.ownLinkWorks(now, t):
		f.askOwnLink(now, t)
	case t.failed >= confirmChecks && t.mute():
		v.Resets = f.bury(now, t)
	}
	if t.dead {
		t.lostAt = t.checked
	}
	v.Notify = v.Notify || len(v.Resets) > 0 && t.waited
	return v
}

// hasEnded reports whether a target that refuses connections has ended with its
// flows.
//
// Failure: a target that had announced its end closes its socket first and then
// answers the requests it has. It shows as flows that are reset 10 ms before their
// answer. A caller that repeats gets no more acknowledgement; but with a full queue
// callers repeat before their turn comes, so that the target must also have shown no
// life for as long as the queue takes.
func (f *Forwarder) hasEnded(now time.Duration, t *target) bool {
	return !t.Draining || t.mute() && now-t.progress > f.CheckTimeout(t.Service)
}

// mute reports whether more than the checks speaks against the target.
//
// Failure: a target's health check hangs while its flows are served. A check
// without an answer proves nothing then; flows that wait in vain do, and so does
// a registration that lapsed.
func (t *target) mute() bool { return t.stalls > 0 || t.testified || t.departed }

// othersLive reports whether the targets near by are well but for this one.
//
// Failure: this balancer's own link is choked, as while it loads a large
// catalogue over 10 Mbit/s. It shows as repeats and failed checks on many
// targets that live, whose flows would be reset.
func (f *Forwarder) othersLive(now time.Duration, t *target) bool {
	live, suspected := 0, 0
	for _, o := range f.targets {
		switch {
		case o == t || o.departed || o.dead || o.DataCenter != f.dataCenter:
		case o.stalls > 0 || o.failed > 0:
			suspected++
		case now-o.progress < othersAlive:
			live++
		}
	}
	return live > 0 && live >= othersShare*suspected
}

// PeerSuspects takes another balancer's suspicion. It reports whether that is
// news.
//
// Failure: a cut between data centres makes targets unreachable from one side.
// It shows as findings that the other side must not act on, or flows of living
// targets would be reset. A finding of others only keeps new flows away for a
// while. A balancer with flows at the target checks it itself, and takes the
// other's check for its first.
func (f *Forwarder) PeerSuspects(now time.Duration, id TargetID) bool {
	t := f.targets[id]
	if t == nil || t.dead || t.departed || now-t.progress < quiet {
		return false
	}
	news := now >= t.avoidUntil
	t.avoidUntil = now + avoidTime
	t.told = true
	if t.flows > 0 && t.failed == 0 && now-t.checked > checkPause {
		t.failed = 1
		f.wantCheck(t)
	}
	return news
}

// Suspected returns the targets that failed this balancer's last check of them.
func (f *Forwarder) Suspected() []TargetID {
	var out []TargetID
	for t := range f.suspects {
		if t.finding != Alive && !t.departed {
			out = append(out, t.ID)
		}
	}
	return out
}
