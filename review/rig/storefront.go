package main

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"rosedale.dev/rosedale/platform"
)

const (
	storeLatency   = 4 * time.Millisecond // of an answer
	sampleInterval = 250 * time.Millisecond
)

// storeFront stands before the stand-in of the store. It answers after storeLatency and keeps the
// history for historyKept only: a watch from an earlier revision is answered with 410.
type storeFront struct {
	addr   netip.AddrPort
	client *platform.Store // of the store behind
	srv    *http.Server

	mu      sync.Mutex
	samples []sample
}

// sample is the store's revision at a time.
type sample struct {
	at       time.Time
	revision int64
}

func newStoreFront(inner netip.AddrPort) (*storeFront, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeFront{addr: ln.Addr().(*net.TCPAddr).AddrPort(), client: platform.NewStore(inner)}
	target, err := url.Parse("http://" + inner.String())
	if err != nil {
		return nil, err
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	s.srv = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(storeLatency)
		if query := q.URL.Query(); query.Has("waitMs") && s.isDropped(query.Get("after")) { // a watch
			w.WriteHeader(http.StatusGone)
			return
		}
		proxy.ServeHTTP(w, q)
	})}
	go func() { _ = s.srv.Serve(ln) }() // returns after Close
	return s, nil
}

// isDropped reports whether the history after a revision is not kept any more.
func (s *storeFront) isDropped(after string) bool {
	n, err := strconv.ParseInt(after, 10, 64)
	if err != nil {
		return false // the store answers that
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := int64(0) // revision of historyKept ago
	for _, x := range s.samples {
		if time.Since(x.at) < historyKept {
			break
		}
		kept = x.revision
	}
	return n < kept
}

// takeSample records the store's present revision.
func (s *storeFront) takeSample() {
	revision, err := s.revision()
	if err != nil {
		return // the store is closed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample{time.Now(), revision})
}

func (s *storeFront) revision() (int64, error) {
	_, at, err := s.client.List(context.Background(), "none")
	return at.Number, err
}
