package model

import (
	"fmt"

	"rosedale.dev/rosedale/internal/packet"
	"rosedale.dev/rosedale/internal/router"
)

// resets are the reasons for which a balancer may reset one end of a flow.
var resets = []router.Reason{router.ResetSilent, router.ResetUnknown, router.ResetAbandoned, router.ResetLeft, router.DropLateAccept}

// logResets tells how often each balancer had a reason for a reset.
func (w *world) logResets(log func(format string, args ...any)) {
	for i, b := range w.balancers {
		for _, r := range resets {
			if n := b.r.Count(r); n > 0 {
				log("balancer %d: %s %d", i, r, n)
			}
		}
	}
}

func describe(f *flight) string {
	from := [...]string{"caller's", "passed on", "to target", "answer of target", "to caller", "handover"}
	if f.where == handover {
		return fmt.Sprintf("handover of %d flows", len(f.moved))
	}
	seg, err := packet.Parse(f.b)
	if err != nil {
		return "unreadable"
	}
	return fmt.Sprintf("%s %d: %v seq %d ack %d len %d hop %d/%d/%d", from[f.where], f.index,
		seg.Flags, seg.Seq, seg.Ack, seg.PayloadLen, f.hop.Kind, f.hop.Count, f.hop.Flags)
}
