package direct

import (
	"testing"
	"time"
)

// An opening that is rejected after a wait must be dropped if its copies went to another balancer,
// which may have opened the flow: the reset would not be truthful. If a copy came here, or none
// was due yet, the reset must be sent, or the caller would wait for nothing.
func TestRejectedAfterAWait(t *testing.T) {
	for name, c := range map[string]struct {
		waited time.Duration
		copied bool
		want   Decision
	}{
		"copied elsewhere": {copyTimeout + time.Millisecond, false, Decision{Verb: Drop, Reason: DroppedWaiting}},
		"copied here":      {copyTimeout + time.Millisecond, true, Decision{Verb: Reset, Reason: ResetOverload}},
		"not copied yet":   {copyTimeout, false, Decision{Verb: Reset, Reason: ResetOverload}},
	} {
		b := newGated(t, target1(1, "a"))
		b.fill(placesPerTarget)
		opening := packet(99, streams, SYN, 0)
		b.want(b.handle(opening), HeldOpening)
		if c.copied {
			b.now += 200 * time.Millisecond
			copied := *opening
			copied.Ack = 1
			b.want(b.handle(&copied), DroppedWaiting)
			b.now -= 200 * time.Millisecond
		}
		b.now += c.waited
		r := b.evict()
		if d := r[99]; len(r) != 1 || d.Verb != c.want.Verb || d.Reason != c.want.Reason || d.Waited != c.waited {
			t.Errorf("%s: released %v", name, r)
		}
	}
}

// heldCopies returns a gated fixture that holds the opening from port 99, of which the given copies
// came here after 200 and 600 ms.
func heldCopies(t *testing.T, copies ...uint32) *fixture {
	b := newGated(t, target1(1, "a"))
	b.fill(placesPerTarget)
	opening := packet(99, streams, SYN, 0)
	b.want(b.handle(opening), HeldOpening)
	began := b.now
	for _, n := range copies {
		b.now = began + []time.Duration{0, 200, 600}[n]*time.Millisecond
		copied := *opening
		copied.Ack = n
		b.want(b.handle(&copied), DroppedWaiting)
	}
	b.now = began
	return b
}

// evict fills the queue with urgent openings and returns the first release.
func (b *fixture) evict() map[uint16]Decision {
	var r map[uint16]Decision
	for port := uint16(200); port < 2000 && len(r) == 0; port++ {
		b.want(b.handle(packet(port, notes, SYN, 0)), HeldOpening)
		r = b.releases()
	}
	return r
}

// Any copy of an opening may have gone to another balancer, not only the first one. A rejection
// after the second copy was due is only truthful if both came here.
func TestRejectedAfterTheSecondCopy(t *testing.T) {
	for name, c := range map[string]struct {
		waited time.Duration
		copies []uint32
		want   Verb
	}{
		"second elsewhere": {secondCopyTimeout + time.Millisecond, []uint32{1}, Drop},
		"first elsewhere":  {secondCopyTimeout + time.Millisecond, []uint32{2}, Drop},
		"both here":        {secondCopyTimeout + time.Millisecond, []uint32{1, 2}, Reset},
		"second not due":   {secondCopyTimeout, []uint32{1}, Reset},
	} {
		b := heldCopies(t, c.copies...)
		b.now += c.waited
		if d := b.evict()[99]; d.Verb != c.want {
			t.Errorf("%s: released %+v", name, d)
		}
	}
}

// A new opening from the port of a held one must not count the copies of the earlier opening: its
// own copy may have gone elsewhere. Nor must the earlier wait count.
func TestRejectedAfterANewOpeningFromThePort(t *testing.T) {
	for waited, want := range map[time.Duration]Verb{copyTimeout: Reset, copyTimeout + time.Millisecond: Drop} {
		b := heldCopies(t, 1)
		b.now += 210 * time.Millisecond
		opening := packet(99, streams, SYN, 0)
		opening.Seq += 5000
		b.want(b.handle(opening), HeldOpening)
		b.now += waited
		if d := b.evict()[99]; d.Verb != want {
			t.Errorf("after %v: released %+v", waited, d)
		}
	}
}

// An opening whose copy may have been forwarded elsewhere must not be reset when its wait ends
// without any target or route here: the request may run.
func TestNothingLeftAfterACopyElsewhere(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"no target": func(b *fixture) {
			x := target1(1, "a")
			x.Draining = true
			b.f.PutTarget(b.now, x)
			b.f.RemoveTarget(b.now, 1)
		},
		"no route": func(b *fixture) {
			c := testCatalogue()
			delete(c.Routes, streams)
			b.f.SetCatalogue(c)
		},
	} {
		b := heldCopies(t)
		b.now += copyTimeout + time.Millisecond
		change(b)
		if d := b.pass(100 * time.Millisecond)[99]; d.Verb != Drop || d.Reason != DroppedWaiting {
			t.Errorf("%s: released %+v", name, d)
		}
	}
}
