package direct

import "math/rand/v2"

// targetFlow is a target's end of a flow.
type targetFlow struct {
	opening uint32 // sequence number of the caller's opening
	initial uint32 // of the target's answer to it
	next    uint32 // of the caller's next data
	sent    uint32 // of the target's next data
	opened  bool   // the caller has acknowledged the answer
}

// startBits at the top of an initial number tell a target's starts apart.
const startBits = 8

func newTargetFlow(start, opening uint32) *targetFlow {
	initial := start<<(32-startBits) | rand.Uint32()>>startBits
	return &targetFlow{opening: opening, initial: initial, next: opening + 1, sent: initial + 1}
}

func ofStart(start, initial uint32) bool {
	return start&(1<<startBits-1) == initial>>(32-startBits)
}

// accepts reports whether a packet belongs to the flow: the first one acknowledges the
// target's own number.
func (f *targetFlow) accepts(h head) bool {
	f.opened = f.opened || h.ackOn && h.ack == f.initial+1
	return f.opened
}
