package rig2

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// pageSize is the number of items in a page of a listing.
const pageSize = 500

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"createRevision,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is the platform's metadata store.
type Store struct {
	mu        sync.Mutex
	items     map[string]item
	events    []item
	rev       int64
	compacted int64
	muted     int64 // revision after which watches hear nothing, or 0
	leases    map[int64]time.Time
	lastLease int64
	handler   http.Handler
	servers   []*http.Server
}

// Door is an address at which one machine calls the store.
type Door struct {
	Addr    netip.AddrPort
	refused atomic.Bool
}

// Refuse sets whether the store turns the machine away, with 503.
func (d *Door) Refuse(on bool) { d.refused.Store(on) }

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{items: map[string]item{}, leases: map[int64]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.Get, s.getKey)
	mux.HandleFunc("GET "+names.List, s.list)
	mux.HandleFunc("GET "+names.Watch, s.watch)
	mux.HandleFunc("POST "+names.Commit, s.commit)
	mux.HandleFunc("POST "+names.Grant, s.grant)
	mux.HandleFunc("POST "+names.Keep, s.keep)
	mux.HandleFunc("DELETE "+names.End, s.end)
	s.handler = mux
	return s
}

// NewDoor makes the store answer a machine at a free port of an address.
func (s *Store) NewDoor(at netip.Addr) (*Door, error) {
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(at, 0).String())
	if err != nil {
		return nil, err
	}
	d := &Door{Addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		if d.refused.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.handler.ServeHTTP(w, r)
	})}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return d, nil
}

// Close stops the store.
func (s *Store) Close() {
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

// Mute makes watches hear nothing of what is changed from now on.
func (s *Store) Mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = s.rev
}

// Compact drops the history, and watches hear again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted, s.events, s.compacted = 0, nil, s.rev
}

// Put writes a value as JSON, as the operator and the endpoints do.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
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

func (s *Store) put(key string, value []byte, lease int64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Rev: s.rev, Deleted: true})
}

// expire ends the leases that were not renewed.
func (s *Store) expire() {
	for id, until := range s.leases {
		if time.Now().After(until) {
			s.endLease(id)
		}
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
