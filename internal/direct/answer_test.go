package direct

import (
	"testing"
	"time"
)

// The outcome of a request follows from the time and size of its answer, compared with the
// baseline once that is known.
func TestClassify(t *testing.T) {
	known := &baseline{medianTime: float64(30 * time.Millisecond), medianSize: 2000, samples: minSamples}
	fresh := &baseline{}
	for _, c := range []struct {
		name string
		base *baseline
		took time.Duration
		size uint32
		want Answer
	}{
		{"normal", known, 30 * time.Millisecond, 2000, AnswerGood},
		{"a third of the normal bytes", known, 30 * time.Millisecond, 700, AnswerGood},
		{"an error's bytes", known, 5 * time.Millisecond, 170, AnswerShort},
		{"three times as long and more", known, 91 * time.Millisecond, 2000, AnswerSlow},
		{"nothing", known, 0, 0, AnswerNone},
		{"only the end of the flow", known, 0, 1, AnswerNone},
		{"short, no baseline yet", fresh, 5 * time.Millisecond, 170, AnswerGood},
		{"nothing, no baseline yet", fresh, 0, 0, AnswerNone},
	} {
		if got := c.base.classify(c.took, c.size); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// If a third of a route's answers turn into errors at once, the baseline must remain that of
// the good answers.
func TestBaselineSurvivesErrors(t *testing.T) {
	base := &baseline{}
	for i := range 300 {
		if i > 100 && i%3 == 0 {
			base.learn(5*time.Millisecond, 170)
			continue
		}
		base.learn(30*time.Millisecond, 2000)
	}
	if base.classify(30*time.Millisecond, 2000) != AnswerGood || base.classify(5*time.Millisecond, 170) != AnswerShort {
		t.Errorf("baseline is %.0f bytes after %.0f ms", base.medianSize, base.medianTime/1e6)
	}
}

// answeredRequest sends a request of two packets on the streams route and lets a time pass.
// Unless answer is 0, the caller then acknowledges an answer of that many bytes.
func (b *fixture) answeredRequest(port uint16, id TargetID, seq, ack, answer uint32, took time.Duration) {
	b.sendRequest(port, streams, id, seq, ack)
	b.sendRequest(port, streams, id, seq+300, ack)
	b.now += took
	if answer == 0 {
		return
	}
	s := packet(port, streams, ACK, id.Cookie())
	s.Seq, s.Ack = seq+600, ack+answer
	b.handle(s)
}

// A request of two packets counts once, and the next request on the flow ends it.
func TestRequestOutcomes(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	id := b.openFlow(1, streams)
	for i := range uint32(40) {
		b.answeredRequest(1, id, 101+600*i, 1000+2000*i, 2000, 30*time.Millisecond)
	}
	b.answeredRequest(1, id, 101+600*40, 1000+2000*40, 170, 5*time.Millisecond)
	b.answeredRequest(1, id, 101+600*41, 1000+2000*40+170, 0, 5*time.Millisecond)
	b.now += time.Second
	b.f.Tick(b.now)
	for a, want := range map[Answer]uint64{AnswerGood: 40, AnswerShort: 1, AnswerNone: 1, AnswerSlow: 0} {
		if got := b.f.CountAnswers(a); got != want {
			t.Errorf("%d requests ended %v, want %d", got, a, want)
		}
	}
}

// A request that the caller retransmits because the target has not acknowledged it is counted
// once.
func TestRetransmittedRequestCountsOnce(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	id := b.openFlow(1, streams)
	for range 4 {
		b.sendRequest(1, streams, id, 101, 1000)
		b.now += 400 * time.Millisecond
		b.f.Tick(b.now)
	}
	if got := b.f.CountAnswers(AnswerNone); got != 1 {
		t.Errorf("%d requests without an answer, want 1", got)
	}
}

// An answer that takes many seconds is classified when it has ended. Earlier it would look
// short.
func TestLongAnswerIsClassifiedAtItsEnd(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	id := b.openFlow(1, streams)
	for i := range uint32(40) {
		b.answeredRequest(1, id, 101+600*i, 1000+200000*i, 200000, 30*time.Millisecond)
	}
	b.sendRequest(1, streams, id, 101+600*40, 1000+200000*40)
	for i := range uint32(100) {
		b.now += 50 * time.Millisecond
		s := packet(1, streams, ACK, id.Cookie())
		s.Seq, s.Ack = 401+600*40, 1000+200000*40+2000*(i+1)
		b.handle(s)
		b.f.Tick(b.now)
	}
	b.now += time.Second
	b.f.Tick(b.now)
	if got := b.f.CountAnswers(AnswerShort); got != 0 {
		t.Errorf("%d short answers", got)
	}
	if got := b.f.CountAnswers(AnswerGood); got != 41 {
		t.Errorf("%d good answers, want 41", got)
	}
}
