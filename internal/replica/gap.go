package replica

// maxGaps is the number of gaps that are remembered. Peers that are in an older one take
// all items.
const maxGaps = 8

// gap is a part of the store's history that a listing has jumped over, between two
// revisions.
type gap struct{ from, to int64 }

// has reports whether what followed on a revision is in the gap.
func (g gap) has(revision int64) bool { return revision > g.from && revision < g.to }

// History returns the revision after which all changes that mattered are known here.
func (r *Replica) History() int64 {
	if len(r.gaps) == 0 {
		return r.logFrom
	}
	return max(r.logFrom, r.gaps[len(r.gaps)-1].to)
}

// jump notes a gap.
func (r *Replica) jump(g gap) {
	r.gaps = append(r.gaps, g)
	if len(r.gaps) > maxGaps {
		r.logFrom = max(r.logFrom, r.gaps[0].to)
		r.gaps = r.gaps[1:]
	}
}
