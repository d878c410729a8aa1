package edge

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/internal/revision"
	"rosedale.dev/rosedale/platform"
)

// lateInterval is the interval at which late changes are looked at again that arrive or have no
// connection. A store that cannot be connected to cannot be listed either, and is not to be by all
// balancers when it is back.
const lateInterval = 50 * time.Millisecond

// errLate is the reason of a listing beside changes that do not arrive in time.
var errLate = errors.New("changes are late")

// errListingSlow ends a read whose listing is under way while nothing of it arrives.
var errListingSlow = errors.New("store: nothing arrives of a listing")

// errOutdated ends a read that the replica needs no more.
var errOutdated = errors.New("store: the replica has moved on")

// readResult is the outcome of a read of the store.
type readResult struct {
	full      bool // a listing instead of changes
	first     bool // there was no replica when it began
	items     []replica.Item
	position  revision.Revision
	startedAt time.Duration
	provenAt  time.Duration // the result is at least as recent as this
	listedFor error         // why the store was listed instead of its changes, or nil
	err       error
}

// storeRead reads the store once: the changes since a position, or a listing if there is no
// replica or the changes do not arrive. Both count alike: the first good result is returned.
type storeRead struct {
	store     *platform.Store
	now       func() time.Duration
	startedAt time.Duration
	first     bool // there is no replica
	position  revision.Revision
	age       time.Duration // of the replica when the read began
	patience  time.Duration // before the store is listed beside the request for changes
	mayList   bool          // if the store refuses changes or does not answer
	listing   *listingJob   // may be under way
	listed    func()        // is called when an attempt to list the store has ended
	arrived   func()        // is called when a part of a response arrives
	size      int           // of the replica, in bytes
	outdated  chan struct{} // is closed when the replica has moved on from position
}

// run reads the store. An attempt to list it may still be under way when it returns.
func (r *storeRead) run(ctx context.Context) readResult {
	changes := &changesRequest{cancel: func() {}}
	if r.first {
		r.listing.attempt(ctx, r, nil)
	} else {
		changes = r.requestChanges(ctx)
	}
	defer changes.cancel()
	late := time.NewTimer(r.patience)
	defer late.Stop()
	failed := readResult{first: r.first, startedAt: r.startedAt, provenAt: r.startedAt, err: errListingSlow}
	for {
		select {
		case res := <-changes.done:
			if res.err == nil {
				r.listing.abandon()
				return res
			}
			changes.done, failed = nil, res
			if r.mayList && isRefused(res.err) || needsListing(res.err) {
				r.listing.attempt(ctx, r, res.err)
			}
		case <-late.C:
			late.Reset(lateInterval)
			if changes.connected.Load() && !changes.mayComeFirst(r) {
				late.Stop()
				r.listBeside(ctx, changes)
			}
		case res := <-r.listing.done:
			r.listing.ended(r, res.err)
			if res.err == nil {
				return res
			}
			failed = res
		case <-r.listing.stopped(changes.done == nil):
		case <-r.outdated:
			r.listing.abandon()
			failed.err = errOutdated
			return failed
		}
		if changes.done == nil && !r.listing.advances() {
			return failed
		}
	}
}

// listBeside lists the store over a new connection, while changes may still arrive.
func (r *storeRead) listBeside(ctx context.Context, changes *changesRequest) {
	if changes.begun.Load() && r.listing.isNew() {
		changes.cancel() // they would slow the listing down
	}
	r.store.CloseIdle()
	r.listing.attempt(ctx, r, errLate)
}

// changesRequest is a request for changes under way.
type changesRequest struct {
	cancel    context.CancelFunc
	connected atomic.Bool     // the request has a connection
	begun     atomic.Bool     // a response has begun
	bytes     atomic.Int64    // of its body that have arrived
	arrivedAt atomic.Int64    // when the last of them arrived, as time.Duration
	done      chan readResult // nil once the result was received
}

// arrived records that a part of the response has arrived.
func (c *changesRequest) arrived(r *storeRead, bytes int) {
	c.bytes.Add(int64(bytes))
	c.arrivedAt.Store(int64(r.now()))
	r.arrived()
}

// mayComeFirst reports whether the changes, which are late, may still arrive before a listing.
func (c *changesRequest) mayComeFirst(r *storeRead) bool {
	now := r.now()
	a := replica.Arrival{
		Bytes: int(c.bytes.Load()),
		Idle:  now - time.Duration(c.arrivedAt.Load()),
		Late:  now - r.startedAt - r.patience,
		Age:   r.age + now - r.startedAt,
	}
	return a.MayComeFirst(r.size)
}

func (r *storeRead) requestChanges(ctx context.Context) *changesRequest {
	ctx, cancel := context.WithCancel(ctx)
	req := &changesRequest{cancel: cancel, done: make(chan readResult, 1)}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { req.connected.Store(true) },
		GotFirstResponseByte: func() { req.begun.Store(true) },
	})
	res := readResult{startedAt: r.startedAt, provenAt: r.startedAt}
	done := req.done
	go func() {
		res.items, res.position, res.err = r.store.Watch(ctx, r.position, 0, func(bytes int) { req.arrived(r, bytes) })
		done <- res
	}()
	return req
}

// needsListing reports whether the changes that were requested cannot be had, so that only a
// listing of the store helps: the store has responded, but not with all of them.
func needsListing(err error) bool {
	if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrNewEra) {
		return true
	}
	var failed *platform.CallError
	if !errors.As(err, &failed) {
		return false
	}
	return failed.Failure == platform.TooLarge || failed.Failure == platform.Interrupted || failed.Failure == platform.Unusable
}

// isRefused reports whether the store has refused a call, or has not answered it.
func isRefused(err error) bool {
	var failed *platform.CallError
	return errors.As(err, &failed) && (failed.Failure == platform.Refused || failed.Failure == platform.Unanswered)
}
