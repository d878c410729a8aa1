package replica

import (
	"maps"
	"slices"
	"time"
)

// minSettle is the minimum settling time of a store that was restored from an older copy.
const minSettle = 2 * time.Second

// Settling defers changes that only result from a restore of the store from an older
// copy. The operator and the targets write again what they had written since that copy
// was made, the targets with their next heartbeats. Until then the store lacks entries
// that balancers already have.
//
// Guards against a target that registered, announced that it leaves, or left after the
// copy was made. Without this, a live target would count as gone, or openings would be
// sent to one that is gone. Such a change therefore only counts if the store still shows
// it once it has settled.
type Settling struct {
	until    time.Duration
	proven   time.Duration // when the replica was last current before the restore
	deferred map[string]bool
}

// SettleTime returns the settling time for a heartbeat interval of the targets: two
// heartbeats, as one may be lost, and a read, but at least minSettle.
func SettleTime(heartbeat time.Duration) time.Duration {
	return max(2*heartbeat+ReadInterval, minSettle)
}

// Begin starts a settling period of the given length. proven is when the replica was last
// known to be current before the restore.
func (s *Settling) Begin(now, length, proven time.Duration) {
	if s.Left(now) == 0 {
		s.proven = proven
	}
	s.until = now + length
}

// Left returns the remaining settling time, or 0 once the store has settled.
func (s *Settling) Left(now time.Duration) time.Duration { return max(s.until-now, 0) }

// Defer defers the change of a key until the store has settled. Logs count such changes as
// heldChanges.
func (s *Settling) Defer(key string) {
	if s.deferred == nil {
		s.deferred = map[string]bool{}
	}
	s.deferred[key] = true
}

// Release cancels the deferral of a key that was written again.
func (s *Settling) Release(key string) { delete(s.deferred, key) }

// shown reports whether a replica that was current at the time proven shows the settled
// store. The settling time ends with the time of a read, which a replica may lack.
//
// Guards against a store that cannot be read after a restore: a replica from before the
// targets have written their entries again would be taken for the settled store.
func (s *Settling) shown(now, proven time.Duration) bool {
	return s.Left(now) == 0 && (s.until == 0 || proven >= s.until-ReadInterval)
}

// Settled returns the keys that were deferred and not written since, once the store has
// settled and the replica, which was current at the time proven, shows it. It returns them
// only once.
func (s *Settling) Settled(now, proven time.Duration) []string {
	if !s.shown(now, proven) || len(s.deferred) == 0 {
		return nil
	}
	keys := slices.Sorted(maps.Keys(s.deferred))
	s.deferred = nil
	return keys
}

// Proven returns when the list of targets was last known to be complete, given when the
// replica was last known to be current.
//
// Guards against a target that registered after the copy was made and whose flow reaches
// a balancer that did not know it. If the store's list of targets counted as complete
// without the target, the balancer would reset a live flow.
func (s *Settling) Proven(now, proven time.Duration) time.Duration {
	if !s.shown(now, proven) {
		return min(proven, s.proven)
	}
	return proven
}
