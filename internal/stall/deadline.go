package stall

import (
	"io"
	"time"
)

// DeadlineReader reads from a connection or stream that has deadlines.
type DeadlineReader struct {
	r           io.Reader
	setDeadline func(time.Time) error
	stall       time.Duration
}

// NewDeadlineReader returns a reader of r that fails after stall without a byte. setDeadline
// sets the deadline of reads from r.
func NewDeadlineReader(r io.Reader, setDeadline func(time.Time) error, stall time.Duration) *DeadlineReader {
	return &DeadlineReader{r, setDeadline, stall}
}

// Read implements io.Reader.
func (s *DeadlineReader) Read(b []byte) (int, error) {
	if err := s.setDeadline(time.Now().Add(s.stall)); err != nil {
		return 0, err
	}
	return s.r.Read(b)
}
