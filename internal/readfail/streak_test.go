package readfail

import (
	"testing"
	"time"
)

// Reads of a socket fail for good. The process must neither occupy a processor nor stay
// without ever reading again. A single error, as that of an earlier send, delays nothing.
func TestLastingErrorEndsInGivingUp(t *testing.T) {
	var s Streak
	for _, c := range []struct {
		at   time.Duration
		want Verdict
	}{
		{time.Second, Verdict{First: true}},
		{time.Second, Verdict{Pause: Pause}},
		{time.Second + Limit - 1, Verdict{Pause: Pause}},
		{time.Second + Limit, Verdict{Pause: Pause, GiveUp: true}},
	} {
		if got := s.Failed(c.at); got != c.want {
			t.Errorf("at %v: %+v, want %+v", c.at, got, c.want)
		}
	}
	s.Succeeded()
	if got := s.Failed(time.Minute); got != (Verdict{First: true}) {
		t.Errorf("after a successful read: %+v", got)
	}
}
