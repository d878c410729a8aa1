package replica

import (
	"slices"
	"testing"
	"time"
)

// What is put off counts once, when the store has settled, and only if nobody has written
// it again.
func TestSettling(t *testing.T) {
	var s Settling
	const length = 3 * time.Second
	if s.Left(time.Second) != 0 || s.Proven(time.Second, 7) != 7 || s.Settled(time.Second) != nil {
		t.Error("a store that never came back from a copy has to settle")
	}
	s.Begin(10*time.Second, length, 8*time.Second)
	s.Defer("b")
	s.Defer("a")
	s.Defer("c")
	s.Release("b")
	if got := s.Left(11 * time.Second); got != 2*time.Second {
		t.Errorf("settles for %v more", got)
	}
	if got := s.Proven(12*time.Second, 11*time.Second); got != 8*time.Second {
		t.Errorf("the list of targets counts as complete at %v", got)
	}
	if got := s.Settled(12 * time.Second); got != nil {
		t.Errorf("%v count already", got)
	}
	if got := s.Settled(13 * time.Second); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("%v count", got)
	}
	if got := s.Settled(14 * time.Second); got != nil {
		t.Errorf("%v count twice", got)
	}
	if got := s.Proven(13*time.Second, 12*time.Second); got != 12*time.Second {
		t.Errorf("the list of targets counts as complete at %v", got)
	}
}

// The store comes back a second time before it has settled: what was known before the first
// return is still the last that lacked nothing.
func TestSettlingTwice(t *testing.T) {
	var s Settling
	s.Begin(10*time.Second, 3*time.Second, 8*time.Second)
	s.Defer("a")
	s.Begin(12*time.Second, 3*time.Second, 11*time.Second)
	if got := s.Proven(14*time.Second, 13*time.Second); got != 8*time.Second {
		t.Errorf("the list of targets counts as complete at %v", got)
	}
	if got := s.Settled(15 * time.Second); len(got) != 1 {
		t.Errorf("%v count", got)
	}
}

func TestSettleTime(t *testing.T) {
	for heartbeat, want := range map[time.Duration]time.Duration{0: minSettle, 1200 * time.Millisecond: 2800 * time.Millisecond, 5 * time.Second: 10400 * time.Millisecond} {
		if got := SettleTime(heartbeat); got != want {
			t.Errorf("with heartbeats each %v: %v, want %v", heartbeat, got, want)
		}
	}
}
