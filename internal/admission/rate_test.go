package admission

import (
	"math"
	"testing"
	"time"
)

// Guards against a rate of too short a time or too few admissions, and against one that includes
// admissions of more than half a second ago.
func TestRateIsKnown(t *testing.T) {
	for _, c := range []struct {
		name  string
		every time.Duration
		until time.Duration
		at    time.Duration
		want  float64 // 0: not known
	}{
		{"too short", 5 * ms, 95 * ms, 99 * ms, 0},
		{"long enough", 5 * ms, 100 * ms, 100 * ms, 200},
		{"too few", 100 * ms, 300 * ms, 350 * ms, 0},
		{"four", 100 * ms, 400 * ms, 400 * ms, 10},
		{"window moves", 5 * ms, 5 * time.Second, 5 * time.Second, 200},
		{"half has ended", 5 * ms, 5 * time.Second, 5250 * ms, 100},
		{"all has ended", 5 * ms, 5 * time.Second, 5600 * ms, 0},
	} {
		const start = 20 * ms // within an interval
		var r rate
		r.restart(start)
		for at := c.every; at <= c.until; at += c.every {
			r.add(start+at, 1)
		}
		s, known := r.speeds(start + c.at)
		if known != (c.want > 0) || math.Abs(s[1]-c.want) > 0.1*c.want {
			t.Errorf("%s: %v a second, known %v, want %v", c.name, s[1], known, c.want)
		}
	}
}

// Guards against a priority that expects only what it asked for in a quiet time, and against one
// that expects what more urgent ones take.
func TestExpectedSpeeds(t *testing.T) {
	for _, c := range []struct{ admitted, want speeds }{
		{speeds{1: 80}, speeds{0: 70, 1: 80, 2: 10, 3: 10}},
		{speeds{1: 8, 2: 72}, speeds{0: 70, 1: 70, 2: 72, 3: 10}},
		{speeds{1: 70, 2: 10}, speeds{0: 70, 1: 70, 2: 10, 3: 10}},
		{speeds{1: 40, 3: 40}, speeds{0: 70, 1: 70, 2: 30, 3: 40}},
	} {
		got := c.admitted
		got.distribute(80)
		for p := range 4 {
			if got[p] != c.want[p] {
				t.Errorf("admitted %v: priority %d expects %v, want %v", c.admitted, p, got[p], c.want[p])
			}
		}
	}
}
