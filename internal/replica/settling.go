package replica

import (
	"maps"
	"slices"
	"time"
)

// minSettle is the least time in which a store that came back from an older copy is
// written again.
const minSettle = 2 * time.Second

// Settling puts off what a store that has come back from an older copy undoes. The operator
// and the targets write again what they had written since the copy was made, the targets
// with their next heartbeats; until then the store says less than is known.
//
// Failure: a target registered after the copy was made, or said that it leaves, or has
// left. It shows as a living target that is taken for gone, and as openings that are sent
// to one that is not. So what is undone counts only if it still holds once the store has
// settled.
type Settling struct {
	until  time.Duration
	proven time.Duration // of the last copy that lacked nothing
	held   map[string]bool
}

// SettleTime returns how long a store takes to settle in which targets write each
// heartbeat: two of them, as one may be lost, and a read.
func SettleTime(heartbeat time.Duration) time.Duration {
	return max(2*heartbeat+ReadInterval, minSettle)
}

// Begin notes that the store lacks what was written since the copy was proven last.
func (s *Settling) Begin(now, length, proven time.Duration) {
	if s.Left(now) == 0 {
		s.proven = proven
	}
	s.until = now + length
}

// Left returns for how long the store may still lack something.
func (s *Settling) Left(now time.Duration) time.Duration { return max(s.until-now, 0) }

// Defer puts a key off until the store has settled.
func (s *Settling) Defer(key string) {
	if s.held == nil {
		s.held = map[string]bool{}
	}
	s.held[key] = true
}

// Release notes that a key was written again.
func (s *Settling) Release(key string) { delete(s.held, key) }

// Settled returns, once the store has settled, the keys that were put off and have not
// been written since.
func (s *Settling) Settled(now time.Duration) []string {
	if s.Left(now) > 0 || len(s.held) == 0 {
		return nil
	}
	keys := slices.Sorted(maps.Keys(s.held))
	s.held = nil
	return keys
}

// Proven returns when the list of targets was last known to be complete, if the copy is
// as new as proven.
//
// Failure: a target registers after the copy was made, and a flow of it comes to a balancer
// that had not heard of it. It shows as a reset of a living flow, as the store's list seems
// complete without the target.
func (s *Settling) Proven(now, proven time.Duration) time.Duration {
	if s.Left(now) > 0 {
		return min(proven, s.proven)
	}
	return proven
}
