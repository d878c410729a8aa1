package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/revision"
	"rosedale.dev/rosedale/platform"
)

// listingPatience is how long a read waits for a listing of which nothing arrives.
const listingPatience = 1200 * time.Millisecond

// listingJob lists the store. It may outlast the read of the store that began it, so that it
// can wait longer for a slow response than reads wait, which find out whether the store answers.
type listingJob struct {
	*platform.Listing
	startedAt time.Duration     // the result is at least as recent as this
	position  revision.Revision // of the replica when the present attempt began
	cancel    context.CancelFunc
	done      chan readResult // receives the result of the present attempt, or nil if there is none
	failed    *storeRead      // whose attempt failed last
}

// attempt begins an attempt to list the store, unless one is under way. reason says why the
// store is listed, or is nil.
func (j *listingJob) attempt(ctx context.Context, r *storeRead, reason error) {
	if j.done != nil || j.failed == r {
		return
	}
	if j.Listing == nil || errors.Is(reason, platform.ErrNewEra) {
		j.Listing = r.store.NewListing("")
		j.Arrived = func(int) { r.arrived() }
	}
	if !j.Begun() {
		j.startedAt = r.now()
	}
	j.position = r.position
	ctx, j.cancel = context.WithCancel(ctx)
	j.done = make(chan readResult, 1)
	l, done := j.Listing, j.done
	res := readResult{full: true, first: r.first, startedAt: r.startedAt, provenAt: j.startedAt, listedFor: reason}
	go func() {
		res.items, res.position, res.err = l.Read(ctx)
		done <- res
		r.listed()
	}()
}

// isNew reports whether no attempt has failed or is under way.
func (j *listingJob) isNew() bool { return j.Listing == nil }

// ended records that a read received the result of the present attempt. The next read goes on
// where it failed.
func (j *listingJob) ended(r *storeRead, err error) {
	j.cancel()
	j.done, j.failed = nil, r
	if err == nil || errors.Is(err, platform.ErrNewEra) {
		*j = listingJob{failed: r}
	}
}

// advances reports whether an attempt is under way of which something has arrived lately, or
// which has just begun.
func (j *listingJob) advances() bool {
	return j.done != nil && time.Since(j.LastProgress()) < listingPatience
}

// stopped returns a channel that receives a value when the present attempt may have stopped to
// advance, if that is of interest.
func (j *listingJob) stopped(ofInterest bool) <-chan time.Time {
	if j.done == nil || !ofInterest {
		return nil
	}
	return time.After(listingPatience - time.Since(j.LastProgress()))
}

// dropOutdated abandons the listing if the replica, which is at a position, needs it no more.
func (j *listingJob) dropOutdated(position revision.Revision) {
	underWay := j.done != nil
	if underWay && j.position != position || !underWay && j.Listing != nil && j.Begun() && j.At().Before(position) {
		j.abandon()
	}
}

// abandon ends the present attempt and forgets what it has read.
func (j *listingJob) abandon() {
	if j.done != nil {
		j.cancel()
	}
	*j = listingJob{}
}
