// Package stall bounds the time for which a transfer makes no progress, instead of its duration:
// a transfer that is only slow is not ended, while one that stops is ended soon.
package stall

import (
	"io"
	"time"
)

// Reader reads a response body. Its timer, which is to end the transfer when it fires, is set
// back by each byte that arrives.
type Reader struct {
	r     io.Reader
	timer *time.Timer
	stall time.Duration
	until time.Time // of the whole transfer, or zero
	// Progress, if set, is called with the number of bytes that have arrived.
	Progress func(bytes int)
}

// NewReader returns a reader of a body that begins now. The timer fires after stall without a
// byte, and after total if that is not 0.
func NewReader(r io.Reader, timer *time.Timer, stall, total time.Duration) *Reader {
	s := &Reader{r: r, timer: timer, stall: stall}
	if total > 0 {
		s.until = time.Now().Add(total)
	}
	s.extend()
	return s
}

// Read implements io.Reader.
func (s *Reader) Read(b []byte) (int, error) {
	n, err := s.r.Read(b)
	if n > 0 {
		s.extend()
		if s.Progress != nil {
			s.Progress(n)
		}
	}
	return n, err
}

func (s *Reader) extend() {
	d := s.stall
	if !s.until.IsZero() {
		d = min(d, time.Until(s.until))
	}
	s.timer.Reset(d)
}
