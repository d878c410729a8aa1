package edge

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/revision"
	"rosedale.dev/rosedale/platform"
)

// failedReads counts the reads of the store that failed one after the other while the replica
// stayed at a position.
type failedReads struct {
	position revision.Revision
	n        int // 0 if the last read succeeded
}

// add records a failed read at a position and returns the number of those in a row there.
func (f *failedReads) add(position revision.Revision) int {
	if f.position != position {
		f.position, f.n = position, 0
	}
	f.n++
	return f.n
}

// storeLost reports whether the last read of the store failed.
func (c *control) storeLost() bool { return c.failedReads.n > 0 }

// noteRead counts and logs the outcome of a read of the store: each failure, and when the store
// is reachable again.
func (c *control) noteRead(res readResult) {
	now := c.now()
	wasLost := c.storeLost()
	if res.err == nil {
		c.edge.readsFailedHere.Store(0)
		c.failedReads.n = 0
		if wasLost {
			c.log.Info("store regained", zap.Duration("age", c.replica.Age(now)), zap.Stringer("position", res.position),
				zap.Stringer("copy", c.replica.Position()), zap.Bool("listed", res.full))
		}
		return
	}
	c.edge.counts.readFailures.Add(1)
	inARow := c.failedReads.add(c.replica.Position())
	c.edge.readsFailedHere.Store(int64(inARow))
	msg := "store read failed"
	if !wasLost {
		msg = "store lost"
	}
	fields := []zap.Field{zap.Duration("age", c.replica.Age(now)), zap.Duration("after", now-res.startedAt), zap.Stringer("position", c.replica.Position()),
		zap.Int("inARow", inARow), zap.Bool("listing", res.full), connectionField(res.err), zap.Error(res.err)}
	c.log.Warn(msg, append(fields, c.failureFields(res.err)...)...)
}

// failureFields counts the failure of a call of the store by its kind, and returns the log
// fields that tell how far its response had come.
func (c *control) failureFields(err error) []zap.Field {
	var failed *platform.CallError
	if !errors.As(err, &failed) {
		return nil
	}
	c.edge.counts.readFailuresBy[failed.Failure].Add(1)
	return []zap.Field{zap.Stringer("failure", failed.Failure), zap.Int("status", failed.Status), zap.Int("bytes", failed.Bytes)}
}

// noteListing counts and logs a listing that was made because the changes did not arrive.
func (c *control) noteListing(res readResult) {
	n := &c.edge.counts
	switch {
	case res.listedFor == nil, errors.Is(res.listedFor, platform.ErrCompacted), errors.Is(res.listedFor, platform.ErrNewEra):
		return
	case errors.Is(res.listedFor, platform.ErrTooLarge):
		n.readsTooLarge.Add(1)
	case errors.Is(res.listedFor, errLate):
		n.listingsLate.Add(1)
	default:
		n.listingsFailed.Add(1)
	}
	c.log.Warn("changes of the store did not arrive and it was listed", zap.Stringer("position", res.position), zap.String("reason", res.listedFor.Error()))
}
