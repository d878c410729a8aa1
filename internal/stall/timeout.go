package stall

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrTimeout ends a call of which nothing arrives in time.
var ErrTimeout = errors.New("deadline exceeded")

// Timeout ends a call whose response does not begin in time, or stops.
type Timeout struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// WithTimeout returns a context for a call, which ends with ErrTimeout unless the response is
// read with NewReader within begin. Stop has to be called when the call is over.
func WithTimeout(ctx context.Context, begin time.Duration) (context.Context, *Timeout) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Timeout{ctx, cancel, time.AfterFunc(begin, func() { cancel(ErrTimeout) })}
}

// NewReader returns a reader of the response's body. The call ends after stall without a byte, and
// after total if that is not 0.
func (t *Timeout) NewReader(body io.Reader, stall, total time.Duration) *Reader {
	return NewReader(body, t.timer, stall, total)
}

// Stop releases the timer and ends the context.
func (t *Timeout) Stop() {
	t.timer.Stop()
	t.cancel(nil)
}

// Ended reports whether the timeout has ended the call.
func (t *Timeout) Ended() bool { return errors.Is(context.Cause(t.ctx), ErrTimeout) }
