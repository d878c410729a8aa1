package replica

import (
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

func TestLagCountsFromTheFirstMissingChange(t *testing.T) {
	var l Lag
	at := func(n int64) revision.Revision { return revision.Revision{Number: n} }
	l.Announced(time.Second, at(5), at(5))
	if got := l.For(2 * time.Second); got != 0 {
		t.Errorf("a replica that has the change is behind for %v", got)
	}
	l.Announced(2*time.Second, at(7), at(5))
	l.Announced(3*time.Second, at(6), at(5))
	l.Announced(4*time.Second, at(9), at(7))
	if got := l.For(5 * time.Second); got != 3*time.Second {
		t.Errorf("behind for %v, want 3s", got)
	}
	if _, ended := l.Reached(5*time.Second, at(8)); ended {
		t.Error("a replica that lacks the newest change caught up")
	}
	if d, ended := l.Reached(6*time.Second, at(9)); !ended || d != 4*time.Second {
		t.Errorf("Reached() = %v, %v, want 4s, true", d, ended)
	}
	if d, ended := l.Reached(7*time.Second, at(10)); ended {
		t.Errorf("caught up twice, after %v", d)
	}
}

// A replica of a later era is ahead, whatever its revision number.
func TestLagComparesEras(t *testing.T) {
	var l Lag
	l.Announced(0, revision.Revision{Era: 1, Number: 100}, revision.Revision{Era: 2, Number: 5})
	if got := l.For(time.Second); got != 0 {
		t.Errorf("behind an earlier era for %v", got)
	}
	l.Announced(0, revision.Revision{Era: 3, Number: 1}, revision.Revision{Era: 2, Number: 5})
	if got := l.For(time.Second); got != time.Second {
		t.Errorf("behind a later era for %v, want 1s", got)
	}
}
