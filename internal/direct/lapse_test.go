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
		{"removal known with the first read after an outage", defaultHeartbeat + 300*time.Millisecond, 0, Forwarded},
		{"removal known shortly after an outage", defaultHeartbeat + 300*time.Millisecond, lapseWindow / 2, Forwarded},
		{"removal known long after an outage", defaultHeartbeat + 300*time.Millisecond, lapseWindow + time.Second, ResetGone},
	} {
		b := newFixture(t, target1(1, "a"))
		b.openFlow(1, streams)
		b.readFor(lapseWindow)
		draining := target1(1, "a")
		draining.Draining = true
		b.f.PutTarget(b.now, draining)
		b.now += c.outage
		if c.after > 0 {
			b.f.SetListCompleteAt(b.now)
			b.readFor(c.after)
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

// Guards against resetting flows of a living target whose registration lapsed with the store, by a
// balancer that starts just after and has never known the target.
func TestUnknownTargetAfterAStart(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	for range 5 {
		b.want(b.sendRequest(1, streams, 77, 101, 1000), DroppedWait)
		b.readFor(lapseWindow / 5)
	}
	b.readFor(2 * listMargin)
	b.want(b.sendRequest(1, streams, 77, 101, 1000), ResetUnknown)
}

// Guards against a lapsed target that refuses connections and is never found to have ended.
func TestRefusingTargetIsGoneAfterTheLapseWindow(t *testing.T) {
	b, ending := flowOfEndingTarget(t, 3)
	b.readFor(lapseWindow)
	b.now += 2 * defaultHeartbeat // the store is away
	b.f.RemoveTarget(b.now, ending)
	b.sendRequest(1, streams, ending, 101, 1000)
	if resets := b.refuse(ending); len(resets) != 0 {
		t.Errorf("%d flows are reset while the registration may come back", len(resets))
	}
	b.readFor(lapseWindow + time.Second)
	if resets := b.refuse(ending); len(resets) != 2 {
		t.Errorf("%d flows are reset after the time in which it would be back, want the waiting one and the idle one", len(resets))
	}
}
