package direct

import (
	"net/netip"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/revision"
)

// fixture holds a Forwarder and the clock of a test.
type fixture struct {
	t   *testing.T
	f   *Forwarder
	now time.Duration
}

var (
	streams = netip.MustParseAddrPort("198.18.0.1:443")  // idempotent requests to service s
	notes   = netip.MustParseAddrPort("198.18.0.1:8080") // non-idempotent requests to service s
)

func testCatalogue() *Catalogue {
	to := []Backend{{"s", 1}}
	return &Catalogue{
		Version: 1,
		Routes: map[netip.AddrPort]Route{
			streams: {Name: "streams", Address: streams, Backends: to, Kind: Idempotent},
			notes:   {Name: "notes", Address: notes, Backends: to, Kind: NonIdempotent},
		},
		Services:    map[string]Service{"s": {Name: "s", HealthPath: "/health"}},
		IdleTimeout: 30 * time.Second,
	}
}

// newFixture returns a forwarder of data centre "a" that knows the targets.
func newFixture(t *testing.T, targets ...Target) *fixture {
	b := &fixture{t: t, f: New(Config{DataCenter: "a", FlowMaxAge: time.Minute, MaxFlows: 1000, Seed: 1}), now: time.Second}
	b.f.SetCatalogue(testCatalogue())
	for _, x := range targets {
		b.f.PutTarget(b.now, x)
	}
	return b
}

// target1 returns the registration of a target of service s with two slots.
func target1(id TargetID, centre string) Target {
	return Target{ID: id, Service: "s", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80), DataCenter: centre, Slots: 2}
}

// packet returns a packet of a caller's flow, which is identified by its port.
func packet(port uint16, to netip.AddrPort, flags Flags, cookie Cookie) *Segment {
	return &Segment{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Address: to, Flags: flags, Cookie: cookie}
}

func (b *fixture) handle(s *Segment) Decision { return b.f.Handle(b.now, s) }

// openFlow opens a flow, sends its first packet and returns its target.
func (b *fixture) openFlow(port uint16, to netip.AddrPort) TargetID {
	b.t.Helper()
	d := b.handle(packet(port, to, SYN, 0))
	if d.Verb != Forward {
		b.t.Fatalf("opening: %v", d.Reason)
	}
	id := d.Target.ID
	b.now += 5 * time.Millisecond
	first := packet(port, to, ACK, id.Cookie())
	first.Seq, first.Ack = 101, 1000
	b.handle(first)
	return id
}

// readFor lets time pass while the store is read, so that the list of targets stays complete.
func (b *fixture) readFor(d time.Duration) {
	const interval = 400 * time.Millisecond
	for end := b.now + d; b.now < end; {
		b.f.SetListCompleteAt(b.now)
		b.now += min(interval, end-b.now)
	}
	b.f.SetListCompleteAt(b.now)
}

// openFlowTo opens a flow at one target.
func (b *fixture) openFlowTo(port uint16, to netip.AddrPort, id TargetID) {
	b.t.Helper()
	for range 100 {
		if b.openFlow(port, to) == id {
			return
		}
		b.f.forget(packet(port, to, 0, 0).Flow())
	}
	b.t.Fatalf("no flow was opened at %v", id)
}

// sendRequest sends a request of 300 bytes on an open flow.
func (b *fixture) sendRequest(port uint16, to netip.AddrPort, id TargetID, seq, ack uint32) Decision {
	s := packet(port, to, ACK, id.Cookie())
	s.Seq, s.Ack, s.Len = seq, ack, 300
	return b.handle(s)
}

func (b *fixture) want(d Decision, r Reason) {
	b.t.Helper()
	if d.Reason != r {
		b.t.Errorf("decision is %v, want %v", d.Reason, r)
	}
}

// state returns the forwarder's state of a target.
func (b *fixture) state(id TargetID) *target { return b.f.targets[id] }

// rev returns a revision of a store that does not report an era.
func rev(number int64) revision.Revision { return revision.Revision{Number: number} }
