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

// errLate is the reason of a listing beside changes that do not arrive in time.
var errLate = errors.New("changes are late")

// readResult is the outcome of a read of the store.
type readResult struct {
	full      bool // a listing instead of changes
	first     bool // there was no replica when it began
	items     []replica.Item
	position  revision.Revision
	startedAt time.Duration
	provenAt  time.Duration // the result is at least as recent as this
	listedFor error         // why the store was listed instead of its changes, or nil
	listing   *storeListing // a listing that failed and can be continued, or nil
	err       error
}

// storeListing is a listing of the store that may take several reads.
type storeListing struct {
	*platform.Listing
	startedAt time.Duration
}

// storeRead reads the store once: the changes since a position, or a listing if there is no
// replica or the changes do not arrive.
type storeRead struct {
	store     *platform.Store
	now       func() time.Duration
	startedAt time.Duration
	first     bool // there is no replica
	position  revision.Revision
	patience  time.Duration // before the store is listed beside the request for changes
	mayList   bool          // if the store refuses changes
	listing   *storeListing // to be continued, or nil
}

// run reads the store. The result of changes and that of a listing that was begun beside count
// alike: the first good one is returned.
func (r *storeRead) run(ctx context.Context) readResult {
	if r.first || r.listing != nil && !r.mayList {
		return r.list(ctx, nil)
	}
	changes := r.requestChanges(ctx)
	defer changes.cancel()
	late := time.NewTimer(r.patience)
	defer late.Stop()
	select {
	case res := <-changes.done:
		return r.listIfFailed(ctx, res)
	case <-late.C:
	}
	if changes.begun.Load() {
		changes.cancel() // they would slow the listing down
	}
	return r.listBeside(ctx, changes)
}

// listIfFailed returns the result of a request for changes, or of a listing if it failed.
func (r *storeRead) listIfFailed(ctx context.Context, changes readResult) readResult {
	if changes.err == nil || !r.mayList && !needsListing(changes.err) {
		return changes
	}
	return r.list(ctx, changes.err)
}

// listBeside lists the store while changes may still arrive.
func (r *storeRead) listBeside(ctx context.Context, changes *changesRequest) readResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.store.CloseIdle()
	listed := make(chan readResult, 1)
	go func() { listed <- r.list(ctx, errLate) }()
	select {
	case res := <-listed:
		if res.err == nil {
			return res
		}
		if late := <-changes.done; late.err == nil {
			return late
		}
		return res
	case res := <-changes.done:
		if res.err == nil {
			return res
		}
		return <-listed
	}
}

// changesRequest is a request for changes under way.
type changesRequest struct {
	cancel context.CancelFunc
	begun  atomic.Bool // a response has begun
	done   chan readResult
}

func (r *storeRead) requestChanges(ctx context.Context) *changesRequest {
	ctx, cancel := context.WithCancel(ctx)
	req := &changesRequest{cancel: cancel, done: make(chan readResult, 1)}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { req.begun.Store(true) }})
	go func() {
		res := readResult{startedAt: r.startedAt, provenAt: r.startedAt}
		res.items, res.position, res.err = r.store.Watch(ctx, r.position, 0)
		req.done <- res
	}()
	return req
}

// list lists the store, or goes on with an earlier listing.
func (r *storeRead) list(ctx context.Context, reason error) readResult {
	l := r.listing
	if l == nil {
		l = &storeListing{r.store.NewListing(""), r.now()}
	}
	res := readResult{full: true, first: r.first, startedAt: r.startedAt, provenAt: l.startedAt, listedFor: reason}
	res.items, res.position, res.err = l.Read(ctx)
	if res.err != nil && l.Begun() && !errors.Is(res.err, platform.ErrNewEra) {
		res.listing = l
	}
	return res
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

// isRefused reports whether the store has refused a call, or a connection.
func isRefused(err error) bool {
	var failed *platform.CallError
	return errors.As(err, &failed) && (failed.Failure == platform.Refused || failed.Failure == platform.Unconnected)
}
