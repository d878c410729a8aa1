package direct

import (
	"slices"
	"time"
)

// startChecks starts the checks that a balancer wants.
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

// checkLiving queues a check for a slot like a request. A full target refuses it late.
func (r *replay) checkLiving(b *balancer, s *simTarget) {
	limit := r.checkLimit
	if limit == 0 {
		limit = b.f.CheckTimeout(s.Service)
	}
	found := false
	end := func(x Finding) func() {
		return func() {
			if !found {
				found = true
				r.finishCheck(b, s, x)
			}
		}
	}
	r.after(limit, end(Hung))
	q := &simRequest{work: time.Millisecond, check: end(Alive)}
	if !r.admit(s, q) {
		r.after(simCheckRefusal, q.check)
	}
}

func (r *replay) finishCheck(b *balancer, s *simTarget, x Finding) {
	v := b.f.Checked(r.now, Start{ID: s.ID}, x)
	if v.Notify {
		r.notifyPeers(b, s.ID, slices.Contains(b.f.FoundDead(), s.ID))
	}
	for _, seg := range v.Resets {
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
