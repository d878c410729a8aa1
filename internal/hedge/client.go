package hedge

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// maxIdle is how long a connection may have been idle for a request to use it.
const maxIdle = time.Second

// LimitIdle makes a transport close connections that have been idle for maxIdle, so that a
// request after a longer pause uses a new one.
func LimitIdle(t *http.Transport) { t.IdleConnTimeout = maxIdle }

// Client sends requests over pooled connections, any of which may have gone silent without a
// reset. If a response has not begun after a delay on a pooled connection, the idle ones are
// closed and the request is sent again over a new one; the first response counts. Requests
// therefore have to be idempotent.
type Client struct {
	pooled, fresh *http.Client
	delay         time.Duration
	Hedges        atomic.Uint64 // requests that were sent again
}

// NewClient returns a client whose connections are made as by t, which it takes over.
func NewClient(t *http.Transport, delay time.Duration) *Client {
	LimitIdle(t)
	fresh := t.Clone()
	fresh.DisableKeepAlives = true
	return &Client{pooled: &http.Client{Transport: t}, fresh: &http.Client{Transport: fresh}, delay: delay}
}

// attempt is one transmission of a request.
type attempt struct {
	trace  *Trace
	cancel context.CancelFunc
	done   chan struct{} // closed when resp and err are set
	resp   *http.Response
	err    error
}

// Do sends a request and returns the first response. The error is an *Error. The request's
// context bounds both transmissions and the response body.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	first := start(c.pooled, req)
	timer := time.NewTimer(c.delay)
	defer timer.Stop()
	select {
	case <-first.done:
		return first.result()
	case <-timer.C:
	}
	if !first.trace.Connection().Reused {
		<-first.done
		return first.result()
	}
	c.Hedges.Add(1)
	c.CloseIdleConnections()
	return firstOf(first, start(c.fresh, req))
}

// CloseIdleConnections closes the pooled connections that are not in use.
func (c *Client) CloseIdleConnections() { c.pooled.CloseIdleConnections() }

// start sends a request on its own goroutine.
func start(c *http.Client, req *http.Request) *attempt {
	ctx, trace := WithTrace(req.Context())
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{trace: trace, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(a.done)
		again := req.Clone(ctx)
		if req.GetBody != nil {
			if again.Body, a.err = req.GetBody(); a.err != nil {
				return
			}
		}
		a.resp, a.err = c.Do(again)
	}()
	return a
}

// firstOf returns the first response of two attempts, or the later error, and ends the other
// attempt.
func firstOf(a, b *attempt) (*http.Response, error) {
	select {
	case <-a.done:
	case <-b.done:
		a, b = b, a
	}
	if a.err != nil {
		a.cancel()
		<-b.done
		return b.result()
	}
	go b.discard()
	return a.result()
}

// result returns the outcome of an attempt that is done. Closing the body ends it.
func (a *attempt) result() (*http.Response, error) {
	if a.err != nil {
		a.cancel()
		return nil, a.trace.Wrap(a.err)
	}
	a.resp.Body = &body{a.resp.Body, a}
	return a.resp, nil
}

// discard ends an attempt whose response is not needed.
func (a *attempt) discard() {
	a.cancel()
	<-a.done
	if a.err == nil {
		_ = a.resp.Body.Close()
	}
}

// body is a response body whose read errors tell the connection.
type body struct {
	io.ReadCloser
	attempt *attempt
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = b.attempt.trace.Wrap(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.attempt.cancel()
	return b.ReadCloser.Close()
}
