package replica

import (
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// Lag tracks how long a replica has lacked a change that others are known to have.
type Lag struct {
	wanted revision.Revision // the newest change that is known to exist
	since  time.Duration     // when it was first lacking, valid if behind
	behind bool
}

// Announced records that a peer has the change, while this replica is at position.
func (l *Lag) Announced(now time.Duration, change, position revision.Revision) {
	if !position.Before(change) {
		return
	}
	if l.wanted.Before(change) {
		l.wanted = change
	}
	if !l.behind {
		l.behind, l.since = true, now
	}
}

// Reached records the replica's position. It returns how long the replica was behind, and
// false unless this position ends that.
func (l *Lag) Reached(now time.Duration, position revision.Revision) (time.Duration, bool) {
	if !l.behind || position.Before(l.wanted) {
		return 0, false
	}
	d := now - l.since
	l.behind = false
	return d, true
}

// For returns how long the replica has been behind, or 0 if it is not.
func (l *Lag) For(now time.Duration) time.Duration {
	if !l.behind {
		return 0
	}
	return now - l.since
}
