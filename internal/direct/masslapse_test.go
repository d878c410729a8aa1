package direct

import (
	"testing"
	"time"
)

// The store comes back from an outage in which all registrations have run out. The first
// target of ten that registers again is the only one in the list for a moment, and all
// openings of all balancers rush there, though the nine others serve. They have to be
// spread over all ten until the others have had time to register.
func TestFirstTargetThatReturnsIsNotOverrun(t *testing.T) {
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
		got[b.open(port, streams)]++
	}
	if got[1] > 20 || len(got) < 10 {
		t.Errorf("openings by target %v, want them spread over all", got)
	}
	b.now += lateOpeningWindow
	for port := uint16(2000); port < 2010; port++ {
		if d := b.handle(packet(port, streams, SYN, 0)); d.Target.ID != 1 {
			t.Errorf("target %s lapsed %v ago and still gets openings", d.Target.ID, lateOpeningWindow)
		}
	}
}

// Two of ten targets lapse on their own: they most likely are gone, and get nothing while
// others are there. The same holds for those that were found dead or said they would leave.
func TestFewLapsedTargetsGetNothing(t *testing.T) {
	var all []Target
	for id := range TargetID(10) {
		all = append(all, target1(id+1, "a"))
	}
	for name, harm := range map[string]func(b *fixture){
		"two lapse": func(b *fixture) {
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
		harm(b)
		for port := uint16(1000); port < 1100; port++ {
			id := b.open(port, streams)
			if b.state(id).departed {
				t.Fatalf("%s: opening went to target %s, which has departed", name, id)
			}
		}
	}
}
