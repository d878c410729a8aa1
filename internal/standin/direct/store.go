// Package direct provides stand-ins for the users' platform in tests and in the demo of
// rosedale-edge: its metadata store, targets that answer callers directly, and callers.
// They implement the platform's published formats over loopback and inject faults on
// request.
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

// item is a key with its value and revisions, as it appears in answers.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"createRevision,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Fault selects how the store answers a call.
type Fault int

// The faults.
const (
	Healthy   Fault = iota // no fault
	Busy                   // answers 503
	Throttled              // answers 429
	Silent                 // no answer; the connection is closed when the client disconnects
	Lost                   // POST calls take effect but are not answered; other calls are answered
)

// pageSize is the largest number of items in one answer. It is small so that listings
// in tests take several pages.
const pageSize = 10

// Store is the stand-in for the metadata store.
type Store struct {
	Addr netip.AddrPort

	mu          sync.Mutex
	items       map[string]item
	events      []item // the change history, oldest first
	rev         int64
	compacted   int64               // revision up to which the change history was dropped
	leases      map[int64]time.Time // when each lease expires
	lastLease   int64               // identifier of the lease granted last
	fault       func(client netip.Addr) Fault
	calls       int
	listCalls   int  // number of calls that list keys
	refuseLists bool // whether calls that list keys are refused
	pace        Pace
	linkFree    time.Time // when the responses sent so far have passed the link; see Pace.LinkSpeed
	era         int64
	changed     chan struct{} // closed and replaced at each change
	srv         *http.Server
}

// NewStore starts an empty store on a free port of loopback, in era 1.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Addr:    ln.Addr().(*net.TCPAddr).AddrPort(),
		items:   map[string]item{},
		leases:  map[int64]time.Time{},
		fault:   func(netip.Addr) Fault { return Healthy },
		changed: make(chan struct{}),
		era:     1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.listKeys)
	mux.HandleFunc("GET /kv-watch", s.watchKeys)
	mux.HandleFunc("POST /kv-txn", s.commitTransaction)
	mux.HandleFunc("POST /kv-lease", s.grantLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.renewLease)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.revokeLease)
	s.srv = &http.Server{Handler: s.withFaults(s.withPace(mux)), ReadHeaderTimeout: time.Second}
	go func() { _ = s.srv.Serve(ln) }() // returns after Close
	return s, nil
}

// Close stops the store's server.
func (s *Store) Close() { _ = s.srv.Close() }

// Fail sets the function that selects the fault of a call by its client's address.
func (s *Store) Fail(f func(client netip.Addr) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// FailAll sets the fault of all calls.
func (s *Store) FailAll(f Fault) { s.Fail(func(netip.Addr) Fault { return f }) }

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Listings returns the number of received calls that list keys.
func (s *Store) Listings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listCalls
}

// RefuseListings sets whether calls that list keys are refused.
func (s *Store) RefuseListings(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseLists = on
}

// Value returns a key's value, or nil if the key does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Writes returns how often a key was written, according to the change history.
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

// DropHistory drops the change history, so that watches from an earlier revision are
// answered with 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.compacted = s.rev
}

// Put writes a value as JSON, as operators and targets do.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // a fault of the test that passes the value
	}
	s.PutRaw(key, b)
}

// PutRaw writes a value that need not be valid JSON.
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

// Keys returns the sorted keys with a prefix.
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
	close(s.changed)
	s.changed = make(chan struct{})
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

// withFaults counts calls, expires leases and applies the present fault.
func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		client := netip.MustParseAddrPort(r.RemoteAddr).Addr()
		s.mu.Lock()
		s.calls++
		setEra(w, s.era)
		injected := s.fault(client)
		s.expire()
		s.mu.Unlock()
		switch {
		case injected == Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case injected == Throttled:
			w.WriteHeader(http.StatusTooManyRequests)
		case injected == Silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case injected == Lost && r.Method == http.MethodPost:
			next.ServeHTTP(discard{}, r)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// setEra sets the store's era in the headers of an answer.
func setEra(w http.ResponseWriter, era int64) {
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
}

// discard is a ResponseWriter that discards the answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// expire ends the leases that were not renewed in time. s.mu is held.
func (s *Store) expire() {
	for id, until := range s.leases {
		if time.Now().Before(until) {
			continue
		}
		s.endLease(id)
	}
}

// endLease ends a lease and removes the keys that were written with it. s.mu is held.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}
