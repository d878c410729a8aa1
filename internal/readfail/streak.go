// Package readfail decides what to do when reads of a socket fail one after another. It does
// no I/O.
package readfail

import "time"

const (
	// Pause is the wait after a failed read that follows another one. Without it, an error
	// that lasts would occupy a processor.
	Pause = 10 * time.Millisecond
	// Limit is the time of failed reads without a successful one after which the process
	// should end, so that it is started again and the fabric uses other balancers meanwhile.
	Limit = 10 * time.Second
)

// Streak is a series of failed reads. The zero value is an empty one.
type Streak struct {
	failing bool
	since   time.Duration // time of the first failed read
}

// Verdict is what to do after a failed read.
type Verdict struct {
	First  bool          // the read before succeeded
	Pause  time.Duration // wait before the next read
	GiveUp bool          // reads have failed for Limit
}

// Failed records a failed read.
func (s *Streak) Failed(now time.Duration) Verdict {
	if !s.failing {
		s.failing, s.since = true, now
		return Verdict{First: true}
	}
	return Verdict{Pause: Pause, GiveUp: now-s.since >= Limit}
}

// Succeeded records a successful read.
func (s *Streak) Succeeded() { s.failing = false }
