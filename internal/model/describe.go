package model

import (
	"fmt"

	"rosedale.dev/rosedale/internal/packet"
	"rosedale.dev/rosedale/internal/router"
)

// resetReasons lists the counters of resets that a balancer sends to one end of a flow.
var resetReasons = []router.Reason{router.ResetSilent, router.ResetUnknown, router.ResetAbandoned, router.ResetLeft, router.DropLateAccept}

// logResets logs each balancer's reset counters that are not zero.
func (w *world) logResets(log func(format string, args ...any)) {
	for i, b := range w.balancers {
		for _, r := range resetReasons {
			if n := b.r.Count(r); n > 0 {
				log("balancer %d: %s %d", i, r, n)
			}
		}
	}
}

// describe returns one line about a message for the trace of a run.
func describe(m *message) string {
	legs := [...]string{"from caller", "from peer", "to target", "from target", "to caller", "handover"}
	if m.leg == handover {
		return fmt.Sprintf("handover of %d flows", len(m.moved))
	}
	seg, err := packet.Parse(m.b)
	if err != nil {
		return "unreadable"
	}
	return fmt.Sprintf("%s %d: %v seq %d ack %d len %d hop %d/%d/%d", legs[m.leg], m.index,
		seg.Flags, seg.Seq, seg.Ack, seg.PayloadLen, m.hop.Kind, m.hop.Count, m.hop.Flags)
}
