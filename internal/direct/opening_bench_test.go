package direct

import (
	"testing"
	"time"
)

// newGoalFixture is newFixture with a goal of 400 ms on the route of streams and of 500 ms on
// that of notes, which is more urgent.
func newGoalFixture(t *testing.T, targets ...Target) *fixture {
	b := newFixture(t, targets...)
	b.f.SetCatalogue(goalCatalogue())
	return b
}

func goalCatalogue() *Catalogue {
	c := testCatalogue()
	c.Version = 2
	r := c.Routes[streams]
	r.Goal, r.Priority = 400*time.Millisecond, 2
	c.Routes[streams] = r
	r = c.Routes[notes]
	r.Goal, r.Priority = 500*time.Millisecond, 1
	c.Routes[notes] = r
	return c
}

// BenchmarkOpening measures flows at a balancer of a data centre with 120 targets: only the
// opening and its end by the caller, and a whole flow with a request and the acknowledgement of
// the answer.
func BenchmarkOpening(b *testing.B) {
	for _, c := range []struct {
		name    string
		fixture func(*testing.T, ...Target) *fixture
		flow    func(*fixture, uint16)
	}{
		{"opened without goal", newFixture, (*fixture).openAndReset},
		{"opened with goal", newGoalFixture, (*fixture).openAndReset},
		{"answered without goal", newFixture, (*fixture).exchange},
		{"answered with goal", newGoalFixture, (*fixture).exchange},
	} {
		b.Run(c.name, func(b *testing.B) {
			var targets []Target
			for i := range 120 {
				targets = append(targets, target1(TargetID(i+1), "a"))
			}
			x := c.fixture(&testing.T{}, targets...)
			b.ReportAllocs()
			for i := range b.N {
				c.flow(x, uint16(i%500))
			}
		})
	}
}

// openAndReset opens a flow, which its caller resets.
func (b *fixture) openAndReset(port uint16) {
	d := b.handle(packet(port, streams, SYN, 0))
	s := packet(port, streams, RST, d.Target.ID.Cookie())
	s.Seq = 101
	b.now += time.Millisecond
	b.handle(s)
}

// exchange opens a flow, sends a request on it and ends it after the answer.
func (b *fixture) exchange(port uint16) {
	d := b.handle(packet(port, streams, SYN, 0))
	s := packet(port, streams, ACK, d.Target.ID.Cookie())
	s.Seq, s.Ack, s.Len = 101, 1000, 300
	b.now += time.Millisecond
	b.handle(s)
	s.Seq, s.Ack, s.Len, s.Flags = 401, 3000, 0, ACK|FIN
	b.now += 20 * time.Millisecond
	b.handle(s)
}
