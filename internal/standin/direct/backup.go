package direct

import (
	"maps"
	"slices"
	"time"
)

// Backup is a copy of the store at a moment.
type Backup struct {
	items  map[string]item
	events []item
	rev    int64
	oldest int64
	leases map[int64]time.Time
	next   int64
}

// Backup returns a copy of the store as it is now.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{maps.Clone(s.items), slices.Clone(s.events), s.rev, s.oldest, maps.Clone(s.leases), s.next}
}

// ComeBack has the store come back from an older copy: what was written since is gone,
// revisions and leases are given out again, and a new era begins.
func (s *Store) ComeBack(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.events, s.rev, s.oldest = maps.Clone(b.items), slices.Clone(b.events), b.rev, b.oldest
	s.leases, s.next = maps.Clone(b.leases), b.next
	s.era++
	close(s.wake)
	s.wake = make(chan struct{})
}
