package model

import (
	"testing"

	"pgregory.net/rapid"

	"rosedale.dev/rosedale/internal/catalogue"
)

// drawChangesOfHomes draws a deployment without losses whose balancers join and leave.
func drawChangesOfHomes(t *rapid.T) Bounds {
	n := func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) }
	b := Bounds{
		Balancers:       n("balancers", 2, 4),
		Targets:         n("targets", 1, 4),
		Callers:         n("callers", 1, 6),
		Slots:           n("slots", 1, 2),
		Ticks:           n("ticks", 0, 4),
		Retransmissions: n("resends", 0, 1),
		Class:           catalogue.Request,
		ClosedCallers:   true,
	}
	b.Leaves = n("leaves", 0, 1)
	b.Joins = n("joins", 1-b.Leaves, b.Balancers-1-b.Leaves)
	return b
}

// settleRounds is the number of rounds, of tickStep each, after which no slot may be in use. It is
// far less than the time after which a flow without packets gives its slot up.
const settleRounds = 40

// Balancers join and leave, and their views change at different times, so that some act as home of
// a service for a moment. Once all requests have ended, no balancer may count a slot as in use. Such
// a slot would be lost to new requests until its flow counts as idle, and they would be refused.
func TestChangesOfHomesLeaveNoSlotInUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(drawChangesOfHomes(t))
		randomSteps(t, w)
		for round := range settleRounds {
			if v := w.livenessRound(round, t.Logf); v != "" {
				t.Fatal(v)
			}
		}
		if n := w.slotsInUse(); n > 0 {
			t.Fatalf("%d slots are in use after all requests have ended", n)
		}
	})
}
