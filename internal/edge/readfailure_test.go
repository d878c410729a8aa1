package edge

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/readfail"
)

// Reads of a socket fail for good. They must be spaced, logged once and counted, and end the
// process after readfail.Limit, so that it is started again.
func TestLastingReadErrorEndsTheProcess(t *testing.T) {
	c := newTestControl(t)
	e := c.edge
	e.log, e.failed = c.log, make(chan error, 1)
	e.start = time.Now().Add(-time.Minute)
	errRead := errors.New("no buffer space")
	var s readfail.Streak
	began := time.Now()
	for range 3 {
		if !e.readFailed(&s, "packets", errRead) {
			t.Fatal("gave up at once")
		}
	}
	if d := time.Since(began); d < 2*readfail.Pause {
		t.Errorf("three failed reads took %v", d)
	}
	e.start = e.start.Add(-readfail.Limit)
	if e.readFailed(&s, "packets", errRead) || e.readFailed(&s, "heartbeats", errRead) {
		t.Error("the socket is read on after the limit")
	}
	if err := <-e.failed; !errors.Is(err, errRead) {
		t.Errorf("the process ends with %v", err)
	}
	if n := e.counts.readErrors.Load(); n != 5 {
		t.Errorf("%d read errors were counted, want 5", n)
	}
}
