package direct

import "time"

// Reason says why a packet was handled as it was. Each reason has a counter.
type Reason uint8

// The reasons: first those to forward, then those to reset, those to drop and those of requests
// that wait.
const (
	OpenedNear      Reason = iota // opening to a target in this data centre
	OpenedFar                     // opening to another data centre: more room there, or no target available here
	OpenedEvacuated               // opening to another data centre, as this one is evacuated
	OpenedElsewhere               // retransmitted opening, to another target if one can take it
	Forwarded                     // by the packet's cookie
	ForwardedKnown                // by the flow table, which names another target than the cookie
	ResetNoRoute                  // the catalogue has no route with this address
	ResetNoTarget                 // no target can take the opening
	ResetGone                     // the flow's target has left
	ResetSilent                   // the flow's target was found dead
	ResetUnknown                  // the cookie names no target
	ResetRestarted                // the flow's target has restarted
	ResetEvacuated                // only targets in evacuated data centres could take the opening
	ResetCold                     // only cold targets at their limit could take the opening
	ResetOverload                 // the opening could not be served within its goal
	DroppedMalformed
	DroppedReset // a caller's reset that cannot be forwarded
	DroppedWait  // the flow's target is unknown, but may become known
	// DroppedWaiting is the reason for a copy of a packet that waits, and for a waiting packet
	// whose caller has given up.
	DroppedWaiting
	HeldOpening     // the opening waits for a place
	HeldRequest     // the request on an open flow waits for a place
	ForwardedForced // request on an open flow that got no place in time
	reasonCount
)

var reasonNames = [reasonCount]string{
	"opened_near", "opened_far", "opened_evacuated", "opened_elsewhere", "forwarded", "forwarded_known",
	"reset_no_route", "reset_no_target", "reset_gone", "reset_silent", "reset_unknown", "reset_restarted", "reset_evacuated", "reset_cold", "reset_overload",
	"dropped_malformed", "dropped_reset", "dropped_wait", "dropped_waiting", "held_opening", "held_request", "forwarded_forced",
}

// String returns the name used in counters and logs.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason { return enumValues(reasonCount) }

// enumValues returns the values of an enumeration below n.
func enumValues[T ~uint8](n T) []T {
	out := make([]T, n)
	for i := range out {
		out[i] = T(i)
	}
	return out
}

// Verb is the action to take on a packet.
type Verb uint8

// The actions on a packet.
const (
	Drop Verb = iota
	Forward
	Reset
	Hold // keep the packet until Releases returns its flow
)

// Decision is the action to take on one packet, and its reason.
type Decision struct {
	Verb   Verb
	Reason Reason
	Target *Target // where to forward to; owned by the Forwarder, read-only
	// SetCookie requests that the target's cookie be written into the packet. An opening, and
	// a packet with another cookie, carries it to the target, which returns it to the caller.
	SetCookie bool
	// Load is the chosen target's load in requests per slot, and Version is the catalogue's
	// version. Both are inputs of the decision, for the log.
	Load    float64
	Version int64
	Waited  time.Duration // how long the packet was held
}
