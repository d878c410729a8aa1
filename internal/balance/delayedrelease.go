package balance

import "time"

// delayedRelease is a unit that stays counted at an abandoned target for a
// while.
type delayedRelease struct {
	id    uint32
	unit  Unit
	until time.Duration
}

// releaseDelay is slightly longer than the second after which a target
// retransmits an unanswered SYN-ACK (RFC 6298).
const releaseDelay = 1200 * time.Millisecond

// ReleaseLater releases one unit u at target id, which an opening has
// abandoned, after releaseDelay.
//
// When a target's SYN-ACK is lost and the opening goes to another target, the
// first one keeps room for the half-open connection until its retransmitted
// SYN-ACK is answered with a reset. Openings sent there before that would be
// refused.
func (p *Pool) ReleaseLater(now time.Duration, id uint32, u Unit) {
	p.delayed = append(p.delayed, delayedRelease{id, u, now + releaseDelay})
}

// releaseDelayed releases the delayed units that are due.
func (p *Pool) releaseDelayed(now time.Duration) {
	n := 0
	for ; n < len(p.delayed) && p.delayed[n].until <= now; n++ {
		p.Release(p.delayed[n].id, p.delayed[n].unit)
	}
	p.delayed = p.delayed[n:]
}
