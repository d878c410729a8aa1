package replica

// Since returns the significant changes after a revision. It returns false if not all of
// them are known: the log is too short, or the revision is in a gap. The peer then has to
// fetch all items.
func (r *Replica) Since(after int64) ([]Item, bool) {
	if after < r.logFrom {
		return nil, false
	}
	for _, g := range r.gaps {
		if g.contains(after) {
			return nil, false
		}
	}
	var out []Item
	for _, i := range r.log {
		if i.Revision > after {
			out = append(out, i)
		}
	}
	return out, true
}

// appendLog appends a change to the log.
func (r *Replica) appendLog(i Item) {
	r.lastChange = max(r.lastChange, i.Revision)
	r.log = append(r.log, i)
	if len(r.log) <= 2*logLength {
		return
	}
	// Items of a listing are ordered by key, not by revision.
	for _, old := range r.log[:logLength] {
		r.logFrom = max(r.logFrom, old.Revision)
	}
	r.log = append(r.log[:0], r.log[logLength:]...)
}
