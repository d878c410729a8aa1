package direct

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.respond(w, struct {
		item
		At int64 `json:"at"`
	}{i, s.rev})
}

func (s *Store) listKeys(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listCalls++
	if s.refuseLists {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
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
	s.respond(w, out)
}

func (s *Store) watchKeys(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted || after > s.rev {
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
		changed := s.changed
		setEra(w, s.era)
		s.mu.Unlock()
		if len(out.Events) > 0 || wait == 0 {
			writeJSON(w, out)
			return
		}
		select {
		case <-changed:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) commitTransaction(w http.ResponseWriter, r *http.Request) {
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
	s.respond(w, struct {
		Rev int64 `json:"rev"`
	}{s.rev})
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
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
	s.respond(w, struct {
		Lease int64 `json:"lease"`
		TTL   int64 `json:"ttlMs"`
	}{s.lastLease, in.TTL})
}

// renewLease extends a lease by a minute, regardless of the TTL with which it was granted.
func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // 0 identifies no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(time.Minute)
	s.respond(w, struct{}{})
}

func (s *Store) revokeLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // 0 identifies no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	s.respond(w, struct{}{})
}

// respond writes an answer with the store's era. s.mu is held, so that the era is the
// one in which the data was read.
func (s *Store) respond(w http.ResponseWriter, v any) {
	setEra(w, s.era)
	writeJSON(w, v)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
