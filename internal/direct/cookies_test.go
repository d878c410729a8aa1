package direct

import "testing"

// bornAt returns the registration of a target that started at a time.
func bornAt(id TargetID, millis int64) Target {
	t := target1(id, "a")
	t.Born = Born{Known: true, Millis: millis}
	return t
}

// sharedCookie is that of the targets of these tests, whose identifiers are it and it plus a
// multiple of 1<<32.
const sharedCookie = 7

// Guards against a balancer that learns of two targets with the same cookie in another order, as
// after its restart, sending one's flows to the other.
func TestBalancersAgreeWhoseCookieItIs(t *testing.T) {
	for name, c := range map[string]struct {
		first, second Target
		want          TargetID
	}{
		"the earlier start":             {bornAt(sharedCookie, 2000), bornAt(1<<32+sharedCookie, 1000), 1<<32 + sharedCookie},
		"the same start":                {bornAt(1<<32+sharedCookie, 1000), bornAt(sharedCookie, 1000), sharedCookie},
		"the one that tells it":         {target1(sharedCookie, "a"), bornAt(1<<32+sharedCookie, 1000), 1<<32 + sharedCookie},
		"neither tells its start":       {target1(1<<32+sharedCookie, "a"), target1(sharedCookie, "a"), sharedCookie},
		"the earlier, lower identifier": {bornAt(sharedCookie, 1000), bornAt(1<<32+sharedCookie, 2000), sharedCookie},
	} {
		t.Run(name, func(t *testing.T) {
			for _, order := range [][]Target{{c.first, c.second}, {c.second, c.first}} {
				b := newFixture(t, order...)
				if d := b.handle(packet(1, streams, ACK, sharedCookie)); d.Target.ID != c.want {
					t.Errorf("learnt in the order %v, %v: packet went to %v, want %v", order[0].ID, order[1].ID, d.Target.ID, c.want)
				}
				if d := b.handle(packet(2, streams, SYN, 0)); d.Target.ID != c.want {
					t.Errorf("learnt in the order %v, %v: opening went to %v, want %v", order[0].ID, order[1].ID, d.Target.ID, c.want)
				}
			}
		})
	}
}

// Guards against a target that starts again keeping a cookie that a balancer without its earlier
// start gives to another target.
func TestRestartGivesTheCookieAway(t *testing.T) {
	other := bornAt(1<<32+sharedCookie, 2000)
	b := newFixture(t, bornAt(sharedCookie, 1000), other)
	again := bornAt(sharedCookie, 3000)
	again.Revision.Number = 9
	b.f.PutTarget(b.now, again)
	if d := b.handle(packet(1, streams, ACK, sharedCookie)); d.Target.ID != other.ID {
		t.Errorf("packet went to %v, want %v", d.Target.ID, other.ID)
	}
}

// Guards against the cookie of a target that was forgotten going to any of the others, and to
// different ones at different balancers.
func TestForgottenTargetGivesItsCookieToTheNext(t *testing.T) {
	next := bornAt(1<<32+sharedCookie, 2000)
	b := newFixture(t, bornAt(3<<32+sharedCookie, 4000), bornAt(sharedCookie, 1000), bornAt(2<<32+sharedCookie, 3000), next)
	b.f.RemoveTarget(b.now, sharedCookie)
	b.now += departedRetention + 2*sweepInterval
	b.f.Tick(b.now)
	if d := b.handle(packet(1, streams, ACK, sharedCookie)); d.Target.ID != next.ID {
		t.Errorf("packet went to %v, want %v", d.Target.ID, next.ID)
	}
	if d := b.handle(packet(2, streams, SYN, 0)); d.Target.ID != next.ID {
		t.Errorf("opening went to %v, want %v", d.Target.ID, next.ID)
	}
}
