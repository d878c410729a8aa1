package direct

import "time"

const (
	// lapseGap is how long the list of targets has to be unknown until registrations may have
	// lapsed meanwhile: they last for three heartbeats.
	lapseGap = 3 * time.Second
	// lapseWindow is how long after such a time removals may still be lapses. Targets register
	// again within it.
	lapseWindow = 2 * time.Second
)

// lapses tells removals by targets that have left from those by an outage of the store.
//
// Guards against a target that has announced that it leaves and still serves its flows while
// its registration lapses with the store: taken for gone, its flows would be reset.
type lapses struct {
	until time.Duration // end of the window after the last gap
}

// listKnown records that the list was last complete at a time, and before that at another.
func (l *lapses) listKnown(before, at time.Duration) {
	if before > 0 && at-before > lapseGap {
		l.until = at + lapseWindow
	}
}

// possible reports whether a removal that becomes known now, while the list was last complete
// at the given time, may be a lapse.
func (l *lapses) possible(now, listCompleteAt time.Duration) bool {
	return now < l.until || listCompleteAt > 0 && now-listCompleteAt > lapseGap
}
