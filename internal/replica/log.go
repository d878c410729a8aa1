package replica

// Since returns the changes that matter after a revision, and false if they are
// no longer kept, so that all items have to be taken.
func (r *Replica) Since(after int64) ([]Item, bool) {
	if after < r.logFrom {
		return nil, false
	}
	for _, g := range r.gaps {
		if g.has(after) {
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

// note puts a change into the log.
func (r *Replica) note(i Item) {
	r.lastChange = max(r.lastChange, i.Revision)
	r.log = append(r.log, i)
	if len(r.log) <= 2*logLength {
		return
	}
	// Items of a listing come in the order of their keys.
	for _, old := range r.log[:logLength] {
		r.logFrom = max(r.logFrom, old.Revision)
	}
	r.log = append(r.log[:0], r.log[logLength:]...)
}
