package model

import (
	"os"
	"strconv"
	"testing"

	"rosedale.dev/rosedale/internal/catalogue"
)

// states returns the bound on the states of each case, which the environment
// variable STATES overrides.
func states() int {
	if n, err := strconv.Atoi(os.Getenv("STATES")); err == nil {
		return n
	}
	return 12000
}

// Each case allows one or two kinds of fault, so that its states can be visited
// within seconds. Together the cases cover the required pairs of faults.
func TestCoreProtocolWithinBounds(t *testing.T) {
	base := Bounds{Balancers: 2, Targets: 2, Depth: 60, States: states(), Class: catalogue.Stream}
	cases := map[string]func(*Bounds){
		"loss and retransmission": func(b *Bounds) { b.Losses, b.Retransmissions = 1, 1 },
		"duplicates":              func(b *Bounds) { b.Duplicates = 1 },
		"retries":                 func(b *Bounds) { b.Ticks, b.Sheds = 2, 1 },
		"slow target and resend":  func(b *Bounds) { b.Ticks, b.Retransmissions = 2, 1 },
		"views differ":            func(b *Bounds) { b.Joins, b.Ticks = 1, 2 },
		"views differ, resend":    func(b *Bounds) { b.Joins, b.Retransmissions = 1, 1 },
		"views differ, requests":  func(b *Bounds) { b.Joins, b.Ticks, b.Class = 1, 2, catalogue.Request },
		"three balancers, a join": func(b *Bounds) { b.Balancers, b.Joins, b.Retransmissions = 3, 1, 1 },
		"crash":                   func(b *Bounds) { b.Crashes, b.Retransmissions = 1, 1 },
		"crash and join":          func(b *Bounds) { b.Balancers, b.Crashes, b.Joins = 3, 1, 1 },
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := base
			set(&b)
			r := Explore(b)
			t.Logf("%d states to depth %d, complete: %v", r.States, r.Depth, r.Complete)
			if r.Violation != "" {
				for _, s := range r.Trace {
					t.Log(s)
				}
				t.Fatal(r.Violation)
			}
		})
	}
}

// The checker has to find a known fault. Balancers that know no peers break
// flows: one of them never sees the acceptance (SYN-ACK) that another delivered,
// considers the target dead and resets a connection that the caller uses.
func TestBrokenVariantIsCaught(t *testing.T) {
	r := Explore(Bounds{
		Balancers: 2, Targets: 2, Depth: 40, States: 200000, Ticks: 2,
		Class: catalogue.Stream, NoPeers: true, ResetOnLateAccept: true,
	})
	t.Logf("%d states to depth %d", r.States, r.Depth)
	if r.Violation == "" {
		t.Fatal("no violation was found in the broken variant")
	}
	for _, s := range r.Trace {
		t.Log(s)
	}
}
