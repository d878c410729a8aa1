package flow

// State is the progress of a flow as its balancer knows it.
type State uint8

const (
	// Queued: the opening packet waits for room; no target was chosen.
	Queued State = iota + 1
	// Opening: the opening packet was sent to Target.
	Opening
	// Accepted: the target's SYN-ACK went to the caller, who has not
	// confirmed it yet. Seq is the target's initial sequence number.
	Accepted
	// Open: both ends have the connection.
	Open
	// Learned: taken from a passing answer, not yet verified by the home.
	Learned
	// Probing: the home tries candidates to find the flow's owner.
	Probing
	// Closing: the target has ended the flow; late packets still pass.
	Closing
	// Refused: the caller was refused. No payload ever passed.
	Refused
	// Handed: the opening was handed over to a new home.
	Handed
	// Spilled: a balancer of another group decides on the flow. Answered names
	// that group's data centre.
	Spilled
	// Hinted: taken from one answer without payload. It decides nothing.
	Hinted
)

// String returns the state's name as operators see it.
func (s State) String() string {
	names := [...]string{"none", "queued", "opening", "accepted", "open", "learned", "probing", "closing", "refused", "handed", "spilled", "hinted"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Entry flags.
const (
	// Counted: the entry is part of its target's load at this balancer.
	Counted uint8 = 1 << iota
	// HandedOver: the entry came from a balancer that left.
	HandedOver
)

// Entry is one flow. Times are in ticks of TickLength since the table began.
type Entry struct {
	Key    Key
	Target uint32 // identifier of (service number, target address)
	// Seq is the caller's initial number while Opening, the target's while
	// Accepted, and then the caller's number that was last acknowledged.
	Seq      uint32
	LastPacket     uint32 // tick of the last packet
	LastAnswer uint32 // tick of the last answer
	State    State
	Flags    uint8
	Answers  uint8 // answers seen here, saturating
	Probe    uint8 // index of the candidate that is being probed
}
