package direct

import (
	"bytes"
	"net/http"
	"time"
)

// Pace is how the store sends responses. The zero value sends them at once and whole.
type Pace struct {
	BytesPerSecond int           // of each response
	LinkSpeed      int           // of all responses together, in bytes per second
	PrepareMB      time.Duration // until a response begins, for each MB of its body
	// The rest applies to responses whose body exceeds Largest bytes, if that is not 0: they
	// are sent up to there and then end, or stop if Stall is set, or have status 503 in their
	// place if Refuse is set.
	Largest int
	Stall   bool
	Refuse  bool
}

// paceStep is the interval between two chunks of a response that is sent slowly.
const paceStep = 20 * time.Millisecond

// SetPace sets how the store sends responses from now on.
func (s *Store) SetPace(p Pace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = p
}

// withPace sends the responses of a handler as the store's pace says.
func (s *Store) withPace(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		p := s.pace
		s.mu.Unlock()
		if p == (Pace{}) {
			next.ServeHTTP(w, r)
			return
		}
		whole := &wholeResponse{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(whole, r)
		s.send(p, w, r, whole)
	})
}

func (s *Store) send(p Pace, w http.ResponseWriter, r *http.Request, whole *wholeResponse) {
	b := whole.body.Bytes()
	time.Sleep(time.Duration(float64(len(b)) / 1e6 * float64(p.PrepareMB)))
	tooLarge := p.Largest > 0 && len(b) > p.Largest
	if tooLarge && p.Refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(whole.status)
	if tooLarge {
		b = b[:p.Largest]
	}
	if !s.sendBody(p, w, r, b) || !tooLarge {
		return
	}
	if p.Stall {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// linkChunk is the size, in bytes, of the chunks in which responses share the link.
const linkChunk = 4096

// sendBody sends a body at the speed of a pace. It reports whether all of it was sent.
func (s *Store) sendBody(p Pace, w http.ResponseWriter, r *http.Request, b []byte) bool {
	flush := http.NewResponseController(w)
	chunk := len(b)
	switch {
	case p.LinkSpeed > 0:
		chunk = linkChunk
	case p.BytesPerSecond > 0:
		chunk = int(float64(p.BytesPerSecond) * paceStep.Seconds())
	}
	for len(b) > 0 {
		n := min(chunk, len(b))
		if _, err := w.Write(b[:n]); err != nil {
			return false
		}
		_ = flush.Flush()
		if b = b[n:]; len(b) == 0 {
			break
		}
		wait := paceStep
		if p.LinkSpeed > 0 {
			wait = s.occupyLink(time.Duration(float64(n) / float64(p.LinkSpeed) * float64(time.Second)))
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// occupyLink occupies the link for a time, after those that occupy it already, and returns how
// long that takes.
func (s *Store) occupyLink(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.linkFree.Before(now) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(d)
	return s.linkFree.Sub(now)
}

// wholeResponse holds a response until it is complete.
type wholeResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *wholeResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *wholeResponse) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *wholeResponse) Write(b []byte) (int, error) { return w.body.Write(b) }
