package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// defaultTTL applies to sessions that are created without a valid TTL.
const defaultTTL = 15 * time.Second

func (s *Store) createSession(w http.ResponseWriter, r *http.Request) {
	var body struct{ TTL string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil || ttl <= 0 {
		ttl = defaultTTL
	}
	s.mu.Lock()
	s.Writes++
	s.index++
	id := fmt.Sprintf("00000000-0000-0000-0000-%012d", s.index)
	s.sessions[id] = &session{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]string{"ID": id})
}

func (s *Store) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Writes++
	s.expire()
	se := s.sessions[r.PathValue("id")]
	if se == nil {
		http.NotFound(w, r)
		return
	}
	se.expires = time.Now().Add(se.ttl)
	_ = json.NewEncoder(w).Encode([]map[string]string{{"ID": r.PathValue("id")}})
}

func (s *Store) destroySession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Writes++
	s.endSession(r.PathValue("id"))
	_ = json.NewEncoder(w).Encode(true)
}

// expire ends the sessions that were not renewed in time. s.mu is held.
func (s *Store) expire() {
	for id, se := range s.sessions {
		if time.Now().After(se.expires) {
			s.endSession(id)
		}
	}
}

// endSession removes a session and releases its locks, which changes their keys' indexes.
// s.mu is held.
func (s *Store) endSession(id string) {
	delete(s.sessions, id)
	for _, p := range s.pairs {
		if p.Session == id {
			s.index++
			p.Session, p.ModifyIndex = "", s.index
			s.notifyWatchers()
		}
	}
}
