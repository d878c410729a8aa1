package speed

import (
	"math"
	"testing"
	"time"
)

// feed reports answers of targets 0, 1, ... at a rate for each, from a time for so long, and
// returns the end.
func feed(t *Tracker, from, length time.Duration, perSecond float64, ratios ...float64) time.Duration {
	end := from + length
	for ; from < end; from += time.Duration(float64(time.Second) / perSecond) {
		for id, r := range ratios {
			t.Answered(from, uint64(id), r)
		}
	}
	return end
}

// Guards against a slow target that keeps its share of the openings for longer than a third of
// a burst: it shows within two seconds at 17 answers a second.
func TestSlowTargetShows(t *testing.T) {
	s := New()
	now := feed(s, 0, 3*time.Second, 17, 1, 1, 1, 1)
	now = feed(s, now, 2*time.Second, 17, 1, 1, 1.6, 1)
	if slow, other := s.Ratio(now, 2), s.Ratio(now, 0); slow < 1.4*other {
		t.Errorf("slow target at %.2f, others at %.2f", slow, other)
	}
	if n, age := s.Known(now, 2); n < 17 || age > 100*time.Millisecond {
		t.Errorf("%.1f answers known, the last %v ago", n, age)
	}
}

// Guards against targets marked slow by the 3 % of requests that take seven times as long.
func TestOneLongRequestMarksNoTarget(t *testing.T) {
	s := New()
	now := feed(s, 0, 3*time.Second, 17, 1, 1, 1, 1)
	s.Answered(now, 0, 7)
	if got := s.Ratio(now, 0); got > 1.4 {
		t.Errorf("%.2f after one long request", got)
	}
	now = feed(s, now, 500*time.Millisecond, 17, 1, 1, 1, 1)
	if got := s.Ratio(now, 0); got > 1.15 {
		t.Errorf("%.2f half a second after one long request", got)
	}
}

// Guards against a target that fails at once and draws openings because it looks fast.
func TestFastFailuresLookSlow(t *testing.T) {
	s := New()
	now := feed(s, 0, 2*time.Second, 17, 5, 1, 1, 1)
	if bad, other := s.Ratio(now, 0), s.Ratio(now, 1); bad < 2.5*other || bad > maxRatio {
		t.Errorf("failing target at %.2f, others at %.2f", bad, other)
	}
}

// Guards against a target that stays marked after it has recovered, because it gets no
// openings: its estimate returns to the mean with a time constant of 2 s.
func TestEstimateReturnsToTheMean(t *testing.T) {
	s := New()
	now := feed(s, 0, 3*time.Second, 50, 3, 1, 1, 1)
	mean, before := s.mean(), s.Ratio(now, 0)-s.mean()
	after := s.Ratio(now+2*time.Second, 0) - mean
	if math.Abs(after/before-1/math.E) > 0.01 {
		t.Errorf("%.2f from the mean, 2 s later %.2f", before, after)
	}
	if got := s.Ratio(now, 99); got != mean {
		t.Errorf("a target without answers at %.2f, mean %.2f", got, mean)
	}
	if n, _ := s.Known(now+20*time.Second, 0); n > 0.01 {
		t.Errorf("%.2f answers known after 20 s", n)
	}
}

// Guards against an estimate that outlives the start of the target it was made of.
func TestForget(t *testing.T) {
	s := New()
	now := feed(s, 0, 2*time.Second, 17, 4, 1)
	s.Forget(0)
	s.Forget(7)
	if n, age := s.Known(now, 0); n != 0 || age != 0 {
		t.Errorf("%.1f answers, %v known after Forget", n, age)
	}
	if got, other := s.Ratio(now, 0), s.Ratio(now, 1); math.Abs(got-other) > 0.01 {
		t.Errorf("%.2f after Forget, the only other target at %.2f", got, other)
	}
	s.Forget(1)
	if got := s.Ratio(now, 0); got != 1 {
		t.Errorf("%.2f without targets", got)
	}
}

// Guards against memory that grows with every target that has ever answered.
func TestMemoryIsBounded(t *testing.T) {
	s := New()
	for i := range 200000 {
		s.Answered(time.Duration(i)*10*time.Millisecond, uint64(i), 2)
	}
	if n := len(s.targets); n > 2001 {
		t.Errorf("%d targets kept of 100 new ones a second", n)
	}
	s = New()
	for i := range 3 * maxTargets {
		s.Answered(0, uint64(i), 2)
	}
	if n := len(s.targets); n > maxTargets {
		t.Errorf("%d targets kept", n)
	}
}

// Guards against values that would spoil all estimates, and against a time that steps back.
func TestUnusualAnswers(t *testing.T) {
	s := New()
	for _, r := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0, 1e300} {
		s.Answered(time.Second, 1, r)
		s.Answered(0, 2, r)
		s.Answered(time.Second, 2, 1)
	}
	for id := range uint64(4) {
		if got := s.Ratio(0, id); !(got >= minRatio && got <= maxRatio) {
			t.Errorf("target %d at %v", id, got)
		}
	}
}

// BenchmarkAnswered guards the cost of an answer, which must not allocate.
func BenchmarkAnswered(b *testing.B) {
	s := New()
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		now := time.Duration(n) * time.Millisecond
		s.Answered(now, n%64, 1)
		s.Ratio(now, 7)
	}
}
