package direct

import (
	"slices"
	"time"
)

// startChecks starts the checks that a balancer has due.
func (r *replay) startChecks(b *balancer) {
	for _, t := range b.f.TargetsToCheck(r.now) {
		s := r.byID[t.ID]
		switch {
		case s.crashed:
			r.after(time.Millisecond, func() { r.finishCheck(b, s, Gone) })
		case s.unreachable:
			r.after(150*time.Millisecond, func() { r.finishCheck(b, s, Silent) })
		default:
			r.checkLiving(b, s)
		}
	}
}

// checkLiving queues a check for a slot like a request. A full target refuses it after
// simCheckRefusal, which counts as an answer.
func (r *replay) checkLiving(b *balancer, s *simTarget) {
	r.checks++
	timeout := r.checkTimeout
	if timeout == 0 {
		timeout = b.f.CheckTimeout(s.Service)
	}
	finished := false
	end := func(x Finding) func() {
		return func() {
			if !finished {
				finished = true
				if x == Hung {
					r.hung++
				}
				r.finishCheck(b, s, x)
			}
		}
	}
	r.after(timeout, end(Hung))
	q := &simRequest{work: time.Millisecond, check: end(Alive)}
	if !r.admit(s, q) {
		r.after(simCheckRefusal, q.check)
	}
}

// finishCheck gives a balancer the result of a check and applies the consequences.
func (r *replay) finishCheck(b *balancer, s *simTarget, x Finding) {
	result := b.f.Checked(r.now, Start{ID: s.ID}, x)
	if result.Notify {
		r.notifyPeers(b, s.ID, slices.Contains(b.f.FoundDead(), s.ID))
	}
	for _, seg := range result.Resets {
		r.reset(seg.Flow())
	}
}

// notifyPeers reports a balancer's finding to all others.
func (r *replay) notifyPeers(from *balancer, id TargetID, dead bool) {
	r.after(time.Millisecond, func() {
		for _, b := range r.balancers {
			if b == from {
				continue
			}
			b.f.PeerSuspects(r.now, id)
			if dead {
				for _, seg := range b.f.PeerFoundDead(r.now, id) {
					r.reset(seg.Flow())
				}
			}
			r.startChecks(b)
		}
	})
}
