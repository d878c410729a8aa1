package replica

import "slices"

const (
	// logLength is the number of changes kept for peers that lag behind. A peer that lags
	// further fetches all items.
	logLength = 1024
	// defaultLogBytes is the size of these changes, in bytes, unless LimitLog sets another.
	defaultLogBytes = 4 << 20
	// itemBytes is the approximate memory use of an item apart from its key and value.
	itemBytes = 100
)

// LimitLog sets the size in bytes of the changes that are kept for peers that lag behind. A
// single change may be larger.
//
// Guards against a day's versions of a large catalogue: as many as logLength do not fit the
// memory of a small VM, and all balancers keep the same ones.
func (r *Replica) LimitLog(bytes int) { r.maxLogBytes = bytes }

// LogBytes returns the approximate memory use of the changes that are kept, in bytes.
func (r *Replica) LogBytes() int { return r.logBytes }

// Since returns the significant changes after a revision, only the last one of each key. It
// returns false if not all of them are known: the log is too short, or the revision is in a
// gap. The peer then has to fetch all items.
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
	return withoutSuperseded(out), true
}

// appendLog appends a change to the log.
func (r *Replica) appendLog(i Item) {
	r.lastChange = max(r.lastChange, i.Revision)
	r.log = append(r.log, i)
	r.logBytes += sizeOf(i)
	if len(r.log) <= 2*logLength && r.logBytes <= r.maxLogBytes {
		return
	}
	r.log = withoutSuperseded(r.log)
	r.measureLog()
	if len(r.log) > 2*logLength || r.logBytes > r.maxLogBytes {
		r.shortenLog()
	}
}

// shortenLog drops the oldest changes, down to logLength and half of the bytes, so that this
// is not due again at the next change. The last change stays.
func (r *Replica) shortenLog() {
	n := 0
	for n < len(r.log)-1 && (len(r.log)-n > logLength || r.logBytes > r.maxLogBytes/2) {
		// Items of a listing are ordered by key, not by revision.
		r.logFrom = max(r.logFrom, r.log[n].Revision)
		r.logBytes -= sizeOf(r.log[n])
		n++
	}
	r.log = slices.Clone(r.log[n:])
}

func (r *Replica) measureLog() {
	r.logBytes = 0
	for _, i := range r.log {
		r.logBytes += sizeOf(i)
	}
}

func sizeOf(i Item) int { return len(i.Key) + len(i.Value) + itemBytes }

// withoutSuperseded returns the last change of each key, in the order of items.
func withoutSuperseded(items []Item) []Item {
	last := make(map[string]int64, len(items))
	for _, i := range items {
		last[i.Key] = max(last[i.Key], i.Revision)
	}
	var out []Item
	for _, i := range items {
		if i.Revision == last[i.Key] {
			out = append(out, i)
		}
	}
	return out
}
