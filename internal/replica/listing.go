package replica

import "time"

const (
	// changesPatience is how long changes of the store are waited for before the store may be
	// listed beside. It answers in milliseconds, also over a new connection.
	changesPatience = 150 * time.Millisecond
	// listAge is the age of the replica up to which changes are waited for at least, so that
	// the reader does not list a store that is slow but current enough.
	listAge = TakeoverAge
)

// ListBeside returns how long changes of the store are waited for before the store is listed
// beside, given the age of the replica when they were asked for.
//
// Guards against changes that are too many to arrive in time: from the replica's position they
// only grow, while a listing has the last of each key.
func ListBeside(age time.Duration) time.Duration { return max(changesPatience, listAge-age) }

const (
	// changesShare is the divisor of the replica's size that gives how much of the changes may
	// arrive before a listing is taken for shorter.
	changesShare = 2
	// arrivingPatience is how much longer changes are waited for that arrive. On a link on which
	// half of a listing takes longer, no listing would be in time.
	arrivingPatience = time.Second
	// applyTime is the time within which a change has to be in force.
	applyTime = 3 * time.Second
)

// Arrival is what has arrived of changes of the store that are late.
type Arrival struct {
	Bytes int           // so far
	Idle  time.Duration // since the last part
	Late  time.Duration // since the store might have been listed beside
	Age   time.Duration // of the replica
}

// MayComeFirst reports whether the changes may be complete before a listing, given the size of the
// replica in bytes.
//
// Guards against short changes that are given up for a listing over a link which many share: the
// listings of all take as long as it takes until the changes are due again. A replica that the last
// in order reads is listed at once, as long as that can be in time: only one connection may be slow.
func (a Arrival) MayComeFirst(size int) bool {
	if a.Age >= MaxFollowAge && a.Age < applyTime {
		return false
	}
	return a.Bytes > 0 && a.Bytes <= size/changesShare && a.Idle < changesPatience && a.Late < arrivingPatience
}

// listInterval is the least time between two listings that the store refuses, after it has
// refused changes. One that refuses all is then called at most twice in place of once.
const listInterval = MaxReadInterval

// Listings decides whether the store is to be listed if it refuses changes.
type Listings struct {
	refused   bool
	refusedAt time.Duration
}

// Done records whether the store refused a listing by a read that began at a time.
func (l *Listings) Done(startedAt time.Duration, refused bool) {
	l.refused, l.refusedAt = refused, startedAt
}

// May reports whether a read that begins now may list the store.
func (l *Listings) May(now time.Duration) bool { return !l.refused || now-l.refusedAt >= listInterval }
