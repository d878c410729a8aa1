package direct

import "time"

const (
	// suspectStalls is the number of repeats without any sign of life from
	// which on a target gets no new flow: one may be a lost packet.
	suspectStalls = 2
	// checkPause is the least time between two checks of one target: each
	// takes a slot of it.
	checkPause = time.Second
	// confirmPause is that time after a check that found no answer: the second
	// one decides.
	confirmPause = 50 * time.Millisecond
	// confirmChecks is the number of checks in a row without an answer after
	// which a target counts as dead.
	confirmChecks = 2
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
	pause := checkPause
	if t.failed == 1 {
		pause = confirmPause
	}
	switch {
	case t.checking || now-t.checked < pause:
		return false
	case t.departed && t.dead:
		return false
	case t.dead || t.verify || t.failed == 1:
		return true
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

// Checked takes the outcome of this balancer's own check. It returns the flows
// to reset at once: those that wait for a dead target's answer.
func (f *Forwarder) Checked(now time.Duration, id TargetID, x Finding) []Segment {
	t := f.targets[id]
	if t == nil {
		return nil
	}
	t.checking = false
	t.finding = x
	if x == Unreachable && t.progress > t.checked {
		t.finding = Alive
	}
	switch {
	case x == Alive:
		t.stalls = 0
		t.failed = 0
		t.dead = false
	case x == Gone:
		return f.bury(now, t)
	case t.progress < t.checked:
		t.failed++
		if t.failed >= confirmChecks && f.othersLive(now, t) {
			return f.bury(now, t)
		}
	}
	return nil
}

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

// bury marks a target as dead and returns its flows that wait for an answer.
func (f *Forwarder) bury(now time.Duration, t *target) []Segment {
	if t.dead {
		return nil
	}
	t.dead = true
	t.endedAt = now
	var out []Segment
	for k, fl := range f.flows {
		if fl.target == t && fl.pending && f.hopeless(t, k) {
			out = append(out, Segment{Caller: k.Caller, Address: k.Address, Ack: fl.maxAck})
		}
	}
	for i := range out {
		f.counts[ResetSilent]++
		f.forget(out[i].Flow())
	}
	return out
}

// hopeless reports whether a flow of a dead target is better reset. A request
// that must not run twice may have reached a target behind a cut, whose answer
// goes straight to the caller and may still come.
func (f *Forwarder) hopeless(t *target, k FlowKey) bool {
	return t.finding == Gone || f.catalogue != nil && f.catalogue.Routes[k.Address].Kind != NonIdempotent
}

// PeerFound takes another balancer's finding that a target failed its check. It
// reports whether that is news.
//
// Failure: a cut between data centres makes targets unreachable from one side.
// It shows as findings that the other side must not act on, or flows of living
// targets would be reset. A finding of others keeps new flows away until this
// balancer's own check, which is due at once and takes the other's for its
// first.
func (f *Forwarder) PeerFound(now time.Duration, id TargetID) bool {
	t := f.targets[id]
	if t == nil || t.dead || t.verify || now-t.progress < quiet || t.departed || now-t.checked < checkPause {
		return false
	}
	t.verify = true
	t.failed = max(t.failed, 1)
	t.stalls = max(t.stalls, suspectStalls)
	return true
}

// Suspected returns the targets that failed this balancer's last check of them.
func (f *Forwarder) Suspected() []TargetID {
	var out []TargetID
	for id, t := range f.targets {
		if t.finding != Alive && !t.departed {
			out = append(out, id)
		}
	}
	return out
}
