package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/hedge"
	"rosedale.dev/rosedale/internal/sockopt"
	"rosedale.dev/rosedale/internal/stall"
)

const (
	// WatchTime is the longest wait of a blocking query. It bounds the delay of a change by a
	// store that holds a query without an answer.
	WatchTime = 20 * time.Second
	// callTimeout bounds the time until a response begins, apart from the wait of a blocking
	// query, and the time without any byte of it.
	callTimeout = 5 * time.Second
	// probeInterval and probeCount are those of TCP keep-alive probes, which begin after the
	// same pause. silentTimeout bounds the time for which sent data is not acknowledged. Both
	// close a connection that has gone silent after three seconds, while a blocking query
	// over it would wait for WatchTime.
	probeInterval = time.Second
	probeCount    = 2
	silentTimeout = 3 * time.Second
	// maxBody bounds a response body, in bytes.
	maxBody = 64 << 20
)

// ErrTooLarge means that a listing exceeds maxBody.
var ErrTooLarge = errors.Errorf("response is larger than %d bytes", maxBody)

// Consul implements Store with Consul's HTTP API (KV store and blocking queries).
type Consul struct {
	base    string
	token   string
	client  *http.Client
	partial partialListings
}

// NewConsul returns a Store at the base URL, such as http://127.0.0.1:8500. Requests
// carry token unless it is empty.
func NewConsul(base, token string) *Consul {
	return &Consul{
		base: base, token: token, client: &http.Client{Transport: newTransport()},
		partial: partialListings{byPrefix: map[string]*partialListing{}},
	}
}

// newTransport returns a transport that closes connections whose other end is gone.
//
// Guards against connections that are lost without a reset, as when a router forgets them:
// nothing is sent during a blocking query, so that only probes show it.
func newTransport() *http.Transport {
	probes := net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}
	d := &net.Dialer{Timeout: callTimeout, KeepAliveConfig: probes, Control: sockopt.UserTimeout(silentTimeout)}
	return &http.Transport{DialContext: d.DialContext, IdleConnTimeout: time.Minute}
}

// consulPair is the JSON form of a key in Consul's responses.
type consulPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	CreateIndex uint64
}

func (c *Consul) call(ctx context.Context, method, key string, q url.Values, body []byte) (*http.Response, error) {
	u := c.base + "/v1/kv/" + key
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "store: %s %s at %s", method, key, c.base)
	}
	if c.token != "" {
		req.Header.Set("X-Consul-Token", c.token)
	}
	resp, err := c.client.Do(req)
	return resp, errors.Wrapf(err, "store: %s %s at %s", method, key, c.base)
}

// jitteredWatchTime returns a random wait between three quarters of WatchTime and WatchTime,
// so that watches that began together, as after a restart of a whole data centre, are not all
// renewed at the same time.
func jitteredWatchTime() time.Duration { return WatchTime - rand.N(WatchTime/4) }

// Get implements Store.
func (c *Consul) Get(ctx context.Context, key string) (Pair, error) {
	l, err := c.list(ctx, key, url.Values{})
	if err != nil {
		return Pair{}, err
	}
	if len(l.Pairs) == 0 {
		return Pair{}, ErrNotFound
	}
	return l.Pairs[0], nil
}

// List implements Store.
func (c *Consul) List(ctx context.Context, prefix string, after uint64) (Listing, error) {
	q := url.Values{"recurse": {""}}
	if after > 0 {
		q.Set("index", strconv.FormatUint(after, 10))
		q.Set("wait", jitteredWatchTime().String())
	}
	l, err := c.list(ctx, prefix, q)
	var undelivered *undeliveredError
	if errors.As(err, &undelivered) && ctx.Err() == nil {
		q.Del("recurse")
		return c.listByKey(ctx, prefix, after, q)
	}
	return l, err
}

// list returns the pair of a key, or with recurse those below it.
func (c *Consul) list(ctx context.Context, key string, q url.Values) (Listing, error) {
	var ps []consulPair
	index, err := c.read(ctx, key, q, &ps)
	l := Listing{Index: index}
	for _, p := range ps {
		l.Pairs = append(l.Pairs, Pair{Key: p.Key, Value: p.Value, Index: p.ModifyIndex, Created: p.CreateIndex})
	}
	return l, err
}

// undeliveredError is the failure of a read over a connection: the store refused it, did not answer
// it in time, or its response did not arrive whole. A smaller read may succeed.
type undeliveredError struct{ error }

// Unwrap returns the cause.
func (e *undeliveredError) Unwrap() error { return e.error }

// read decodes the response to a read, unless there is no such key, and returns its index.
func (c *Consul) read(ctx context.Context, key string, q url.Values, into any) (uint64, error) {
	begin := callTimeout
	if q.Has("index") {
		begin += WatchTime + WatchTime/16 // the store adds jitter to the wait
	}
	ctx, timeout := stall.WithTimeout(ctx, begin)
	defer timeout.Stop()
	ctx, trace := hedge.WithTrace(ctx)
	resp, err := c.call(ctx, http.MethodGet, key, q, nil)
	if err != nil && trace.Connection().Made {
		return 0, &undeliveredError{err}
	}
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if resp.StatusCode == http.StatusNotFound && index > 0 {
		return index, nil
	}
	if err := checkResponse(resp, index); err != nil {
		return 0, errors.Wrapf(err, "store: read %s at %s", key, c.base)
	}
	// Guards against a listing that takes longer than callTimeout over a slow link: it would be
	// asked for again as it was, and never arrive.
	body := &io.LimitedReader{R: timeout.NewReader(resp.Body, callTimeout, 0), N: maxBody + 1}
	if err := json.NewDecoder(body).Decode(into); err != nil {
		if body.N <= 0 {
			err = ErrTooLarge
		}
		return 0, errors.Wrapf(&undeliveredError{err}, "store: read %s at %s", key, c.base)
	}
	return index, nil
}

// checkResponse checks the status of the response to a read and its index.
func checkResponse(resp *http.Response, index uint64) error {
	switch {
	case resp.StatusCode >= http.StatusInternalServerError:
		return &undeliveredError{errors.New(resp.Status)}
	case resp.StatusCode != http.StatusOK:
		return errors.New(resp.Status)
	case index == 0:
		return errors.New("response without an index")
	}
	return nil
}

// Swap implements Store.
func (c *Consul) Swap(ctx context.Context, key string, value []byte, old uint64) error {
	return c.write(ctx, http.MethodPut, key, value, old)
}

// Delete implements Store.
func (c *Consul) Delete(ctx context.Context, key string, old uint64) error {
	return c.write(ctx, http.MethodDelete, key, nil, old)
}

func (c *Consul) write(ctx context.Context, method, key string, value []byte, old uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := url.Values{"cas": {strconv.FormatUint(old, 10)}}
	resp, err := c.call(ctx, method, key, q, value)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if err != nil {
		return errors.Wrapf(err, "store: write %s at %s", key, c.base)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("store: write %s at %s: %s", key, c.base, resp.Status)
	}
	if string(bytes.TrimSpace(b)) != "true" {
		return ErrConflict
	}
	return nil
}
