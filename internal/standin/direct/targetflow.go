package direct

import "math/rand/v2"

// targetFlow is a target's state of a flow.
type targetFlow struct {
	opening      uint32 // sequence number of the caller's opening
	isn          uint32 // initial sequence number of the target, sent in its answer to the opening
	nextSeq      uint32 // sequence number of the next data expected from the caller
	sendSeq      uint32 // sequence number of the next data that the target sends
	acknowledged bool   // the caller has acknowledged the answer
}

// startBits is the number of high bits of the target's initial sequence number that
// contain the low bits of the number of the target's start.
const startBits = 8

func newTargetFlow(start, opening uint32) *targetFlow {
	isn := start<<(32-startBits) | rand.Uint32()>>startBits
	return &targetFlow{opening: opening, isn: isn, nextSeq: opening + 1, sendSeq: isn + 1}
}

// isFromStart reports whether an initial sequence number was assigned in the start with
// the given number.
func isFromStart(start, isn uint32) bool {
	return start&(1<<startBits-1) == isn>>(32-startBits)
}

// accepts reports whether a packet belongs to the flow: it or an earlier packet must
// acknowledge the target's initial sequence number.
func (f *targetFlow) accepts(h header) bool {
	f.acknowledged = f.acknowledged || h.hasAck && h.ack == f.isn+1
	return f.acknowledged
}
