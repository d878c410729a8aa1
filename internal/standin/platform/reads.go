package platform

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// getKeys answers a read of a key or, with recurse, of a prefix; with keys, the names below a
// prefix are read. With an index it is a blocking query, which returns when the index has passed
// the given one.
func (s *Store) getKeys(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	q := r.URL.Query()
	recurse, names := q.Has("recurse"), q.Has("keys")
	after, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	s.mu.Lock()
	refused := func() bool { return s.faults.Down || recurse && s.faults.RefuseListings }
	switch {
	case after == 0 || refused():
		s.Reads++
	default:
		s.Watches++
		s.waitForChange(r, key, after, q.Get("wait"))
	}
	var out []pair
	for k, p := range s.pairs {
		if k == key || (recurse || names) && strings.HasPrefix(k, key) {
			out = append(out, *p)
		}
	}
	index, refuse := s.prefixIndex(key), refused()
	s.mu.Unlock()
	if refuse {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	w.Header().Set("Content-Type", "application/json")
	if len(out) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(answer(out, names))
}

// answer returns pairs, or only their names, as they are encoded.
func answer(out []pair, names bool) any {
	if !names {
		return out
	}
	var keys []string
	for _, p := range out {
		keys = append(keys, p.Key)
	}
	return keys
}

// prefixIndex returns the index of the last change of keys with a prefix. As in Consul,
// it is the store's index if there was none. s.mu is held.
func (s *Store) prefixIndex(prefix string) uint64 {
	last := uint64(0)
	for k, p := range s.pairs {
		if strings.HasPrefix(k, prefix) {
			last = max(last, p.ModifyIndex)
		}
	}
	for k, i := range s.deleted {
		if strings.HasPrefix(k, prefix) {
			last = max(last, i)
		}
	}
	if last == 0 {
		return s.index
	}
	return last
}

// waitForChange waits until the prefix's index passes after, the store is down, the wait
// has passed or the client is gone. If wait is missing, invalid or above 10 minutes, 5
// minutes apply. s.mu is held before and after, but not while it waits.
func (s *Store) waitForChange(r *http.Request, prefix string, after uint64, wait string) {
	d, err := time.ParseDuration(wait)
	if err != nil || d <= 0 || d > 10*time.Minute {
		d = 5 * time.Minute
	}
	t := time.NewTimer(d)
	defer t.Stop()
	for s.prefixIndex(prefix) <= after && !s.faults.Down {
		ch := s.changed
		s.mu.Unlock()
		select {
		case <-ch:
			s.mu.Lock()
			continue
		case <-t.C:
		case <-r.Context().Done():
		}
		s.mu.Lock()
		return
	}
}
