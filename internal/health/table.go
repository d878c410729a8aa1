// Package health merges the findings of several balancers about targets. Health
// endpoints can be outdated or wrong, so a finding only keeps new flows away from a
// target: it never affects an established flow, and it is ignored if a service would be
// left without any target. The package does no I/O, apart from Checker.
package health

import (
	"cmp"
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/wire"
)

const (
	// findingMaxAge is the time for which a finding is used, and findingRetention the
	// time for which it is kept, so that a late duplicate is recognised.
	findingMaxAge    = 30 * time.Second
	findingRetention = 2 * time.Minute
	// Fall and Rise are the numbers of consecutive failed and successful checks after
	// which a checker reports a target as unhealthy and healthy again. Its first check
	// of a target decides alone.
	Fall = 3
	Rise = 2
)

// finding is a checker's latest finding with the time of its arrival.
type finding struct {
	wire.Health
	receivedAt time.Duration
}

// Table holds the findings of all checkers.
type Table struct {
	findings   map[uint32][]finding // by target, one for each checker
	streak     map[uint32]streak
	nextOffset int           // of Rotate, modulo the number of findings
	dirty      []wire.Health // see TakeDirty
}

// streak counts this balancer's consecutive results for a target.
type streak struct {
	healthy bool
	bad     int
	good    int
	known   bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{findings: map[uint32][]finding{}, streak: map[uint32]streak{}}
}

// Result records the result of this balancer's own check of a target and reports whether
// the finding changed. seq is the least sequence number of the finding; it is raised above
// that of the finding before. Peers ignore a finding whose number is not higher, as when two
// results arrive within a second and the number is the time in seconds.
func (t *Table) Result(now time.Duration, self uint32, target uint32, ok bool, load float64, seq uint32) (changed bool) {
	if old, known := t.get(target, self); known && !isNewer(seq, old.Seq) {
		seq = old.Seq + 1
	}
	s := t.streak[target]
	before := s
	if ok {
		s.good, s.bad = s.good+1, 0
	} else {
		s.good, s.bad = 0, s.bad+1
	}
	switch {
	case !s.known:
		s.known, s.healthy = true, ok
	case s.healthy && s.bad >= Fall:
		s.healthy = false
	case !s.healthy && s.good >= Rise:
		s.healthy = true
	}
	t.streak[target] = s
	h := wire.Health{Target: target, Checker: self, Seq: seq, Healthy: s.healthy, Load: uint8(min(max(load, 0), 2.5) * 100)}
	t.put(finding{h, now})
	if !before.known || before.healthy != s.healthy {
		t.dirty = append(t.dirty, h)
		return true
	}
	return false
}

// Merge stores a peer's finding if it is newer, and reports whether it finds another health
// than the checker's finding before. Without one, the target counted as healthy.
func (t *Table) Merge(now time.Duration, h wire.Health) bool {
	old, ok := t.get(h.Target, h.Checker)
	if ok && !isNewer(h.Seq, old.Seq) {
		return false
	}
	t.put(finding{h, now})
	if ok && old.Healthy == h.Healthy || !ok && h.Healthy {
		return false // a target without findings counts as healthy
	}
	t.dirty = append(t.dirty, h)
	return true
}

// isNewer reports whether sequence number a is higher than b, also when a has wrapped.
func isNewer(a, b uint32) bool { return int32(a-b) > 0 }

func (t *Table) get(target, checker uint32) (finding, bool) {
	for _, f := range t.findings[target] {
		if f.Checker == checker {
			return f, true
		}
	}
	return finding{}, false
}

func (t *Table) put(f finding) {
	list := t.findings[f.Target]
	for i := range list {
		if list[i].Checker == f.Checker {
			list[i] = f
			return
		}
	}
	t.findings[f.Target] = append(list, f)
}

// TakeDirty returns and clears the changed findings, which should be sent to peers
// without waiting for a heartbeat.
func (t *Table) TakeDirty() []wire.Health {
	d := t.dirty
	t.dirty = nil
	return d
}

// State is the merged finding about a target.
type State struct {
	Known   bool
	Healthy bool
	Load    float64       // used share of the target's capacity
	At      time.Duration // arrival time of the load
}

// State merges the findings about a target of the checkers for which live returns true,
// ignoring those older than findingMaxAge. A target is healthy if at least one checker
// finds it so, as a broken path between the other checkers and the target is more likely
// than a dead target that answers. Findings of checkers beyond a partition are left out,
// because they don't show what is reachable from this side.
func (t *Table) State(now time.Duration, target uint32, live func(checker uint32) bool) State {
	var s State
	for _, f := range t.findings[target] {
		if now-f.receivedAt > findingMaxAge || !live(f.Checker) {
			continue
		}
		s.Known = true
		s.Healthy = s.Healthy || f.Healthy
		if f.receivedAt >= s.At {
			s.Load, s.At = float64(f.Load)/100, f.receivedAt
		}
	}
	return s
}

// Rotate returns up to n findings for a heartbeat, the next ones at each call, and deletes
// those older than findingRetention.
func (t *Table) Rotate(now time.Duration, n int) []wire.Health {
	var all []finding
	for target, list := range t.findings {
		list = slices.DeleteFunc(list, func(f finding) bool { return now-f.receivedAt > findingRetention })
		t.findings[target] = list
		if len(list) == 0 {
			delete(t.findings, target)
		}
		for _, f := range list {
			if now-f.receivedAt <= findingMaxAge {
				all = append(all, f)
			}
		}
	}
	slices.SortFunc(all, func(a, b finding) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Checker, b.Checker))
	})
	var out []wire.Health
	for i := 0; i < len(all) && i < n; i++ {
		out = append(out, all[(t.nextOffset+i)%len(all)].Health)
	}
	t.nextOffset += len(out)
	return out
}
