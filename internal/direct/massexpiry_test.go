package direct

import (
	"testing"
	"time"
)

// The store comes back from an outage in which all registrations have run out. The first of
// ten targets to register again is the only one in the list for a moment, and the openings of
// all balancers would go there. They have to be spread over all ten until the others have had
// time to register.
func TestFirstReturningTargetIsNotOverloaded(t *testing.T) {
	var all []Target
	for id := range TargetID(10) {
		all = append(all, target1(id+1, "a"))
	}
	b := newFixture(t, all...)
	for _, x := range all {
		b.f.RemoveTarget(b.now, x.ID)
	}
	b.now += 200 * time.Millisecond
	b.f.PutTarget(b.now, all[0])
	got := map[TargetID]int{}
	for port := uint16(1000); port < 1100; port++ {
		got[b.openFlow(port, streams)]++
	}
	if got[1] > 20 || len(got) < 10 {
		t.Errorf("openings by target %v, want them spread over all", got)
	}
	b.now += lateOpeningWindow
	for port := uint16(2000); port < 2010; port++ {
		if d := b.handle(packet(port, streams, SYN, 0)); d.Target.ID != 1 {
			t.Errorf("target %s expired %v ago and still gets openings", d.Target.ID, lateOpeningWindow)
		}
	}
}

// Two of ten targets that expire on their own are probably gone and get no openings while
// others are available. The same holds for targets that were marked dead or had announced
// that they leave.
func TestFewExpiredTargetsGetNoOpenings(t *testing.T) {
	var all []Target
	for id := range TargetID(10) {
		all = append(all, target1(id+1, "a"))
	}
	for name, apply := range map[string]func(b *fixture){
		"two expire": func(b *fixture) {
			b.f.RemoveTarget(b.now, 1)
			b.f.RemoveTarget(b.now, 2)
		},
		"all but two leave": func(b *fixture) {
			for _, x := range all[2:] {
				x.Draining = true
				b.f.PutTarget(b.now, x)
				b.f.RemoveTarget(b.now, x.ID)
			}
		},
		"all but two are dead": func(b *fixture) {
			for _, x := range all[2:] {
				b.state(x.ID).dead = true
				b.f.RemoveTarget(b.now, x.ID)
			}
		},
	} {
		b := newFixture(t, all...)
		apply(b)
		for port := uint16(1000); port < 1100; port++ {
			id := b.openFlow(port, streams)
			if b.state(id).departed {
				t.Fatalf("%s: opening went to target %s, which has departed", name, id)
			}
		}
	}
}
