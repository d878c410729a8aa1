package direct

import "time"

// flow is what this balancer saw of one flow. It helps to judge targets; flows
// that are not in the table are forwarded by their cookie all the same.
type flow struct {
	key    FlowKey
	target *target
	tried  [2]TargetID // targets of earlier copies of the opening
	open   bool        // the caller has acknowledged the target's answer
	ended  bool        // the caller has sent its FIN
	gone   bool        // it is no longer in the table
	busy   bool        // a request is under way at the target
	// pending tells that the target has not acknowledged the caller's last data.
	pending bool
	first   time.Duration // when its first packet was seen here
	seen    time.Duration
	asked   time.Duration // when the request under way was first seen
	maxEnd  uint32        // end of the caller's data so far
	maxAck  uint32        // last byte of the target's data that the caller has
	answer  pendingAnswer
}

// after reports whether sequence number a comes after b, across the wrap.
func after(a, b uint32) bool { return int32(a-b) > 0 }
