package stall

import (
	"io"
	"time"
)

// deadline is that of a connection or stream. Each part that is transferred puts it off.
type deadline struct {
	set   func(time.Time) error
	stall time.Duration
}

func (d deadline) putOff() error { return d.set(time.Now().Add(d.stall)) }

// DeadlineReader reads from a connection or stream that has deadlines.
type DeadlineReader struct {
	r        io.Reader
	deadline deadline
}

// NewDeadlineReader returns a reader of r that fails after stall without a byte. setDeadline
// sets the deadline of reads from r.
func NewDeadlineReader(r io.Reader, setDeadline func(time.Time) error, stall time.Duration) *DeadlineReader {
	return &DeadlineReader{r, deadline{setDeadline, stall}}
}

// Read implements io.Reader.
func (s *DeadlineReader) Read(b []byte) (int, error) {
	if err := s.deadline.putOff(); err != nil {
		return 0, err
	}
	return s.r.Read(b)
}
