package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/store"
)

// A listing takes longer over a slow link than a call may wait for an answer. It must arrive, as the
// same listing would be asked for again and again.
func TestSlowListingArrives(t *testing.T) {
	t.Parallel()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", "7")
		for _, part := range []string{`[{"Key":`, `"p/a","Value"`, `:"eA==","Modify`, `Index":7}]`} {
			_, _ = w.Write([]byte(part))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(1700 * time.Millisecond)
		}
	}))
	defer s.Close()
	l, err := store.NewConsul(s.URL, "").List(context.Background(), "p/", 0)
	if err != nil || len(l.Pairs) != 1 || string(l.Pairs[0].Value) != "x" {
		t.Errorf("listing %+v, %v", l, err)
	}
}

// The connection ends in the middle of each listing. The keys must be read one by one instead of
// listed again and again.
func TestListingThatEndsEarlyIsReadByKey(t *testing.T) {
	t.Parallel()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Consul-Index", "7")
		q := r.URL.Query()
		switch {
		case q.Has("recurse"):
			_, _ = w.Write([]byte(`[{"Key":"p/a","Value":`))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case q.Has("keys"):
			_, _ = w.Write([]byte(`["p/a","p/b"]`))
		case r.URL.Path == "/v1/kv/p/a":
			_, _ = w.Write([]byte(`[{"Key":"p/a","Value":"eA==","ModifyIndex":6}]`))
		default: // removed in the meantime
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer s.Close()
	l, err := store.NewConsul(s.URL, "").List(context.Background(), "p/", 3)
	if err != nil || l.Index != 7 || len(l.Pairs) != 1 || l.Pairs[0].Key != "p/a" || l.Pairs[0].Index != 6 {
		t.Errorf("listing %+v, %v", l, err)
	}
}

// The store refuses each listing of a shard, or does not begin to answer it, while it serves single
// keys. They must be read one by one instead of listed again and again.
func TestListingWithoutResponseIsReadByKey(t *testing.T) {
	t.Parallel()
	for name, refuse := range map[string]http.HandlerFunc{
		"refused":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"unanswered": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Consul-Index", "7")
				switch q := r.URL.Query(); {
				case q.Has("recurse"):
					refuse(w, r)
				case q.Has("keys"):
					_, _ = w.Write([]byte(`["p/a"]`))
				default:
					_, _ = w.Write([]byte(`[{"Key":"p/a","Value":"eA==","ModifyIndex":6}]`))
				}
			}))
			defer s.Close()
			l, err := store.NewConsul(s.URL, "").List(context.Background(), "p/", 0)
			if err != nil || l.Index != 7 || len(l.Pairs) != 1 {
				t.Errorf("listing %+v, %v", l, err)
			}
		})
	}
}

// Reads of keys one by one fail now and then. The next listing must go on with the keys that are
// missing, as with many keys some read would fail each time.
func TestReadByKeyContinuesWhereItFailed(t *testing.T) {
	t.Parallel()
	var index, reads, failures atomic.Int64
	index.Store(7)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Consul-Index", strconv.FormatInt(index.Load(), 10))
		switch q := r.URL.Query(); {
		case q.Has("recurse"):
			w.WriteHeader(http.StatusServiceUnavailable)
		case q.Has("keys"):
			_, _ = w.Write([]byte(`["p/a","p/b","p/c"]`))
		case r.URL.Path == "/v1/kv/p/c" && failures.Add(1) == 1:
			w.WriteHeader(http.StatusInternalServerError)
		default:
			reads.Add(1)
			_, _ = w.Write([]byte(`[{"Key":"` + r.URL.Path[len("/v1/kv/"):] + `","Value":"eA==","ModifyIndex":6}]`))
		}
	}))
	defer s.Close()
	c := store.NewConsul(s.URL, "")
	if l, err := c.List(context.Background(), "p/", 0); err == nil {
		t.Fatalf("listing %+v although a key was not read", l)
	}
	index.Store(9) // values that were read may have changed since
	l, err := c.List(context.Background(), "p/", 0)
	if err != nil || len(l.Pairs) != 3 || reads.Load() != 3 {
		t.Errorf("listing %+v, %v, after %d reads of keys; want 3 pairs and 3 reads", l, err, reads.Load())
	}
	if l.Index != 7 {
		t.Errorf("index %d, want that of the first names, so that changes since are read", l.Index)
	}
}

// Guards against a store that refuses blocking queries for a shard at once being asked for all its
// keys, one by one, again and again while nothing changes.
func TestReadByKeyWaitsForChange(t *testing.T) {
	t.Parallel()
	var reads, waits atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Consul-Index", "7")
		switch q := r.URL.Query(); {
		case q.Has("recurse"):
			w.WriteHeader(http.StatusServiceUnavailable)
		case q.Has("keys"):
			if q.Get("index") == "7" && q.Get("wait") != "" {
				waits.Add(1)
			}
			_, _ = w.Write([]byte(`["p/a"]`))
		default:
			reads.Add(1)
			_, _ = w.Write([]byte(`[{"Key":"p/a","Value":"eA==","ModifyIndex":6}]`))
		}
	}))
	defer s.Close()
	l, err := store.NewConsul(s.URL, "").List(context.Background(), "p/", 7)
	if err != nil || l.Index != 7 || reads.Load() != 0 || waits.Load() != 1 {
		t.Errorf("listing %+v, %v; %d values were read, and %d queries waited for a change; want 0 and 1", l, err, reads.Load(), waits.Load())
	}
}
