// Package hedge sends HTTP requests over connections that may have gone silent, and tells
// over which kind of connection a request failed.
package hedge

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"sync"
	"time"
)

// Connection describes the connection of a request.
type Connection struct {
	Made   bool          // there was one
	Reused bool          // it had carried a request before
	Idle   time.Duration // for how long it had carried none
}

// String returns the kind of connection as shown in logs.
func (c Connection) String() string {
	switch {
	case c.Reused:
		return fmt.Sprintf("connection reused after %v", c.Idle.Round(time.Millisecond))
	case c.Made:
		return "new connection"
	}
	return "no connection"
}

// Error is the failure of a request together with its connection.
type Error struct {
	Connection Connection
	Err        error
}

// Error implements error.
func (e *Error) Error() string { return e.Connection.String() + ": " + e.Err.Error() }

// Unwrap returns the failure without the connection.
func (e *Error) Unwrap() error { return e.Err }

// Trace records the connection that a request uses.
type Trace struct {
	mu   sync.Mutex
	conn Connection
}

// WithTrace returns a context whose request is recorded in the trace.
func WithTrace(ctx context.Context) (context.Context, *Trace) {
	t := &Trace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.got}), t
}

func (t *Trace) got(i httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = Connection{Made: true, Reused: i.Reused, Idle: i.IdleTime}
}

// Connection returns the connection of the request so far.
func (t *Trace) Connection() Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn
}

// Wrap adds the connection to an error. It returns nil if err is nil.
func (t *Trace) Wrap(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Connection: t.Connection(), Err: err}
}
