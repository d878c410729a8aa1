package direct

import "time"

const (
	// suspectStalls is the number of repeats without any sign of life from
	// which on a target gets no new flow: one may be a lost packet.
	suspectStalls = 2
	// checkPause is the least time between two checks of one target: each
	// takes a slot of it.
	checkPause = time.Second
	// othersAlive is how recently another target must have answered: else it
	// is this balancer's own link that is silent.
	othersAlive = 500 * time.Millisecond
	// quiet is how long a target must not have shown life before repeats count
	// against it: callers repeat after 200 ms without an acknowledgement.
	quiet = 150 * time.Millisecond
)

// unanswered notes a repeat: the target has not acknowledged for 200 ms.
//
// Failure: a target loses power or is cut off. It shows as repeats on all its
// flows, seconds before its registration lapses. Two repeats without a sign of
// life in between keep new flows away and have the target checked; only a
// failed check resets its open flows, as a target that lives must keep them.
func (f *Forwarder) unanswered(now time.Duration, fl *flow) {
	t := fl.target
	if now-t.progress < quiet {
		return
	}
	if t.stalls == 0 {
		t.stalled = now
	}
	t.stalls++
}

// Suspects returns the targets to check now.
func (f *Forwarder) Suspects(now time.Duration) []Target {
	var out []Target
	for _, t := range f.targets {
		if !f.suspicious(now, t) {
			continue
		}
		t.checking = true
		t.verify = false
		t.checked = now
		out = append(out, t.Target)
	}
	return out
}

func (f *Forwarder) suspicious(now time.Duration, t *target) bool {
	switch {
	case t.checking || now-t.checked < checkPause:
		return false
	case t.dead && !t.departed || t.verify:
		return true
	case t.departed && t.dead:
		return false
	}
	return t.stalls > 0 && now-f.progress < othersAlive
}

// Finding is the outcome of a check.
type Finding uint8

// The findings. A target that accepts a connection is there, whatever it says
// of its health or whether it answers at all: health answers may be false.
const (
	Alive       Finding = iota
	Gone                // nothing listens at its address, or another target does
	Unreachable         // no answer from its address, which may be the path's fault
)

// String returns the name in logs.
func (x Finding) String() string { return [...]string{"alive", "gone", "unreachable"}[x] }

// Checked takes the outcome of this balancer's own check.
func (f *Forwarder) Checked(now time.Duration, id TargetID, x Finding) {
	t := f.targets[id]
	if t == nil {
		return
	}
	t.checking = false
	switch {
	case x == Alive:
		t.stalls = 0
		t.dead = false
	case x == Gone || t.progress < t.checked:
		t.dead = true
		t.deadAt = now
	}
}

// PeerFound takes another balancer's finding that a target failed its check. It
// reports whether that is news.
//
// Failure: a cut between data centres makes targets unreachable from one side.
// It shows as findings that the other side must not act on, or flows of living
// targets would be reset. A finding of others keeps new flows away until this
// balancer's own check, which is due at once.
func (f *Forwarder) PeerFound(now time.Duration, id TargetID) bool {
	t := f.targets[id]
	if t == nil || t.dead || t.verify || now-t.progress < quiet || now-t.checked < checkPause {
		return false
	}
	t.verify = true
	t.stalls = max(t.stalls, suspectStalls)
	return true
}

// Dead returns the targets that failed this balancer's last check of them.
func (f *Forwarder) Dead() []TargetID {
	var out []TargetID
	for id, t := range f.targets {
		if t.dead {
			out = append(out, id)
		}
	}
	return out
}
