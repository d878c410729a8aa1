package replica

import "time"

// Limits of who reads the store. A copy is current if it is at most as old as
// a read, its answer and two heartbeats between balancers take: 400 + 350 + 2 *
// 250 ms when the store is 80 times slower than usual.
const (
	// ReadInterval is the time between two reads of a reader.
	ReadInterval = 400 * time.Millisecond
	// firstLimit is the age of the copy at which the second in rank reads too.
	firstLimit = 1300 * time.Millisecond
	// rankStep is added for each further rank, so that a reader's death brings
	// one successor and not a herd.
	rankStep = 250 * time.Millisecond
	// lastRank takes all later ranks together: the bound on how old a copy may
	// get for a balancer that hears nobody is then 2.05 s, below the 3 s in
	// which changes have to be in force.
	lastRank = 4
	// MaxReadInterval bounds the pause after failed reads.
	MaxReadInterval = 1600 * time.Millisecond
)

// Reader decides whether this balancer reads the store. The balancers of a data
// centre are ranked alike everywhere; the first one reads, the others hear from
// it and take over when what they hear gets old.
type Reader struct {
	reading bool
	failed  int // reads in a row
}

// Reading reports whether this balancer read the store at the last decision.
func (r *Reader) Reading() bool { return r.reading }

// Decide returns whether to read now. rank counts the members of the data
// centre that come before this one, age is the copy's, and served tells whether
// one of those members reads the store itself with success.
func (r *Reader) Decide(rank int, age time.Duration, served bool) bool {
	switch {
	case rank == 0:
		r.reading = true
	case served:
		r.reading = false
	case age > limit(rank):
		r.reading = true
	}
	return r.reading
}

func limit(rank int) time.Duration {
	return firstLimit + time.Duration(min(rank, lastRank)-1)*rankStep
}

// Done takes the outcome of a read and returns the pause before the next one.
// Failed reads are repeated less and less often: calls that the store refuses
// are priced too.
func (r *Reader) Done(ok bool) time.Duration {
	if ok {
		r.failed = 0
		return ReadInterval
	}
	r.failed++
	return min(ReadInterval<<min(r.failed-1, 4), MaxReadInterval)
}
