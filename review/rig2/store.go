package rig2

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
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
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
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

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, struct {
		item
		At int64 `json:"at"`
	}{i, at})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	out := struct {
		Items []item `json:"items"`
		More  bool   `json:"hasMore"`
		At    int64  `json:"at"`
	}{Items: []item{}}
	s.mu.Lock()
	s.expire()
	out.At = s.rev
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			out.Items = append(out.Items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(out.Items, func(a, b int) bool { return out.Items[a].Key < out.Items[b].Key })
	if len(out.Items) > pageSize {
		out.Items, out.More = out.Items[:pageSize], true
	}
	respond(w, out)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		out, gone := s.changes(q.Get("prefix"), from)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(out.Events) > 0 || !time.Now().Before(until):
			respond(w, out)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

type changes struct {
	Events []item `json:"events"`
	At     int64  `json:"at"`
}

// changes returns the changes after a revision, or true if they were dropped.
func (s *Store) changes(prefix string, from int64) (changes, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if from < s.compacted {
		return changes{}, true
	}
	out := changes{Events: []item{}, At: s.rev}
	if s.muted > 0 {
		out.At = max(s.muted, from)
	}
	for _, e := range s.events {
		if e.Rev > from && e.Rev <= out.At && strings.HasPrefix(e.Key, prefix) {
			out.Events = append(out.Events, e)
		}
	}
	return out, false
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
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
	respond(w, map[string]int64{"rev": s.rev})
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
	s.lastLease++
	s.leases[s.lastLease] = time.Now().Add(time.Duration(in.TTL) * time.Millisecond)
	respond(w, map[string]int64{"lease": s.lastLease, "ttlMs": in.TTL})
}

// keep renews a lease. The balancers' leases last for a minute.
func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(time.Minute)
	respond(w, struct{}{})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	respond(w, struct{}{})
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
