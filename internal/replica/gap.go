package replica

// maxGaps is the number of gaps that are remembered. Peers whose position is before the
// end of an older gap fetch all items.
const maxGaps = 8

// gap is the part of the store's history between two revisions, both exclusive, that a
// listing has skipped.
type gap struct{ from, to int64 }

// contains reports whether the revision is in the gap, so that some changes after it
// are not known.
func (g gap) contains(revision int64) bool { return revision > g.from && revision < g.to }

// History returns the revision after which this replica knows all significant changes.
func (r *Replica) History() int64 {
	if len(r.gaps) == 0 {
		return r.logFrom
	}
	return max(r.logFrom, r.gaps[len(r.gaps)-1].to)
}

// addGap records a gap.
func (r *Replica) addGap(g gap) {
	r.gaps = append(r.gaps, g)
	if len(r.gaps) > maxGaps {
		r.logFrom = max(r.logFrom, r.gaps[0].to)
		r.gaps = r.gaps[1:]
	}
}
