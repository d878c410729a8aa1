package direct

import (
	"testing"
	"time"
)

// newGated returns a fixture with goals whose balancer is the only one of its data centre: it
// has placesPerTarget places for each target.
func newGated(t *testing.T, targets ...Target) *fixture {
	b := newGoalFixture(t, targets...)
	b.f.SetBalancers("b1", nil)
	return b
}

// fill opens n flows of streams from port 1 on, each with a request in flight.
func (b *fixture) fill(n int) []TargetID {
	b.t.Helper()
	var out []TargetID
	for i := range n {
		id := b.openFlow(uint16(i+1), streams)
		b.want(b.sendRequest(uint16(i+1), streams, id, 101, 1000), Forwarded)
		out = append(out, id)
	}
	return out
}

// answer acknowledges the answer to a flow's first request.
func (b *fixture) answer(port uint16, id TargetID) {
	s := packet(port, streams, ACK, id.Cookie())
	s.Seq, s.Ack = 401, 3000
	b.handle(s)
}

// releases returns the releases by port.
func (b *fixture) releases() map[uint16]Decision {
	out := map[uint16]Decision{}
	for _, r := range b.f.Releases(b.now) {
		out[r.Flow.Caller.Port()] = r.Decision
	}
	return out
}

// pass lets time pass with ticks and returns the releases.
func (b *fixture) pass(d time.Duration) map[uint16]Decision {
	out := map[uint16]Decision{}
	for end := b.now + d; b.now < end; {
		b.now = min(b.now+100*time.Millisecond, end)
		b.f.Tick(b.now)
		for port, d := range b.releases() {
			out[port] = d
		}
	}
	return out
}

// inFlight returns the requests in flight that the gate counts, and those that targets and flows
// count.
func (b *fixture) inFlight() (gate, targets, flows int) {
	for _, p := range b.f.services["s"].gate.Stats().Pools {
		gate += p.InFlight
	}
	for _, t := range b.f.targets {
		targets += t.places
	}
	for _, fl := range b.f.flows {
		if fl.place.gate != nil {
			flows++
		}
	}
	return gate, targets, flows
}

func (b *fixture) wantInFlight(n int) {
	b.t.Helper()
	if g, t, f := b.inFlight(); g != n || t != n || f != n {
		b.t.Errorf("%d places at the gate, %d at targets, %d of flows; want %d", g, t, f, n)
	}
}
