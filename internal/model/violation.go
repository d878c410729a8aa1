package model

import "fmt"

// violation returns the safety property that the state violates, or "".
func (w *world) violation() string {
	for _, t := range w.targets {
		if t.misdelivered > 0 {
			return "a packet reached another service"
		}
		if n, limit := w.inUse(t), w.slotLimit(); n > limit {
			return fmt.Sprintf("target %d runs %d requests, at most %d may overlap", t.index, n, limit)
		}
	}
	for _, c := range w.callers {
		if v := w.callerViolation(c); v != "" {
			return fmt.Sprintf("caller %d: %s", c.index, v)
		}
	}
	return ""
}

func (w *world) callerViolation(c *caller) string {
	runs := 0
	for _, t := range w.targets {
		runs += t.runs[c.addr]
	}
	switch {
	case runs > 1:
		return "the request ran twice"
	case c.phase == refused && runs > 0:
		return "the request was refused but run"
	case c.phase == answered && c.answeredBy != c.target:
		return "the answer came from another target"
	case c.phase == broken && w.bounds.Crashes == w.budget.Crashes:
		return "an established flow was reset"
	}
	return ""
}

// inUse returns the number of accepted requests that a target has not run yet.
// Requests that ran do not count: their home may admit the next one as soon as
// it sees the answer, before the caller receives it.
func (w *world) inUse(t *target) int {
	n := 0
	for _, c := range w.callers {
		if c.phase == established && c.target == t.index && t.runs[c.addr] == 0 {
			n++
		}
	}
	return n
}

// slotLimit returns how many requests may overlap at a target. Each change of
// homes adds two balancers that may admit up to the limit without knowing of each
// other: the new home before the handover arrives, and the former home after
// the handover, for openings that a balancer with an older view forwards.
func (w *world) slotLimit() int {
	if !w.bounds.Class.UsesSlots() {
		return w.bounds.Callers
	}
	return w.bounds.Slots * (1 + 2*(w.bounds.Joins+w.bounds.Leaves+w.bounds.Crashes))
}

// slotsInUse returns the number of slots that the balancers count as in use.
func (w *world) slotsInUse() int {
	n := 0
	for _, b := range w.balancers {
		for _, u := range b.r.Usage() {
			n += u.Slots
		}
	}
	return n
}
