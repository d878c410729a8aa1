package direct

import (
	"testing"
	"time"
)

// recordAnswers records n equal request outcomes at a target.
func (b *fixture) recordAnswers(id TargetID, a Answer, n int) {
	for range n {
		b.f.recordAnswer(b.now, b.state(id), a)
	}
}

// One target fails four of ten requests, another none. New flows go to the other one until it
// is loaded. The change is reported once, and once more when the target has recovered.
func TestFailingTargetLooksLoaded(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"))
	b.recordAnswers(1, AnswerGood, 12)
	b.recordAnswers(1, AnswerNone, 8)
	b.recordAnswers(2, AnswerGood, 20)
	b.f.Tick(b.now)
	for port := range uint16(5) {
		if id := b.openFlow(100+port, streams); id != 2 {
			t.Errorf("flow %d went to the failing target", port)
		}
	}
	changes := b.f.OutlierChanges()
	if len(changes) != 1 || changes[0].Target != 1 || !changes[0].Failing {
		t.Fatalf("changes are %+v, want that target 1 fails", changes)
	}
	b.now += 6 * outcomeTimeConstant
	b.f.Tick(b.now)
	if changes = b.f.OutlierChanges(); len(changes) != 1 || changes[0].Failing {
		t.Errorf("changes are %+v, want that target 1 answers well again", changes)
	}
	if x := b.state(1); x.extraLoad > 0.1 {
		t.Errorf("the target still looks loaded by %.2f", x.extraLoad)
	}
}

// Most requests through this balancer fail at all targets, as its own path is broken. It must
// not report failing targets to peers, nor prefer one target to another.
func TestOwnFaultIsNotReported(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"))
	b.recordAnswers(1, AnswerNone, 20)
	b.recordAnswers(2, AnswerNone, 20)
	b.f.Tick(b.now)
	if out := b.f.Outcomes(b.now); len(out) != 0 {
		t.Errorf("outcomes reported to peers: %v, want none", out)
	}
	if x, y := b.state(1).extraLoad, b.state(2).extraLoad; x > 0.5 || y > 0.5 {
		t.Errorf("targets look loaded by %.2f and %.2f", x, y)
	}
}

// In a large fleet a balancer has few requests to each target. Failures reported by peers
// count relative to the requests that all balancers are assumed to have had.
func TestPeerOutcomesCount(t *testing.T) {
	for _, c := range []struct {
		name   string
		bad    float64 // failed requests at target 1, as reported by peers
		spread int     // balancers
		loaded bool
	}{
		{"ten of about 40", 10, 20, true},
		{"one of about 40", 1, 20, false},
		{"ten of about 400", 10, 200, false},
	} {
		b := newFixture(t, target1(1, "a"), target1(2, "a"))
		b.recordAnswers(1, AnswerGood, 2)
		b.recordAnswers(2, AnswerGood, 2)
		b.f.SetPeerOutcomes(map[TargetID]Outcome{1: {Bad: c.bad}}, c.spread)
		b.f.Tick(b.now)
		if got := b.state(1).extraLoad > failingLoad; got != c.loaded {
			t.Errorf("%s: looks loaded by %.2f", c.name, b.state(1).extraLoad)
		}
		b.f.SetPeerOutcomes(nil, c.spread)
		b.f.Tick(b.now)
		if x := b.state(1).extraLoad; x > 0.1 {
			t.Errorf("%s: still looks loaded by %.2f after the peers stopped reporting it", c.name, x)
		}
	}
}

// A failing target that is removed for good is no longer tracked.
func TestForgottenTargetIsNotTracked(t *testing.T) {
	b := newFixture(t, target1(1, "a"), target1(2, "a"))
	b.recordAnswers(1, AnswerNone, 5)
	b.f.RemoveTarget(b.now, 1)
	for range 3 {
		b.now += departedRetention
		b.f.Tick(b.now)
	}
	if len(b.f.outcomes.recentlyFailed) != 0 {
		t.Errorf("%d targets are tracked", len(b.f.outcomes.recentlyFailed))
	}
}

// Outcomes decay with time, whether held as Outcome or record.
func TestOutcomesDecay(t *testing.T) {
	o := Outcome{Good: 10, Bad: 5}.Decayed(outcomeTimeConstant)
	if o.Good < 3.6 || o.Good > 3.7 || o.Bad < 1.8 || o.Bad > 1.9 {
		t.Errorf("%+v after one time constant", o)
	}
	var r record
	r.add(time.Second, AnswerSlow)
	r.decay(time.Second + outcomeTimeConstant)
	if r.Bad < 0.18 || r.Bad > 0.19 {
		t.Errorf("%+v after one time constant", r)
	}
}
