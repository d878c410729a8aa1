// Package direct holds stand-ins of the users' platform for tests: its metadata
// store, targets that answer their callers themselves, and callers. They speak
// the platform's published formats over loopback and can be told to fail.
package direct

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as answers hold it.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"createRevision,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Fault is how the store treats calls.
type Fault int

// The faults.
const (
	Healthy Fault = iota
	Busy          // 503
	Throttled
	Silent // no answer while the fault lasts
	Lost   // writes are done and not answered
)

// pageSize is the number of items in a page, small so that tests need several.
const pageSize = 10

// Store is a stand-in of the metadata store.
type Store struct {
	Addr netip.AddrPort

	mu     sync.Mutex
	items  map[string]item
	events []item
	rev    int64
	oldest int64 // changes up to here are no longer kept
	leases map[int64]time.Time
	next   int64
	fault  func(client netip.Addr) Fault
	calls  int
	wake   chan struct{}
	srv    *http.Server
}

// NewStore starts a store on a free port of loopback.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Addr:   ln.Addr().(*net.TCPAddr).AddrPort(),
		items:  map[string]item{},
		leases: map[int64]time.Time{},
		fault:  func(netip.Addr) Fault { return Healthy },
		wake:   make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.srv = &http.Server{Handler: s.faulty(mux), ReadHeaderTimeout: time.Second}
	go func() { _ = s.srv.Serve(ln) }() // it ends with Close
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.srv.Close() }

// Fail sets how calls are treated, by the caller's address.
func (s *Store) Fail(f func(client netip.Addr) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// FailAll sets how all calls are treated.
func (s *Store) FailAll(x Fault) { s.Fail(func(netip.Addr) Fault { return x }) }

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.oldest = s.rev
}

// Put writes a key, as the operator and the targets do.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // a test's own value
	}
	s.PutRaw(key, b)
}

// PutRaw writes a key's bytes.
func (s *Store) PutRaw(key string, b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Keys returns the keys under a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix, "")
}

func (s *Store) put(key string, b []byte, lease int64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: b, Rev: s.rev, Created: created, Lease: lease}
	s.record(s.items[key])
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *Store) record(i item) {
	s.events = append(s.events, i)
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *Store) keys(prefix, after string) []string {
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// faulty treats calls as the fault in force says.
func (s *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		client := netip.MustParseAddrPort(r.RemoteAddr).Addr()
		s.mu.Lock()
		s.calls++
		x := s.fault(client)
		s.expire()
		s.mu.Unlock()
		switch {
		case x == Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case x == Throttled:
			w.WriteHeader(http.StatusTooManyRequests)
		case x == Silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case x == Lost && r.Method == http.MethodPost:
			next.ServeHTTP(discard{}, r)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discard is a ResponseWriter whose answer is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func (s *Store) expire() {
	for id, until := range s.leases {
		if time.Now().Before(until) {
			continue
		}
		s.endLease(id)
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		At int64 `json:"at"`
	}{i, s.rev})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.keys(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	out := struct {
		Items []item `json:"items"`
		More  bool   `json:"hasMore"`
		At    int64  `json:"at"`
	}{Items: []item{}, At: s.rev}
	if len(keys) > pageSize {
		keys, out.More = keys[:pageSize], true
	}
	for _, k := range keys {
		out.Items = append(out.Items, s.items[k])
	}
	answer(w, out)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.oldest {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		out := struct {
			Events []item `json:"events"`
			At     int64  `json:"at"`
		}{Events: []item{}, At: s.rev}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				out.Events = append(out.Events, e)
			}
		}
		wake := s.wake
		s.mu.Unlock()
		if len(out.Events) > 0 || wait == 0 {
			answer(w, out)
			return
		}
		select {
		case <-wake:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expect"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expect {
		if s.items[e.Key].Rev != e.Rev {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range in.Remove {
		s.remove(k)
	}
	answer(w, struct {
		Rev int64 `json:"rev"`
	}{s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = time.Now().Add(time.Duration(in.TTL) * time.Millisecond)
	answer(w, struct {
		Lease int64 `json:"lease"`
		TTL   int64 `json:"ttlMs"`
	}{s.next, in.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // 0 is no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(time.Minute)
	answer(w, struct{}{})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // 0 is no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answer(w, struct{}{})
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller hung up
}
