package direct

import (
	"slices"
	"time"
)

// check carries out the checks a balancer wants.
func (r *replay) check(b *balancer) {
	for _, t := range b.f.TargetsToCheck(r.now) {
		s := r.byID[t.ID]
		switch {
		case s.dead:
			r.after(time.Millisecond, func() { r.checked(b, s, Gone) })
		case s.dark:
			r.after(150*time.Millisecond, func() { r.checked(b, s, Silent) })
		default:
			r.checkLiving(b, s)
		}
	}
}

// checkLiving has a check wait for a slot like a request. A full target turns it away
// late.
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
				r.checked(b, s, x)
			}
		}
	}
	r.after(limit, end(Hung))
	q := &simRequest{work: time.Millisecond, check: end(Alive)}
	if !r.admit(s, q) {
		r.after(simTurnedAway, q.check)
	}
}

func (r *replay) checked(b *balancer, s *simTarget, x Finding) {
	v := b.f.Checked(r.now, Start{ID: s.ID}, x)
	if v.Notify {
		r.tell(b, s.ID, slices.Contains(b.f.FoundDead(), s.ID))
	}
	for _, seg := range v.Resets {
		r.reset(seg.Flow())
	}
}

// tell has all others hear of a balancer's finding.
func (r *replay) tell(from *balancer, id TargetID, dead bool) {
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
			r.check(b)
		}
	})
}
