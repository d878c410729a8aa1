package direct

import (
	"maps"
	"slices"
	"time"
)

// Backup is a copy of the store's contents at one moment.
type Backup struct {
	items     map[string]item
	events    []item
	rev       int64
	compacted int64
	leases    map[int64]time.Time
	lastLease int64
}

// Backup returns a copy of the store's present contents.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{maps.Clone(s.items), slices.Clone(s.events), s.rev, s.compacted, maps.Clone(s.leases), s.lastLease}
}

// Restore restores the store from an earlier backup. Later writes are lost, the
// revisions and lease identifiers assigned since are assigned again, and a new era
// begins.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.events, s.rev, s.compacted = maps.Clone(b.items), slices.Clone(b.events), b.rev, b.compacted
	s.leases, s.lastLease = maps.Clone(b.leases), b.lastLease
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}
