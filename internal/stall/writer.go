package stall

import (
	"io"
	"time"
)

// chunk is the size, in bytes, of which one has to be written within a writer's limit.
const chunk = 32 << 10

// Writer writes to a receiver that has a time for each chunk, instead of one for all.
type Writer struct {
	w        io.Writer
	deadline deadline
}

// NewWriter returns a writer to w that fails if a chunk is not written within stall.
// setDeadline sets the deadline of writes to w.
func NewWriter(w io.Writer, setDeadline func(time.Time) error, stall time.Duration) *Writer {
	return &Writer{w, deadline{setDeadline, stall}}
}

// Write implements io.Writer.
func (s *Writer) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		_ = s.deadline.putOff() // a recorder of responses has none
		n, err := s.w.Write(b[:min(chunk, len(b))])
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}
