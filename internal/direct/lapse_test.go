package direct

import (
	"testing"
	"time"
)

// The registration of a target that drains and still serves its flows lapses while the store is
// away. Its flows must not be reset without a check when the store comes back; those of a target
// that has left while the store was readable are.
func TestDrainingTargetThatLapsesIsChecked(t *testing.T) {
	for _, c := range []struct {
		name          string
		outage, after time.Duration // until the list is complete again, and from then until the removal is known
		want          Reason
	}{
		{"no outage", time.Second, 0, ResetGone},
		{"removal known with the first read after an outage", lapseGap + time.Second, 0, Forwarded},
		{"removal known shortly after an outage", lapseGap + time.Second, lapseWindow / 2, Forwarded},
		{"removal known long after an outage", lapseGap + time.Second, lapseWindow + time.Second, ResetGone},
	} {
		b := newFixture(t, target1(1, "a"))
		b.openFlow(1, streams)
		b.f.SetListCompleteAt(b.now)
		draining := target1(1, "a")
		draining.Draining = true
		b.f.PutTarget(b.now, draining)
		b.now += c.outage
		if c.after > 0 {
			b.f.SetListCompleteAt(b.now)
			b.now += c.after
			b.f.SetListCompleteAt(b.now)
		}
		b.f.RemoveTarget(b.now, 1)
		b.f.SetListCompleteAt(b.now)
		b.now += minSilence + time.Millisecond
		d := b.sendRequest(1, streams, 1, 101, 1000)
		if d.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, d.Reason, c.want)
		}
		if checked := len(b.f.TargetsToCheck(b.now)) == 1; checked != (c.want == Forwarded) {
			t.Errorf("%s: the target is checked %v", c.name, checked)
		}
	}
}
