package stall

import (
	"net/http"
	"time"
)

// chunk is the size, in bytes, of which one has to be written within a writer's limit.
const chunk = 32 << 10

// Writer writes a response whose receiver has a time for each chunk, instead of one for the
// whole response.
type Writer struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	stall time.Duration
}

// NewWriter returns a writer that fails if a chunk is not written within stall.
func NewWriter(w http.ResponseWriter, stall time.Duration) *Writer {
	return &Writer{w, http.NewResponseController(w), stall}
}

// Write implements io.Writer.
func (s *Writer) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		_ = s.rc.SetWriteDeadline(time.Now().Add(s.stall)) // not all writers have deadlines
		n, err := s.w.Write(b[:min(chunk, len(b))])
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}
