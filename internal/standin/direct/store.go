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
	lists  int  // calls that list keys
	noList bool // these are refused
	era    int64
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
		era:    1,
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

// Listings returns how many of them listed keys.
func (s *Store) Listings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// RefuseListings sets whether calls that list keys are refused.
func (s *Store) RefuseListings(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noList = on
}

// Value returns a key's value, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Writes returns how often a key was written.
func (s *Store) Writes(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.events {
		if e.Key == key && !e.Deleted {
			n++
		}
	}
	return n
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
		tell(w, s.era)
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

// tell writes the store's era into an answer's head.
func tell(w http.ResponseWriter, era int64) { w.Header().Set("Store-Era", strconv.FormatInt(era, 10)) }

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
