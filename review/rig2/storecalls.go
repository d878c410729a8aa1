package rig2

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

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
