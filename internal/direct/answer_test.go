package direct

import (
	"testing"
	"time"
)

func TestJudge(t *testing.T) {
	known := &baseline{medianTime: float64(30 * time.Millisecond), medianSize: 2000, samples: minSamples}
	fresh := &baseline{}
	for _, c := range []struct {
		name string
		u    *baseline
		took time.Duration
		size uint32
		want Answer
	}{
		{"usual", known, 30 * time.Millisecond, 2000, AnswerGood},
		{"a third of the usual bytes", known, 30 * time.Millisecond, 700, AnswerGood},
		{"an error's bytes", known, 5 * time.Millisecond, 170, AnswerShort},
		{"three times as long and more", known, 91 * time.Millisecond, 2000, AnswerSlow},
		{"nothing", known, 0, 0, AnswerNone},
		{"only the end of the flow", known, 0, 1, AnswerNone},
		{"short, but nothing is usual yet", fresh, 5 * time.Millisecond, 170, AnswerGood},
		{"nothing, and nothing is usual yet", fresh, 0, 0, AnswerNone},
	} {
		if got := c.u.classify(c.took, c.size); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// A third of the answers of a route turn into errors at once. What is usual must
// stay what the others are.
func TestUsualOutlivesErrors(t *testing.T) {
	u := &baseline{}
	for i := range 300 {
		if i > 100 && i%3 == 0 {
			u.learn(5*time.Millisecond, 170)
			continue
		}
		u.learn(30*time.Millisecond, 2000)
	}
	if u.classify(30*time.Millisecond, 2000) != AnswerGood || u.classify(5*time.Millisecond, 170) != AnswerShort {
		t.Errorf("usual answers have %.0f bytes after %.0f ms", u.medianSize, u.medianTime/1e6)
	}
}

// request sends a request of two packets and its answer's acknowledgement.
func (b *fixture) request(port uint16, id TargetID, seq, ack, answer uint32, took time.Duration) {
	b.ask(port, streams, id, seq, ack)
	b.ask(port, streams, id, seq+300, ack)
	b.now += took
	if answer == 0 {
		return
	}
	s := packet(port, streams, ACK, id.Cookie())
	s.Seq, s.Ack = seq+600, ack+answer
	b.handle(s)
}

// A request of two packets is one request; the next one on the flow ends it.
func TestRequestsAreJudged(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	id := b.open(1, streams)
	for i := range uint32(40) {
		b.request(1, id, 101+600*i, 1000+2000*i, 2000, 30*time.Millisecond)
	}
	b.request(1, id, 101+600*40, 1000+2000*40, 170, 5*time.Millisecond)
	b.request(1, id, 101+600*41, 1000+2000*40+170, 0, 5*time.Millisecond)
	b.now += time.Second
	b.f.Tick(b.now)
	for a, want := range map[Answer]uint64{AnswerGood: 40, AnswerShort: 1, AnswerNone: 1, AnswerSlow: 0} {
		if got := b.f.CountAnswers(a); got != want {
			t.Errorf("%d requests ended %v, want %d", got, a, want)
		}
	}
}

// A caller repeats a request that its target has not acknowledged. It stays one
// request, which counts once.
func TestRepeatedRequestCountsOnce(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	id := b.open(1, streams)
	for range 4 {
		b.ask(1, streams, id, 101, 1000)
		b.now += 400 * time.Millisecond
		b.f.Tick(b.now)
	}
	if got := b.f.CountAnswers(AnswerNone); got != 1 {
		t.Errorf("%d requests without an answer, want 1", got)
	}
}

// An answer of a gigabyte takes many seconds. It is judged when it has ended, not
// in its midst, where it would look short.
func TestLongAnswerIsJudgedAtItsEnd(t *testing.T) {
	b := newFixture(t, target1(1, "a"))
	id := b.open(1, streams)
	for i := range uint32(40) {
		b.request(1, id, 101+600*i, 1000+200000*i, 200000, 30*time.Millisecond)
	}
	b.ask(1, streams, id, 101+600*40, 1000+200000*40)
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
