package direct

import "time"

// flow is what this balancer has observed of one flow. It shows how well the target works;
// flows that are not in the table are still forwarded by their cookie.
type flow struct {
	key          FlowKey
	target       *target
	triedTargets [2]TargetID // targets of earlier copies of the opening
	open         bool        // the caller has acknowledged the target's answer
	ended        bool        // the caller has sent a FIN or RST
	removed      bool        // removed from the table
	busy         bool        // a request is in flight
	// pending is set when the caller sends new data, until it acknowledges new data of the
	// target.
	pending     bool
	firstSeen   time.Duration // first packet seen here
	lastSeen    time.Duration
	requestedAt time.Duration // latest copy of the opening, then latest new data of the caller
	sawOpening  bool          // the opening passed this balancer
	opening     uint32        // its sequence number, if so
	maxEnd      uint32        // end of the caller's data so far
	maxAck      uint32        // highest acknowledgement of the target's data
	answer      pendingAnswer
	place       place
	expiredAt   *serviceGate // where its latest place ended unseen
	held        *held        // packets that wait for a place
}

// isCopy reports whether an opening on the flow's port is a copy of the flow's own, rather than
// that of a later connection. Of flows whose opening did not pass here this is not known, and all
// count as copies.
func (fl *flow) isCopy(s *Segment) bool { return !fl.sawOpening || s.Seq == fl.opening }

// after reports whether sequence number a comes after b, allowing for wraparound.
func after(a, b uint32) bool { return int32(a-b) > 0 }
