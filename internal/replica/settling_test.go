package replica

import (
	"slices"
	"testing"
	"time"
)

// A deferred change counts once, when the store has settled, and only if the key was not
// written again.
func TestSettling(t *testing.T) {
	var s Settling
	const length = 3 * time.Second
	if s.Left(time.Second) != 0 || s.Proven(time.Second, 7) != 7 || s.Settled(time.Second, 7) != nil {
		t.Error("a store that was never restored is settling")
	}
	s.Begin(10*time.Second, length, 8*time.Second)
	s.Defer("b")
	s.Defer("a")
	s.Defer("c")
	s.Release("b")
	if got := s.Left(11 * time.Second); got != 2*time.Second {
		t.Errorf("settles for another %v, want 2s", got)
	}
	if got := s.Proven(12*time.Second, 11*time.Second); got != 8*time.Second {
		t.Errorf("while settling: the list of targets was complete at %v, want 8s", got)
	}
	if got := s.Settled(12*time.Second, 12*time.Second); got != nil {
		t.Errorf("%v returned before the store has settled", got)
	}
	if got := s.Settled(13*time.Second, 13*time.Second); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("deferred keys %v, want a and c", got)
	}
	if got := s.Settled(14*time.Second, 14*time.Second); got != nil {
		t.Errorf("%v returned twice", got)
	}
	if got := s.Proven(14*time.Second, 13*time.Second); got != 13*time.Second {
		t.Errorf("settled: the list of targets was complete at %v, want 13s", got)
	}
}

// The store cannot be read from shortly after a restore on. The replica lacks the entries
// that are written again meanwhile, so that the time alone must not end the settling: flows
// of a live target would be reset, and the target would count as gone.
func TestUnreadStoreHasNotSettled(t *testing.T) {
	var s Settling
	s.Begin(10*time.Second, 3*time.Second, 8*time.Second)
	s.Defer("a")
	if got := s.Settled(15*time.Second, 11*time.Second); got != nil {
		t.Errorf("%v returned to a replica of before the store had settled", got)
	}
	if got := s.Proven(15*time.Second, 11*time.Second); got != 8*time.Second {
		t.Errorf("the list of targets was complete at %v, want 8s", got)
	}
	if got := s.Settled(16*time.Second, 15*time.Second); len(got) != 1 {
		t.Errorf("deferred keys %v, want a", got)
	}
}

// The store is restored a second time before it has settled. The last complete list of
// targets is still the one from before the first restore.
func TestSettlingTwice(t *testing.T) {
	var s Settling
	s.Begin(10*time.Second, 3*time.Second, 8*time.Second)
	s.Defer("a")
	s.Begin(12*time.Second, 3*time.Second, 11*time.Second)
	if got := s.Proven(14*time.Second, 13*time.Second); got != 8*time.Second {
		t.Errorf("while settling: the list of targets was complete at %v, want 8s", got)
	}
	if got := s.Settled(15*time.Second, 15*time.Second); len(got) != 1 {
		t.Errorf("deferred keys %v, want a", got)
	}
}

func TestSettleTime(t *testing.T) {
	for heartbeat, want := range map[time.Duration]time.Duration{0: minSettle, 1200 * time.Millisecond: 2800 * time.Millisecond, 5 * time.Second: 10400 * time.Millisecond} {
		if got := SettleTime(heartbeat); got != want {
			t.Errorf("with heartbeats every %v: %v, want %v", heartbeat, got, want)
		}
	}
}
