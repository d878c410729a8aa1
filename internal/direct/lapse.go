package direct

import "time"

const (
	// defaultHeartbeat is the interval of the targets' heartbeats if Config does not give it.
	defaultHeartbeat = 1200 * time.Millisecond
	// lapseWindow is how long after an outage of the store removals may still be lapses. Targets
	// register again within it.
	lapseWindow = 2 * time.Second
)

// lapses tells removals by targets that have left from those by an outage of the store.
//
// Guards against a target that has announced that it leaves and still serves its flows while
// its registration lapses with the store: taken for gone, its flows would be reset.
type lapses struct {
	// gap is how long the list of targets has to be unknown until registrations may have lapsed
	// meanwhile. They last for three heartbeats, of which an outage of one interval can hit two.
	gap        time.Duration
	known      bool          // the list has been complete at some time
	completeAt time.Duration // when it was last
	until      time.Duration // end of the window after the last gap
}

// listKnown records that the list was complete at a time. The first one counts as one after an
// outage, as nothing is known of the store before the start of this process.
func (l *lapses) listKnown(at time.Duration) {
	if !l.known || at-l.completeAt > l.gap {
		l.until = at + lapseWindow
	}
	l.known, l.completeAt = true, at
}

// possible reports whether the lack of a registration, known now, may be due to a lapse.
func (l *lapses) possible(now time.Duration) bool {
	return now < l.until || l.known && now-l.completeAt > l.gap
}
